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
type Judge struct {
	Order Order

	verdict Verdict
	// since is when the verdict came.
	since time.Time
	// routes hold the evidence by route, the empty name that of all.
	routes map[string]*evidence
	// answered counts the target's answers.
	answered uint64
}

// evidence is what speaks against the target on one route.
type evidence struct {
	seen Tally
	// oldGood and oldBad are the others' of late.
	oldGood, oldBad float64
	oldAt           time.Time
	// against is the logarithm of how much likelier the target's last answers are from a bad
	// version; at least 0.
	against float64
}

const (
	// alarm is the evidence at which a version counts as bad: about one in a thousand good
	// ones gets there with a thousand answers.
	alarm = 9.0
	// badFactor and badMore make the share of bad answers of the version that is looked for
	// out of the others'; badMost bounds it.
	badFactor = 2.5
	badMore   = 0.12
	badMost   = 0.95
	// priorBad and priorAnswers stand for what is not known of the others yet.
	priorBad     = 0.02
	priorAnswers = 50
	// oldMemory is the time over which the others' answers count: endpoints of all versions
	// may fail for a while.
	oldMemory = 4 * time.Second
	// leastAnswers have to be seen of a version before it is approved in time, and
	// fewestAnswers after lastProof, a part of the time for the move.
	leastAnswers  = 60
	fewestAnswers = 5
	lastProof     = 0.6
	// settleFor is how long all requests go to the target before the move is completed.
	settleFor = 500 * time.Millisecond
	// reserve is the part of the time for the move that is left for completing it: the endpoints of
	// other versions end then, with what still runs there.
	reserve = 0.1
)

// Verdict is what holds, and since when.
func (j *Judge) Verdict() (v Verdict, since time.Time) { return j.verdict, j.since }

// Adopt takes what another box decided. What is final stays, whatever the store says.
func (j *Judge) Adopt(v Verdict, now time.Time) {
	if v > j.verdict && !j.verdict.Final() {
		j.verdict, j.since = v, now
	}
}

// Decide takes the counts as of now, and tells what holds. It says Moved and Halted where the
// order may be completed, or has to be rolled back; that it is is for Adopt.
func (j *Judge) Decide(counts Counts, now time.Time) Verdict {
	if j.verdict >= Halted {
		return j.verdict
	}
	if j.since.IsZero() {
		j.since = j.Order.SeenAt
	}
	if j.learn(counts, now) {
		j.Adopt(Halted, now)
		return j.verdict
	}
	passed := float64(now.Sub(j.Order.SeenAt)) / float64(j.Order.Within)
	switch {
	case j.verdict == Proving && passed >= 1:
		// Nothing is known of it: the others go on.
		j.Adopt(Halted, now)
	case j.verdict == Proving && j.proved(passed):
		j.Adopt(Approved, now)
	case j.verdict == Approved && j.moved(counts, passed, now):
		j.Adopt(Moved, now)
	}
	return j.verdict
}

// proved tells whether enough was seen of a version for sending it more.
func (j *Judge) proved(passed float64) bool {
	return (passed >= provedAfter && j.answered >= leastAnswers) || (passed >= lastProof && j.answered >= fewestAnswers)
}

// moved tells whether all requests go to the target, and none run elsewhere that there is
// time to wait for.
func (j *Judge) moved(counts Counts, passed float64, now time.Time) bool {
	full := j.since.Add(time.Duration(rampFor * float64(j.Order.Within))).Add(settleFor)
	return now.After(full) && (counts.OldRunning == 0 || passed >= 1-reserve)
}

// learn takes the counts, and tells whether they show a bad version.
func (j *Judge) learn(counts Counts, now time.Time) (bad bool) {
	if j.routes == nil {
		j.routes = map[string]*evidence{}
	}
	all := Tally{}
	for route, tally := range counts.Routes {
		all.Add(tally)
		bad = j.of(route).learn(tally, now) || bad
	}
	bad = j.of("").learn(all, now) || bad
	j.answered = all.TargetGood + all.TargetBad
	return bad
}

func (j *Judge) of(route string) *evidence {
	e := j.routes[route]
	if e == nil {
		e = &evidence{}
		j.routes[route] = e
	}
	return e
}

// learn takes a route's counts. A box that is gone takes its counts with it: fewer than
// before are no news.
func (e *evidence) learn(now Tally, at time.Time) (bad bool) {
	fade := math.Exp(-at.Sub(e.oldAt).Seconds() / oldMemory.Seconds())
	e.oldGood = e.oldGood*fade + grown(now.OldGood, e.seen.OldGood)
	e.oldBad = e.oldBad*fade + grown(now.OldBad, e.seen.OldBad)
	e.oldAt = at
	old := (e.oldBad + priorBad*priorAnswers) / (e.oldGood + e.oldBad + priorAnswers)
	suspected := min(badMost, max(badFactor*old, old+badMore))
	if suspected <= old {
		// All fail: nothing tells the versions apart.
		old = suspected / badFactor
	}
	e.against += grown(now.TargetBad, e.seen.TargetBad) * math.Log(suspected/old)
	e.against += grown(now.TargetGood, e.seen.TargetGood) * math.Log((1-suspected)/(1-old))
	e.against = max(0, e.against)
	e.seen = now
	return e.against >= alarm
}

func grown(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}
