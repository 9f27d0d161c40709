package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/quaylead/quaylead/pkg/interval"
)

// load measures how busy this box is, by the processor time that the process
// uses, and decides when it had better get no new callers. All callers of one
// large customer may come to one small box.
type load struct {
	// cores is the processor time that the box has. It is set before use; 0 means
	// that it is not known, and the box is never taken for overloaded.
	cores float64

	// use is a mean of the part of the processor that is used, as the bits of a
	// float64.
	use atomic.Uint64
	// busyUntil ends a time in which this box asks for no new callers, in
	// nanoseconds of the time of day; busySince is when it began, and 0 outside.
	busyUntil atomic.Int64
	busySince atomic.Int64
}

const (
	// useInterval is the time between two looks at the processor time. Where the
	// processor is a quota, it is given out by tenths of a second.
	useInterval = 250 * time.Millisecond
	// useGain is the weight of the newest look. A box that was half busy is
	// overloaded after three quarters of a second of nothing but work.
	useGain = 0.4
	// useMost is the part of the processor above which a box is overloaded. Work
	// that waits for the processor takes several times its own time by then.
	useMost = 0.85
	// busyFor is how long an overloaded box is not ready, at least. The balancer
	// asks each second and believes the second answer; one more second gives it
	// callers to pass elsewhere.
	busyFor = 3 * time.Second
)

// measure follows the use of the processor until the context ends, and calls
// overloaded when a time without new callers begins.
func (l *load) measure(ctx context.Context, overloaded func()) (err error) {
	defer func() { err = trace.Wrap(err, "measuring the load of this box") }()
	before, err := processorTime()
	if err != nil {
		return err
	}
	began := time.Now()
	for interval.Wait(ctx, useInterval) == nil {
		used, err := processorTime()
		if err != nil {
			return err
		}
		now := time.Now()
		l.note(used-before, now.Sub(began))
		before, began = used, now
		if l.judge(now) {
			overloaded()
		}
	}
	return nil
}

// note takes the processor time that was used in a time.
func (l *load) note(used, took time.Duration) {
	if l.cores <= 0 || took <= 0 {
		return
	}
	part := used.Seconds() / took.Seconds() / l.cores
	mean := l.used()
	l.use.Store(math.Float64bits(mean + useGain*(part-mean)))
}

// used is a mean of the part of the processor that is used.
func (l *load) used() float64 { return math.Float64frombits(l.use.Load()) }

// judge begins or extends a time without new callers when the box is overloaded.
// It reports whether one began.
func (l *load) judge(now time.Time) (began bool) {
	if l.used() < useMost {
		if !l.busy(now) {
			l.busySince.Store(0)
		}
		return false
	}
	l.busyUntil.Store(now.Add(busyFor).UnixNano())
	return l.busySince.CompareAndSwap(0, now.UnixNano())
}

// busy tells that new callers had better go to another box.
func (l *load) busy(now time.Time) bool { return now.UnixNano() < l.busyUntil.Load() }

// sheds tells that callers who keep connections had better open new ones: the
// balancer has noticed by now.
func (l *load) sheds(now time.Time) bool {
	since := l.busySince.Load()
	return since > 0 && l.busy(now) && now.Sub(time.Unix(0, since)) > noticeTime
}

// processorTime is what the process has used.
func processorTime() (used time.Duration, err error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
