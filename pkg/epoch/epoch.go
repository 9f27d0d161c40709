// Package epoch orders the versions of a store that may be restored from an older copy of
// itself and then gives out versions anew. The store counts its restores in an epoch, and a
// version is the pair of the epoch and the store's counter, in one number: of two versions, the
// higher one is the later, whichever epochs they are of. Where a store tells no epoch, versions
// are its counter.
package epoch

import "strconv"

// counterBits is the part of a version that holds the store's counter.
const counterBits = 40

// MostEpoch and MostCounter are the highest that a version holds.
const (
	MaxEpoch   = 1<<(64-counterBits) - 1
	MaxCounter = 1<<counterBits - 1
)

// Version is a version of a store, as the pair of its epoch and its counter.
type Version uint64

// Join makes a version. What is more than it holds counts as the highest.
func Join(epoch, counter uint64) Version {
	return Version(min(epoch, MaxEpoch)<<counterBits | min(counter, MaxCounter))
}

// Epoch is how often the store had been restored.
func (v Version) Epoch() uint64 { return uint64(v) >> counterBits }

// Counter is the store's own number. It orders versions of one epoch only.
func (v Version) Counter() uint64 { return uint64(v) & MaxCounter }

// Precedes tells whether a version is of an earlier epoch than another one.
func (v Version) HasEarlierEpochThan(other Version) bool { return v.Epoch() < other.Epoch() }

// String is the pair, for logs.
func (v Version) String() string {
	counter := strconv.FormatUint(v.Counter(), 10)
	if v.Epoch() == 0 {
		return counter
	}
	return strconv.FormatUint(v.Epoch(), 10) + ":" + counter
}
