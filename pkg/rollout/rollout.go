// Package rollout decides how far the requests of a service go to a new version of its
// endpoints, and whether that version is as good as the ones before. It is pure: answers in,
// verdicts out, with the time as an argument.
package rollout

import (
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
)

// Order is the operator's order to move a service to another version of its endpoints.
type Order struct {
	Service string
	// Target is the version to move to.
	Target string
	// Version is the store's counter at the order's last change. It names the order.
	Version epoch.Version
	// Within is the time in which the move is to be over.
	Within time.Duration
	// SeenAt is when a box first knew of the order.
	SeenAt time.Time
}

// IsSame tells whether another order says the same, be it written anew or not.
func (o Order) IsSame(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Within == other.Within
}

// Renews tells whether this is the other order, written again after the store was restored.
func (o Order) IsRewriteOf(other Order) bool {
	return o.IsSame(other) && other.Version.HasEarlierEpochThan(o.Version)
}

// Verdict is what was decided of an order. They are in the order in which a later one
// replaces an earlier one. Completed and RolledBack are final and never both: boxes tell them
// only once the store has taken one, and it takes one only.
type Verdict uint32

// The verdicts.
const (
	// Proving orders have a small part of the requests go to the target.
	Proving Verdict = iota
	// Approved ones have that part grow to all.
	Approved
	// Moved ones have all go there, and may be completed.
	Moved
	// Halted ones have none go there, and are to be rolled back.
	Halted
	// Completed ones are over; endpoints of other versions end.
	Completed
	// RolledBack ones are over; those of the target end.
	RolledBack
)

// String names the verdict in logs.
func (v Verdict) String() string {
	switch v {
	case Proving:
		return "proving"
	case Approved:
		return "approved"
	case Moved:
		return "moved"
	case Halted:
		return "halted"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	}
	return "unknown"
}

// Final tells whether nothing follows it.
func (v Verdict) IsFinal() bool { return v == Completed || v == RolledBack }

// Word is a verdict as boxes tell it to each other.
type VerdictReport struct {
	Service string
	// Order is the version of the order.
	Order   epoch.Version
	Verdict Verdict
}

// Side is the endpoints of a service that a request may go to, by their version. The zero
// value admits all.
type VersionFilter struct {
	// Version is the one that is meant; empty means any.
	Version string
	// Others admits all but that one.
	Others bool
}

// Admits tells whether an endpoint of a version is among them.
func (s VersionFilter) Admits(version string) bool {
	return s.Version == "" || (version == s.Version) != s.Others
}

const (
	// provingShare is the part of the requests that prove a version: half of what a bad
	// one may get by the users' rule, as some are sent before boxes know that it is bad.
	provingShare = 0.05
	// provedAfter and rampFor are parts of the time for the move. A version that fails only
	// under load does so while its share grows; with these it has had less than a tenth of
	// all requests up to a share of six tenths.
	proofFraction = 0.45
	rampFraction  = 0.3
)

// Share is the part of the requests that goes to the target, by a verdict that came at a
// time.
func (o *Order) Share(v Verdict, since, now time.Time) float64 {
	switch v {
	case Proving:
		return provingShare
	case Approved:
		grown := float64(now.Sub(since)) / (rampFraction * float64(o.Within))
		return min(1, provingShare+(1-provingShare)*max(0, grown))
	case Moved, Completed:
		return 1
	default:
		return 0
	}
}
