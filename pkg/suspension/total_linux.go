package suspension

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const (
	// sameMoment is how far apart two readings of one clock may be for a reading of the
	// other one between them to count as of the same moment: they take well under a
	// microsecond unless the process is interrupted.
	sameMoment = time.Millisecond
	// mostReadings bounds the tries on a machine that interrupts each of them.
	mostReadings = 10
)

// Total is how long the machine has been suspended since it started: the time that its
// steady clock did not count.
func Total() (total time.Duration, err error) {
	defer func() { err = trace.Wrap(err, "reading how long the machine was suspended") }()
	for range mostReadings {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		all, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if after-before <= sameMoment {
			return all - before, nil
		}
	}
	return 0, trace.LimitExceeded("the process was interrupted at each of %d readings", mostReadings)
}

func read(clock int32) (time.Duration, error) {
	var now unix.Timespec
	err := unix.ClockGettime(clock, &now)
	return time.Duration(now.Nano()), err
}
