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

// load measures how busy this box is, by how long incoming work waits for the processor, and
// determines when the box should get no new callers. This is needed because all callers of one
// large customer may be connected to one small box.
type load struct {
	// delay is a moving average of that wait, in nanoseconds.
	delay atomic.Int64

	mu sync.Mutex
	// busyUntil ends a time in which this box is not ready for new callers; busySince is when
	// it began, and zero otherwise.
	busyUntil, busySince time.Time
}

const (
	// probeInterval is the time between two measurements. If the processor time is limited by a
	// quota, the quota is refilled each tenth of a second.
	probeInterval = 250 * time.Millisecond
	// delayWeight is the weight of the newest measurement.
	delayWeight = 0.4
	// maxMeanDelay is the mean wait from which on a box is overloaded. A request waits
	// several times on its way, and its latency target is several hundred milliseconds.
	maxMeanDelay = 10 * time.Millisecond
	// maxSample bounds one measurement: a box that was paused for a while is not overloaded
	// yet when it continues.
	maxSample = 2 * maxMeanDelay
	// minBusyTime is how long an overloaded box is not ready, at least. The balancer checks each
	// second and acts on the second response; one more second lets it send callers to other
	// boxes.
	minBusyTime = 3 * time.Second
)

// measure measures the wait until the context ends, and calls overloaded when a time without
// new callers begins. The box sends itself bytes through a pipe: like all input, they have to be
// detected by the runtime's poller, and their reader then waits to be scheduled.
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

// probe writes a byte at each interval, and sends the time at which it did.
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

// receive measures how long each byte took, until the writer closes the pipe.
func (l *load) receive(from io.Reader, sent <-chan time.Time, overloaded func()) error {
	buffer := make([]byte, 1)
	for {
		if _, err := from.Read(buffer); err != nil {
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

// addSample adds the wait of one byte to the average.
func (l *load) addSample(wait time.Duration) {
	wait = min(wait, maxSample)
	before := l.delay.Load()
	l.delay.Store(before + int64(delayWeight*float64(int64(wait)-before)))
}

// meanDelay returns the mean wait for the processor.
func (l *load) meanDelay() time.Duration { return time.Duration(l.delay.Load()) }

// update begins or extends a time without new callers if the box is overloaded. It reports
// whether one began.
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

// isBusy reports whether new callers should go to another box.
func (l *load) isBusy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.busyUntil)
}

// untilRebalanced returns the time until the balancer sends new connections to other boxes; 0 if it does,
// or if the box is not overloaded.
func (l *load) untilRebalanced(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.busyUntil) {
		return 0
	}
	return max(0, balancerDelay-now.Sub(l.busySince))
}

// isShedding reports whether callers with open connections should open new ones, which the
// balancer by now sends to other boxes.
func (l *load) isShedding(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.busyUntil) && now.Sub(l.busySince) > balancerDelay
}
