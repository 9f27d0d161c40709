package dispatch

import "time"

// nearFraction is the fraction of the gap target from which on a predicted pause is near to it. The
// estimate of a chunk is rather short, as few streams run while an engine reads all along.
const nearFraction = 0.8

// noReadBound is longer than any prompt takes to read.
const noReadBound = time.Hour

// readBound returns the longest uninterrupted reading at an engine, in time at its measured rate,
// with which no pause of its streams is predicted to exceed their gap target.
//
// An event of a stream takes as many steps as it holds tokens, and each step takes a chunk of a
// prompt longer while there is reading to do. So a pause is at most that many chunks, and at most
// all of the reading. It is predicted for the slow times of the engine, which come without notice;
// in them nothing more is to be read.
func (p *Pool) readBound(e *engine, now time.Time) time.Duration {
	gap := e.shortestGap()
	if p.isPlain() || !p.spread.isWide || gap == 0 || e.step == 0 || e.meanRate == 0 {
		return noReadBound
	}
	tokens := p.service.Engine.EventTokens
	steps := time.Duration(tokens) * e.step
	chunks := time.Duration(float64(tokens) * p.chunkTokens / e.meanRate * float64(time.Second))
	if fraction(steps+chunks, p.spread.slowdown) <= fraction(gap, nearFraction) {
		return noReadBound
	}
	if e.isSlow(now) {
		return 0
	}
	return max(0, fraction(gap, 1/p.spread.slowdown)-steps)
}

const (
	// overdueFactor is the factor of its predicted reading time after which a prompt that has not
	// begun, or that began so late, shows a slow time of its engine: between the usual variation and
	// engines that take 2.5 times as long at times. overdueMargin is added for the few milliseconds by which the
	// time of a message varies.
	overdueFactor = 1.6
	overdueMargin = 15 * time.Millisecond
	// slowMemory is how long an engine is assumed to stay slow after such a prompt: it reads the
	// next one or two in that time.
	slowMemory = 250 * time.Millisecond
)

// isSlow reports whether the engine reads slowly at present.
func (e *engine) isSlow(now time.Time) bool {
	return now.Before(e.slowUntil) || len(e.pending) > 0 && e.isOverdue(e.pending[0], now)
}

// isOverdue reports whether the first token of a prompt is late.
func (e *engine) isOverdue(g *grant, now time.Time) bool {
	return now.Sub(later(e.readingSince, g.at)) > e.lag+fraction(e.prefillTime(g), overdueFactor)+overdueMargin
}

// keepsPauses reports whether the pauses of an engine's streams are predicted to stay within their
// targets if it reads a prompt too.
func (p *Pool) keepsPauses(e *engine, req *Request, now time.Time) bool {
	if e.snapshot.readBound == noReadBound {
		return true
	}
	tokens, _ := p.tokensToRead(e, req, now)
	return e.snapshot.wait+e.readTime(tokens) <= e.snapshot.readBound
}

// placeForPauses returns the engine for a request in a pool of uneven engines. best is the one that
// the request would go to otherwise, the cheapest of candidates. A prompt that no engine with room
// can read within its latency target goes where it is read first. Others go to the cheapest engine
// that keeps the pauses of its streams; if the shared part has to be read anyway, that may be any
// engine, so that long reads go to fast ones. If there is none, best is used: when requests waited
// for one instead, as many more were refused as fewer were late (docs/design/waiting.md).
func (p *Pool) placeForPauses(best *engine, candidates []*engine, req *Request, scope placementScope, level shareLevel, now time.Time) *engine {
	// Where a suspect request goes is a matter of what may break with it.
	if !p.spread.isWide || scope.ends > 0 {
		return best
	}
	if e := p.earliestReader(best, req, scope, level, now); !p.isInTime(e, req, now) {
		return e
	}
	if p.keepsPauses(best, req, now) {
		return best
	}
	if _, shared := best.missingTokens(&req.Prompt); shared > 0 {
		candidates = p.sorted
	}
	kept := make([]*engine, 0, len(candidates))
	for _, e := range candidates {
		if p.hasRoom(p.snapshot(e, now), level) && p.keepsPauses(e, req, now) {
			kept = append(kept, e)
		}
	}
	if other := p.cheapest(kept, req, scope, now); other != nil {
		return other
	}
	return best
}

// earliestReader returns best if a prompt is predicted to be in time there, and otherwise the
// engine with room at which its first token is predicted to come first.
func (p *Pool) earliestReader(best *engine, req *Request, scope placementScope, level shareLevel, now time.Time) *engine {
	if p.isInTime(best, req, now) {
		return best
	}
	for _, e := range p.sorted {
		if scope.includes(e) && p.canTake(e, req, now) && p.hasRoom(e.snapshot, level) && p.firstTokenAfter(e, req, now) < p.firstTokenAfter(best, req, now) {
			best = e
		}
	}
	return best
}

// isInTime reports whether the first token of a request is predicted to come within its latency
// target.
func (p *Pool) isInTime(e *engine, req *Request, now time.Time) bool {
	return !now.Add(p.firstTokenAfter(e, req, now)).After(req.Arrived.Add(req.LatencyTarget))
}

// firstTokenAfter returns the predicted time to the first token of a request. The snapshot of the
// engine must be that of the current round.
func (p *Pool) firstTokenAfter(e *engine, req *Request, now time.Time) time.Duration {
	tokens, copied := p.tokensToRead(e, req, now)
	return e.snapshot.wait + copied.duration + e.readTime(tokens) + e.lag
}

// tokensToRead returns how many tokens of a prompt an engine would read, and the transfer with
// which it would obtain others.
func (p *Pool) tokensToRead(e *engine, req *Request, now time.Time) (tokens int, copied transfer) {
	tokens, shared := e.missingTokens(&req.Prompt)
	copied = p.planTransfer(e, req, shared, now)
	return tokens - copied.tokens, copied
}
