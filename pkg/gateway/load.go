package gateway

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/interval"
)

// load measures how busy this box is, by how long what comes to it waits for the
// processor, and decides when the box had better get no new callers. All
// callers of one large customer may come to one small box.
type load struct {
	// delay is a mean of that wait.
	delay atomic.Int64

	mu sync.Mutex
	// busyUntil ends a time in which this box asks for no new callers; busySince is
	// when it began, and zero outside.
	busyUntil, busySince time.Time
}

const (
	// delayInterval is the time between two looks. Where the processor is a quota,
	// it is given out by tenths of a second.
	probeInterval = 250 * time.Millisecond
	// delayGain is the weight of the newest look.
	delayWeight = 0.4
	// delayMost is the mean wait above which a box is overloaded. A request waits
	// several times on its way, and its aim is several hundred milliseconds.
	maxMeanDelay = 10 * time.Millisecond
	// longestDelay bounds what one look may say: a box that stood still for a while
	// is not overloaded yet when it goes on.
	maxSample = 2 * maxMeanDelay
	// busyFor is how long an overloaded box is not ready, at least. The balancer
	// asks each second and believes the second answer; one more second gives it
	// callers to pass elsewhere.
	minBusyTime = 3 * time.Second
)

// measure follows the wait until the context ends, and calls overloaded when a
// time without new callers begins. It sends itself bytes through a pipe: like all
// that comes to a box, they have to be noticed and then wait for their turn.
func (l *load) measure(ctx context.Context, overloaded func()) (err error) {
	defer func() { err = trace.Wrap(err, "measuring the load of this box") }()
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	group := errgroup.Group{}
	sent := make(chan time.Time, 1)
	group.Go(func() error {
		defer writer.Close()
		return probe(ctx, writer, sent)
	})
	group.Go(func() error {
		defer reader.Close()
		return l.receive(reader, sent, overloaded)
	})
	return group.Wait()
}

// probe sends a byte from time to time, and when it did.
func probe(ctx context.Context, to io.Writer, sent chan<- time.Time) error {
	for interval.Wait(ctx, probeInterval) == nil {
		select {
		case sent <- time.Now():
		default:
			// The last byte has not been read yet.
			continue
		}
		if _, err := to.Write([]byte{0}); err != nil {
			return err
		}
	}
	return nil
}

// listen notes how long each byte took, until there are no more.
func (l *load) receive(from io.Reader, sent <-chan time.Time, overloaded func()) error {
	one := make([]byte, 1)
	for {
		if _, err := from.Read(one); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		now := time.Now()
		l.addSample(now.Sub(<-sent))
		if l.update(now) {
			overloaded()
		}
	}
}

// note takes the wait of one byte.
func (l *load) addSample(wait time.Duration) {
	wait = min(wait, maxSample)
	before := l.delay.Load()
	l.delay.Store(before + int64(delayWeight*float64(int64(wait)-before)))
}

// waited is a mean of the wait for the processor.
func (l *load) meanDelay() time.Duration { return time.Duration(l.delay.Load()) }

// judge begins or extends a time without new callers when the box is overloaded.
// It reports whether one began.
func (l *load) update(now time.Time) (began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.meanDelay() < maxMeanDelay {
		if now.After(l.busyUntil) {
			l.busySince = time.Time{}
		}
		return false
	}
	l.busyUntil = now.Add(minBusyTime)
	began = l.busySince.IsZero()
	if began {
		l.busySince = now
	}
	return began
}

// busy tells that new callers had better go to another box.
func (l *load) isBusy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.busyUntil)
}

// sheds tells that callers who keep connections had better open new ones: the
// balancer has noticed by now.
func (l *load) isShedding(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.busyUntil) && now.Sub(l.busySince) > balancerDelay
}
