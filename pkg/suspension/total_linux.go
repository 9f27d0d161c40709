package suspension

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const (
	// maxReadSpread is how far apart two readings of one clock may be for a reading of the
	// other clock between them to count as simultaneous. They take well under a microsecond
	// unless the process is interrupted.
	maxReadSpread = time.Millisecond
	// maxReadings bounds the attempts, for a machine that interrupts each of them.
	maxReadings = 10
)

// Total returns how long the machine has been suspended since it started: the time that its
// monotonic clock did not count.
func Total() (total time.Duration, err error) {
	defer func() { err = trace.Wrap(err, "reading how long the machine was suspended") }()
	for range maxReadings {
		before, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		all, err := readClock(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if after-before <= maxReadSpread {
			return all - before, nil
		}
	}
	return 0, trace.LimitExceeded("the process was interrupted at each of %d readings", maxReadings)
}

func readClock(clock int32) (time.Duration, error) {
	var now unix.Timespec
	err := unix.ClockGettime(clock, &now)
	return time.Duration(now.Nano()), err
}
