// Package rollout decides which share of a service's requests goes to a new version of its
// endpoints, and whether that version is as good as the previous ones. It performs no I/O and
// reads no clock: the time is an argument.
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
	// Version is the store's counter at the last change of the order. It identifies the order.
	Version epoch.Version
	// Within is the time in which the roll-out has to be over.
	Within time.Duration
	// SeenAt is when a box first received the order.
	SeenAt time.Time
}

// IsSame reports whether another order has the same content, even if it was written again.
func (o Order) IsSame(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Within == other.Within
}

// IsRewriteOf reports whether this is the other order, written again after the store was
// restored.
func (o Order) IsRewriteOf(other Order) bool {
	return o.IsSame(other) && other.Version.HasEarlierEpochThan(o.Version)
}

// Verdict is the state that was decided for an order. A verdict is only replaced by a higher
// one. Completed and RolledBack are final and exclude each other: boxes report them only after
// the store has accepted one, and it accepts only one.
type Verdict uint32

// The verdicts, in the order in which they replace each other.
const (
	// Proving: a small share of the requests goes to the target.
	Proving Verdict = iota
	// Approved: that share grows until it is all requests.
	Approved
	// Moved: all requests go to the target, and the order may be completed.
	Moved
	// Halted: no requests go to the target, and the order has to be rolled back.
	Halted
	// Completed: the order is over, and endpoints of other versions are stopped.
	Completed
	// RolledBack: the order is over, and endpoints of the target are stopped.
	RolledBack
)

// String returns the verdict's name for logs.
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

// IsFinal reports whether the verdict can no longer change.
func (v Verdict) IsFinal() bool { return v == Completed || v == RolledBack }

// VerdictReport is a verdict as boxes report it to each other.
type VerdictReport struct {
	Service string
	// Order is the version of the order.
	Order   epoch.Version
	Verdict Verdict
}

// VersionFilter selects the endpoints of a service to which a request may be sent, by their
// version. The zero value admits all.
type VersionFilter struct {
	// Version is the selected version; empty means any.
	Version string
	// Others selects all versions but that one.
	Others bool
	// Exact selects Version alone, also if it is empty: endpoints need not state a version.
	Exact bool
}

// Admits reports whether endpoints of a version are selected.
func (f VersionFilter) Admits(version string) bool {
	if f.Exact {
		return version == f.Version
	}
	return f.Version == "" || (version == f.Version) != f.Others
}

const (
	// provingShare is the share of requests that go to a version while it is proved. It is
	// half of what a bad version may get by the users' rule, since some requests are sent
	// before boxes know that it is bad.
	provingShare = 0.05
	// proofFraction and rampFraction are fractions of the roll-out's time: how long a version
	// is proved, and how long its share then grows. A version that fails only under load fails
	// while its share grows; with these fractions it has received less than a tenth of all
	// requests by the time its share reaches six tenths.
	proofFraction = 0.45
	rampFraction  = 0.3
)

// Share returns the share of requests that goes to the target, given the verdict and when it
// was reached.
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
