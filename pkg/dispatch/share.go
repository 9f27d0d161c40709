package dispatch

import "time"

// updateShare recomputes the share of each customer in the window.
func (p *Pool) updateShare(now time.Time) {
	const updateInterval = 50 * time.Millisecond
	if now.Sub(p.shareAt) < updateInterval {
		return
	}
	p.shareAt = now
	requested := make([]float64, 0, len(p.accounts))
	p.maxGranted, p.maxRecentlyGranted = 0, 0
	for name, a := range p.accounts {
		a.advance(now, p.Rules.Window)
		a.otherGroups.advance(now, p.Rules.Window)
		if a.requested.sum < 1 && a.waiting == 0 {
			delete(p.accounts, name)
			continue
		}
		requested = append(requested, a.totalRequested())
		p.maxGranted = max(p.maxGranted, a.totalGranted())
		p.maxRecentlyGranted = max(p.maxRecentlyGranted, a.recentlyGranted())
	}
	seconds := p.Rules.Window.Seconds() * float64(max(1, p.Groups)) / float64(max(1, p.Routers))
	p.share = maxMinShare(requested, p.tokensPerSecond*seconds)
	// Other customers may have nearly as much as the most served one got, even if the engines
	// are estimated to do less: see Rules.CatchUpFraction.
	p.measuredShare = max(maxMinShare(requested, p.capacity(now)*seconds), p.Rules.CatchUpFraction*p.maxRecentlyGranted)
}

// capacity returns what the engines can do in a second, in tokens as counted by Prompt.Cost, if
// they read for Rules.ReadFraction of their time; cached parts cost no reading time. It is at
// least the stated rate.
func (p *Pool) capacity(now time.Time) float64 {
	p.granted.advance(now, p.Rules.Window)
	p.read.advance(now, p.Rules.Window)
	rate := 0.0
	for _, e := range p.sorted {
		if e.isUsable(now) {
			rate += e.rate
		}
	}
	// The ratio of the first few grants is not reliable.
	const minTokens = 1000
	if p.read.sum < minTokens {
		return p.tokensPerSecond
	}
	return max(p.tokensPerSecond, rate*p.Rules.ReadFraction*p.granted.sum/p.read.sum)
}

// isOverShare reports whether a request exceeds its customer's share.
func (p *Pool) isOverShare(a *account, req *Request) bool {
	return p.tokensPerSecond > 0 && a.totalGranted()+req.cost/2 > p.share
}

// underservedSlack is the number of requests by which a customer may be short before it counts as
// underserved: a small one that was refused a single request is not.
const underservedSlack = 3

// isUnderserved reports whether the customer of a request was granted clearly less than is due to it:
// the smaller of what it requested, without what still waits, and what the most served one was granted.
func (p *Pool) isUnderserved(a *account, req *Request) bool {
	due := min(a.totalRequested()-a.waitingCost, p.maxGranted) - underservedSlack*req.cost
	return a.totalGranted() < p.Rules.UnderservedFraction*due
}

// maxBacklog returns the longest predicted wait at an engine that gets new work.
func (p *Pool) maxBacklog() time.Duration {
	return fraction(p.shortestTarget(), p.Rules.BacklogFraction)
}

func fraction(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}

// shortestTarget returns the shortest latency target of the last one or two windows.
func (p *Pool) shortestTarget() time.Duration { return min(p.targets.current, p.targets.previous) }

// latencyTargets are the shortest latency targets requested in the current window and the one
// before; noTarget if there was none.
type latencyTargets struct {
	current, previous time.Duration
	since             time.Time
}

// noTarget is longer than any latency target.
const noTarget = time.Hour

func (t *latencyTargets) record(target time.Duration, now time.Time, window time.Duration) {
	switch elapsed := now.Sub(t.since); {
	case elapsed >= 2*window:
		*t = latencyTargets{current: noTarget, previous: noTarget, since: now}
	case elapsed >= window:
		*t = latencyTargets{current: noTarget, previous: t.current, since: now}
	}
	t.current = min(t.current, target)
}

// shareLevel is how far a customer's request is within or over its share.
type shareLevel int

const (
	// withinShare requests do not wait for any request over its customer's share.
	withinShare shareLevel = iota
	// overShare requests go to engines with a short wait, where they delay others little.
	// Customers that were granted clearly less than the most served one have this level too: of
	// two customers that get idle engines only, the one with the longer queue finds them more
	// often, whichever is first in turn.
	overShare
	// farOverShare requests get idle engines only.
	farOverShare
)

func (p *Pool) shareLevel(a *account, req *Request) shareLevel {
	switch {
	case !p.isOverShare(a, req):
		return withinShare
	case a.recentlyGranted()+req.cost/2 <= p.measuredShare:
		return overShare
	default:
		return farOverShare
	}
}

// hasRoom reports whether an engine in this state may get a request.
func (p *Pool) hasRoom(snapshot engineSnapshot, level shareLevel) bool {
	switch level {
	case withinShare:
		return snapshot.wait <= p.maxBacklog()
	case overShare:
		return snapshot.wait <= fraction(p.shortestTarget(), p.Rules.OverShareBacklogFraction)
	default:
		return snapshot.idle
	}
}
