package logflags

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quaylead/quaylead/pkg/interval"
)

// Buffer takes log lines without ever waiting for whoever reads them. Lines that
// find it full are dropped whole and counted. Its exported fields are set before
// the first line.
type Buffer struct {
	// Out is where the lines go.
	Out io.Writer

	dropped atomic.Int64
	mu      sync.Mutex
	pending bytes.Buffer
	// writing serializes writes to Out.
	writeMu sync.Mutex
}

const (
	// bufferBytes bounds the lines that wait to be written: some seconds of a
	// busy box.
	maxBufferBytes = 1 << 20
	// flushInterval is the time between two writes; each costs a system call.
	flushInterval = 100 * time.Millisecond
)

// Write takes one line.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > maxBufferBytes {
		b.dropped.Add(1)
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Sync writes what is held.
func (b *Buffer) Sync() error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	lines := bytes.Clone(b.pending.Bytes())
	b.pending.Reset()
	b.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := b.Out.Write(lines)
	return err
}

// Dropped counts the lines that found the buffer full.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Run writes what is held from time to time until the context ends, and once
// more then. A reader that went away ends only the logging.
func (b *Buffer) Run(ctx context.Context) error {
	for interval.Wait(ctx, flushInterval) == nil {
		if err := b.Sync(); err != nil {
			return nil
		}
	}
	return b.Sync()
}
