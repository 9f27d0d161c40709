package rollout

import (
	"math"
	"time"
)

// Tally counts the responses to requests of one route: those of the target version and those
// of the old ones.
type Tally struct {
	TargetGood, TargetBad, OldGood, OldBad uint64
}

// Add adds the counts of another tally.
func (t *Tally) Add(other Tally) {
	t.TargetGood += other.TargetGood
	t.TargetBad += other.TargetBad
	t.OldGood += other.OldGood
	t.OldBad += other.OldBad
}

// Counts are the observations of all boxes since an order was given.
type Counts struct {
	// Routes are the tallies by route name.
	Routes map[string]Tally
	// OldRunning is the number of requests that run at endpoints of other versions.
	OldRunning int
}

// Evaluator decides by a sequential test whether a version is as good as the previous ones. It
// sums the logarithm of the likelihood ratio of each response, bad version against good
// version, for each route and for all routes together. The sum never falls below 0, so it also
// detects a version that turns bad late or only under load. It is not safe for concurrent use.
type Evaluator struct {
	Order Order

	verdict Verdict
	// since is when the verdict was reached.
	since time.Time
	// routes holds the evidence by route, and that of all routes under the empty name.
	routes map[string]*evidence
	// responses counts the responses of the target.
	responses uint64
}

// evidence is the evidence against the target on one route.
type evidence struct {
	lastTally Tally
	// oldGood and oldBad are the decayed counts of recent responses of other versions.
	oldGood, oldBad float64
	oldAt           time.Time
	// logRatio is the logarithm of how much likelier the recent responses of the target are
	// from a bad version; at least 0.
	logRatio float64
}

const (
	// alarmThreshold is the evidence at which a version counts as bad. About one in a thousand
	// good versions reaches it within a thousand responses.
	alarmThreshold = 9.0
	// badFactor and badExtra derive the share of bad responses that a bad version is assumed
	// to have from that of the old versions; maxBadShare bounds it.
	badFactor   = 2.5
	badExtra    = 0.12
	maxBadShare = 0.95
	// priorBad and priorResponses are the assumed bad share of the old versions and its weight
	// until responses were counted.
	priorBad       = 0.02
	priorResponses = 50
	// oldDecayTime is the time constant with which old versions' responses lose weight, since
	// endpoints of all versions may fail for a while.
	oldDecayTime = 4 * time.Second
	// minResponses are required to approve a version after proofFraction of the roll-out's
	// time, and minLateResponses after lateProofFraction of it.
	minResponses      = 60
	minLateResponses  = 5
	lateProofFraction = 0.6
	// settleDelay is how long all requests go to the target before the roll-out is completed.
	settleDelay = 500 * time.Millisecond
	// completionReserve is the fraction of the roll-out's time that is reserved for completing
	// it. The endpoints of other versions end then, with the requests that still run there.
	completionReserve = 0.1
)

// Verdict returns the current verdict and when it was reached.
func (ev *Evaluator) Verdict() (v Verdict, since time.Time) { return ev.verdict, ev.since }

// Adopt takes over the verdict of another box. A final verdict never changes, whatever the
// store states.
func (ev *Evaluator) Adopt(v Verdict, now time.Time) {
	if v > ev.verdict && !ev.verdict.IsFinal() {
		ev.verdict, ev.since = v, now
	}
}

// Evaluate updates the verdict from the counts as of now. Moved and Halted mean that the order
// may be completed or has to be rolled back; Completed and RolledBack are only set by Adopt.
func (ev *Evaluator) Evaluate(counts Counts, now time.Time) Verdict {
	if ev.verdict >= Halted {
		return ev.verdict
	}
	if ev.since.IsZero() {
		ev.since = ev.Order.SeenAt
	}
	if ev.update(counts, now) {
		ev.Adopt(Halted, now)
		return ev.verdict
	}
	elapsed := float64(now.Sub(ev.Order.SeenAt)) / float64(ev.Order.Within)
	switch {
	case ev.verdict == Proving && elapsed >= 1:
		// There were too few responses to prove the version in time, so the old versions stay.
		ev.Adopt(Halted, now)
	case ev.verdict == Proving && ev.isProved(elapsed):
		ev.Adopt(Approved, now)
	case ev.verdict == Approved && ev.isMoved(counts, elapsed, now):
		ev.Adopt(Moved, now)
	}
	return ev.verdict
}

// isProved reports whether there were enough responses of the target to send it more requests.
func (ev *Evaluator) isProved(elapsed float64) bool {
	return (elapsed >= proofFraction && ev.responses >= minResponses) || (elapsed >= lateProofFraction && ev.responses >= minLateResponses)
}

// isMoved reports whether all requests go to the target and none run at other versions. When
// the reserve for the completion begins, it no longer waits for those that do.
func (ev *Evaluator) isMoved(counts Counts, elapsed float64, now time.Time) bool {
	full := ev.since.Add(time.Duration(rampFraction * float64(ev.Order.Within))).Add(settleDelay)
	return now.After(full) && (counts.OldRunning == 0 || elapsed >= 1-completionReserve)
}

// update adds the counts and reports whether they show a bad version.
func (ev *Evaluator) update(counts Counts, now time.Time) (bad bool) {
	if ev.routes == nil {
		ev.routes = map[string]*evidence{}
	}
	all := Tally{}
	for route, tally := range counts.Routes {
		all.Add(tally)
		bad = ev.evidenceOf(route).update(tally, now) || bad
	}
	bad = ev.evidenceOf("").update(all, now) || bad
	ev.responses = all.TargetGood + all.TargetBad
	return bad
}

func (ev *Evaluator) evidenceOf(route string) *evidence {
	e := ev.routes[route]
	if e == nil {
		e = &evidence{}
		ev.routes[route] = e
	}
	return e
}

// update adds a route's counts and reports whether they show a bad version. The counts of a
// box that disappears are lost: lower counts than before add nothing.
func (e *evidence) update(now Tally, at time.Time) (bad bool) {
	fade := math.Exp(-at.Sub(e.oldAt).Seconds() / oldDecayTime.Seconds())
	e.oldGood = e.oldGood*fade + increase(now.OldGood, e.lastTally.OldGood)
	e.oldBad = e.oldBad*fade + increase(now.OldBad, e.lastTally.OldBad)
	e.oldAt = at
	oldShare := (e.oldBad + priorBad*priorResponses) / (e.oldGood + e.oldBad + priorResponses)
	badShare := min(maxBadShare, max(badFactor*oldShare, oldShare+badExtra))
	if badShare <= oldShare {
		// All responses fail, so the versions cannot be distinguished.
		oldShare = badShare / badFactor
	}
	e.logRatio += increase(now.TargetBad, e.lastTally.TargetBad) * math.Log(badShare/oldShare)
	e.logRatio += increase(now.TargetGood, e.lastTally.TargetGood) * math.Log((1-badShare)/(1-oldShare))
	e.logRatio = max(0, e.logRatio)
	e.lastTally = now
	return e.logRatio >= alarmThreshold
}

func increase(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}
