package dispatch

import "time"

// updateShare brings the even share of the window up to date.
func (p *Pool) updateShare(now time.Time) {
	const step = 50 * time.Millisecond
	if now.Sub(p.shareAt) < step {
		return
	}
	p.shareAt = now
	asked := make([]float64, 0, len(p.accounts))
	most := 0.0
	for name, a := range p.accounts {
		a.advance(now, p.Rules.Window)
		a.otherGroups.advance(now, p.Rules.Window)
		if a.requested.sum < 1 && a.waiting == 0 {
			delete(p.accounts, name)
			continue
		}
		asked = append(asked, a.totalRequested())
		most = max(most, a.totalGranted())
	}
	seconds := p.Rules.Window.Seconds() * float64(max(1, p.Groups)) / float64(max(1, p.Routers))
	p.share = maxMinShare(asked, p.tokensPerSecond*seconds)
	// What one customer got, others may have nearly as well, however little the engines
	// are believed to do: see BehindPart.
	p.measuredShare = max(maxMinShare(asked, p.capacity(now)*seconds), p.Rules.CatchUpFraction*most)
}

// capacity is what the engines can do in a second, in tokens as Prompt.Cost counts
// them, when they read for Rules.ReadPart of their time: parts that they keep cost
// them nothing. It is not less than what is stated.
func (p *Pool) capacity(now time.Time) float64 {
	p.granted.advance(now, p.Rules.Window)
	p.read.advance(now, p.Rules.Window)
	rate := 0.0
	for _, e := range p.sorted {
		if e.isUsable(now) {
			rate += e.rate
		}
	}
	// Of the first few grants the ratio says little.
	const fewTokens = 1000
	if p.read.sum < fewTokens {
		return p.tokensPerSecond
	}
	return max(p.tokensPerSecond, rate*p.Rules.ReadFraction*p.granted.sum/p.read.sum)
}

// over tells whether a request is beyond its customer's share.
func (p *Pool) isOverShare(a *account, req *Request) bool {
	return p.tokensPerSecond > 0 && a.totalGranted()+req.cost/2 > p.share
}

// backlog is the longest predicted wait at an engine that gets new work.
func (p *Pool) maxBacklog() time.Duration {
	return fraction(p.shortestTarget(), p.Rules.BacklogFraction)
}

func fraction(whole time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(whole))
}

// shortestAim is that of the requests of the last one or two windows.
func (p *Pool) shortestTarget() time.Duration { return min(p.targets.current, p.targets.previous) }

// aims are the shortest aims asked for in the window that began last, and in the one
// before; noAim where there was none.
type latencyTargets struct {
	current, previous time.Duration
	since             time.Time
}

// noAim is longer than any.
const noTarget = time.Hour

func (a *latencyTargets) record(aim time.Duration, now time.Time, window time.Duration) {
	switch passed := now.Sub(a.since); {
	case passed >= 2*window:
		*a = latencyTargets{current: noTarget, previous: noTarget, since: now}
	case passed >= window:
		*a = latencyTargets{current: noTarget, previous: a.current, since: now}
	}
	a.current = min(a.current, aim)
}

// standing is how far a customer's request is within or beyond its share.
type shareLevel int

const (
	// within its share, a customer's requests wait for nobody beyond it.
	withinShare shareLevel = iota
	// beyond it, they go where they delay little. So do those of every customer that got
	// clearly less than the most served one: of two that get idle engines only, the one
	// with the longer line finds them more often, whichever is first in turn.
	overShare
	// farBeyond it, they get idle engines only.
	farOverShare
)

func (p *Pool) shareLevel(a *account, req *Request) shareLevel {
	switch {
	case !p.isOverShare(a, req):
		return withinShare
	case a.totalGranted()+req.cost/2 <= p.measuredShare:
		return overShare
	default:
		return farOverShare
	}
}

// hasRoom tells whether an engine that is seen so may get a request.
func (p *Pool) hasRoom(seen engineSnapshot, level shareLevel) bool {
	switch level {
	case withinShare:
		return seen.wait <= p.maxBacklog()
	case overShare:
		return seen.wait <= fraction(p.shortestTarget(), p.Rules.OverShareBacklogFraction)
	default:
		return seen.idle
	}
}
