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

// Buffer collects log lines so that a slow reader of the log never delays their
// writers. Lines that do not fit are dropped whole and counted. Its exported fields
// are set before the first line.
type Buffer struct {
	// Out receives the lines.
	Out io.Writer

	dropped atomic.Int64
	mu      sync.Mutex
	pending bytes.Buffer
	// writeMu serializes writes to Out.
	writeMu sync.Mutex
}

const (
	// maxBufferBytes bounds the lines that wait to be written: some seconds of a
	// busy box.
	maxBufferBytes = 1 << 20
	// flushInterval is the time between two writes; each costs a system call.
	flushInterval = 100 * time.Millisecond
)

// Write adds one line to the buffer.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > maxBufferBytes {
		b.dropped.Add(1)
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Sync writes the buffered lines to Out.
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

// Dropped returns the number of lines that were dropped because the buffer was full.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Run writes the buffered lines at intervals until the context ends, and once
// more then. If Out fails, for example because its reader has exited, only the
// logging ends.
func (b *Buffer) Run(ctx context.Context) error {
	for interval.Wait(ctx, flushInterval) == nil {
		if err := b.Sync(); err != nil {
			return nil
		}
	}
	return b.Sync()
}
