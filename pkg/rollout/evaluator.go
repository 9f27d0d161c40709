package rollout

import (
	"math"
	"time"
)

// Tally counts the answers to the requests of one route, by version.
type Tally struct {
	TargetGood, TargetBad, OldGood, OldBad uint64
}

// Add adds another tally's counts.
func (t *Tally) Add(other Tally) {
	t.TargetGood += other.TargetGood
	t.TargetBad += other.TargetBad
	t.OldGood += other.OldGood
	t.OldBad += other.OldBad
}

// Counts are what boxes saw of an order, together, since it was given.
type Counts struct {
	// Routes are by name.
	Routes map[string]Tally
	// OldRunning is the number of requests under way at endpoints of other versions.
	OldRunning int
}

// Judge finds out whether a version is as good as those before, from counts that grow. It
// sums the evidence that the version is bad, for each route and for all together: an answer
// counts by how much likelier it is from a bad version than from one like the others, and
// evidence for a good one takes no more than all of it away. So it finds a version that turns
// bad late, or under load only. It is not safe for concurrent use.
type Evaluator struct {
	Order Order

	verdict Verdict
	// since is when the verdict came.
	since time.Time
	// routes hold the evidence by route, the empty name that of all.
	routes map[string]*evidence
	// answered counts the target's answers.
	responses uint64
}

// evidence is what speaks against the target on one route.
type evidence struct {
	lastTally Tally
	// oldGood and oldBad are the others' of late.
	oldGood, oldBad float64
	oldAt           time.Time
	// against is the logarithm of how much likelier the target's last answers are from a bad
	// version; at least 0.
	logRatio float64
}

const (
	// alarm is the evidence at which a version counts as bad: about one in a thousand good
	// ones gets there with a thousand answers.
	alarmThreshold = 9.0
	// badFactor and badMore make the share of bad answers of the version that is looked for
	// out of the others'; badMost bounds it.
	badFactor   = 2.5
	badExtra    = 0.12
	maxBadShare = 0.95
	// priorBad and priorAnswers stand for what is not known of the others yet.
	priorBad       = 0.02
	priorResponses = 50
	// oldMemory is the time over which the others' answers count: endpoints of all versions
	// may fail for a while.
	oldDecayTime = 4 * time.Second
	// leastAnswers have to be seen of a version before it is approved in time, and
	// fewestAnswers after lastProof, a part of the time for the move.
	minResponses      = 60
	minLateResponses  = 5
	lateProofFraction = 0.6
	// settleFor is how long all requests go to the target before the move is completed.
	settleDelay = 500 * time.Millisecond
	// reserve is the part of the time for the move that is left for completing it: the endpoints of
	// other versions end then, with what still runs there.
	completionReserve = 0.1
)

// Verdict is what holds, and since when.
func (ev *Evaluator) Verdict() (v Verdict, since time.Time) { return ev.verdict, ev.since }

// Adopt takes what another box decided. What is final stays, whatever the store says.
func (ev *Evaluator) Adopt(v Verdict, now time.Time) {
	if v > ev.verdict && !ev.verdict.IsFinal() {
		ev.verdict, ev.since = v, now
	}
}

// Decide takes the counts as of now, and tells what holds. It says Moved and Halted where the
// order may be completed, or has to be rolled back; that it is is for Adopt.
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
		// Nothing is known of it: the others go on.
		ev.Adopt(Halted, now)
	case ev.verdict == Proving && ev.isProved(elapsed):
		ev.Adopt(Approved, now)
	case ev.verdict == Approved && ev.isMoved(counts, elapsed, now):
		ev.Adopt(Moved, now)
	}
	return ev.verdict
}

// proved tells whether enough was seen of a version for sending it more.
func (ev *Evaluator) isProved(elapsed float64) bool {
	return (elapsed >= proofFraction && ev.responses >= minResponses) || (elapsed >= lateProofFraction && ev.responses >= minLateResponses)
}

// moved tells whether all requests go to the target, and none run elsewhere that there is
// time to wait for.
func (ev *Evaluator) isMoved(counts Counts, elapsed float64, now time.Time) bool {
	full := ev.since.Add(time.Duration(rampFraction * float64(ev.Order.Within))).Add(settleDelay)
	return now.After(full) && (counts.OldRunning == 0 || elapsed >= 1-completionReserve)
}

// learn takes the counts, and tells whether they show a bad version.
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

// learn takes a route's counts. A box that is gone takes its counts with it: fewer than
// before are no news.
func (e *evidence) update(now Tally, at time.Time) (bad bool) {
	fade := math.Exp(-at.Sub(e.oldAt).Seconds() / oldDecayTime.Seconds())
	e.oldGood = e.oldGood*fade + increase(now.OldGood, e.lastTally.OldGood)
	e.oldBad = e.oldBad*fade + increase(now.OldBad, e.lastTally.OldBad)
	e.oldAt = at
	oldShare := (e.oldBad + priorBad*priorResponses) / (e.oldGood + e.oldBad + priorResponses)
	badShare := min(maxBadShare, max(badFactor*oldShare, oldShare+badExtra))
	if badShare <= oldShare {
		// All fail: nothing tells the versions apart.
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
