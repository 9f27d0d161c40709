package dispatch

import (
	"math"
	"time"

	"github.com/quaylead/quaylead/pkg/slot"
)

// timeVariance is the factor by which a request may take longer than expected and still meet its
// latency target.
const timeVariance = 1.25

// maxPlainWait returns how long after its arrival a plain request may start and still meet its
// latency target.
func (p *Pool) maxPlainWait(req *Request) time.Duration {
	return max(0, req.LatencyTarget-time.Duration(timeVariance*float64(req.SlotTime))-slot.Turnaround)
}

// isTooLate reports whether a plain request can not be served within its latency target.
func (p *Pool) isTooLate(a *account, req *Request, now time.Time) bool {
	p.updateSlotRate(now)
	return now.Add(p.plainWait(a, req, now)).After(req.Arrived.Add(p.maxPlainWait(req)))
}

// plainWait predicts how long a request waits for a slot if it is queued now. Before it go the
// customer's own requests, and those of other customers until each was granted as much as this
// customer will then have been. Customers within their share are served as they come, so what they
// request is not available to the others.
func (p *Pool) plainWait(a *account, req *Request, now time.Time) time.Duration {
	level := a.totalGranted() + a.waitingCost + req.cost
	ahead, within := a.waitingCost, 0.0
	for _, other := range p.accounts {
		if other == a {
			continue
		}
		other.advance(now, p.Rules.Window)
		if other.waitingCost > 0 {
			ahead += min(other.waitingCost, max(0, level-other.totalGranted()))
		}
		if other.totalRequested() <= p.share {
			within += other.totalRequested()
		}
	}
	capacity := p.tokensPerSecond / float64(max(1, p.Routers))
	left := max(capacity-within/p.Rules.Window.Seconds(), capacity/float64(max(1, len(p.accounts))))
	if left <= 0 {
		return unknownRetryAfter
	}
	seconds := ahead / left
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds*float64(time.Second)) + p.shortestSlotWait(req, now)
}

// shortestSlotWait returns the shortest time until an endpoint has a slot for a request. It
// disregards the queue here.
func (p *Pool) shortestSlotWait(req *Request, now time.Time) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, e := range p.sorted {
		if p.allows(e, req, now) && e.isUsable(now) && !e.slots.IsEjected(now) {
			shortest = min(shortest, e.slots.Wait(now))
		}
	}
	if shortest == math.MaxInt64 {
		return unknownRetryAfter
	}
	return shortest
}

// plainRetryAfter returns when to retry a refused plain request: once what is queued before it has
// been served, and up to half of that time later, so that requests refused together are not
// retried together.
func (p *Pool) plainRetryAfter(a *account, req *Request, now time.Time) time.Duration {
	if left := p.earliestRestEnd(req, now).Sub(now); left > 0 {
		return RetryAfterRest(left, p.Rand.Float64())
	}
	if !p.hasEligibleEngine(req, now) {
		return maxRetryAfter
	}
	wait := min(max(p.plainWait(a, req, now), minRetryAfter), maxRetryAfter)
	return wait + time.Duration(p.Rand.Float64()*float64(wait)/2)
}
