// Package epoch orders the versions of a store that may be restored from an older copy of
// itself, after which its counter repeats earlier values. The store counts its restores as
// epochs, and a version combines the epoch and the store's counter in one number: of two
// versions, the higher one is the later, whatever their epochs. If a store reports no epoch,
// versions equal its counter.
package epoch

import "strconv"

// counterBits is the number of bits of a version that hold the store's counter.
const counterBits = 40

// MaxEpoch and MaxCounter are the highest values that a version can hold.
const (
	MaxEpoch   = 1<<(64-counterBits) - 1
	MaxCounter = 1<<counterBits - 1
)

// Version is a version of a store: its epoch and its counter.
type Version uint64

// Join combines an epoch and a counter. Values above the highest ones count as these.
func Join(epoch, counter uint64) Version {
	return Version(min(epoch, MaxEpoch)<<counterBits | min(counter, MaxCounter))
}

// Epoch returns the number of times that the store had been restored.
func (v Version) Epoch() uint64 { return uint64(v) >> counterBits }

// Counter returns the store's own counter, which orders versions of one epoch only.
func (v Version) Counter() uint64 { return uint64(v) & MaxCounter }

// HasEarlierEpochThan reports whether v is of an earlier epoch than other.
func (v Version) HasEarlierEpochThan(other Version) bool { return v.Epoch() < other.Epoch() }

// String formats a version for logs as epoch:counter, or as the counter alone in epoch 0.
func (v Version) String() string {
	counter := strconv.FormatUint(v.Counter(), 10)
	if v.Epoch() == 0 {
		return counter
	}
	return strconv.FormatUint(v.Epoch(), 10) + ":" + counter
}
