package dispatch

import "time"

// queueTime is the time in which as much as waits of a kind is granted, as far as the
// last window tells; an hour where nothing was.
func (p *Pool) drainTime(k *routeQueue, now time.Time) time.Duration {
	k.granted.advance(now, p.Rules.Window)
	waiting := 0.0
	for _, req := range k.queue {
		waiting += req.cost
	}
	if waiting >= k.granted.sum*float64(time.Hour)/float64(p.Rules.Window) {
		return time.Hour
	}
	return time.Duration(waiting / k.granted.sum * float64(p.Rules.Window))
}

// hopeless tells that a request of a customer beyond its share can not be served
// while it may wait here: as much of its kind waits before it as is granted in that
// time. It is refused at once. Without this, those refused of a customer that asks
// for ten times its share were held 105 ms on average, with it 21 ms (simulated). One
// of each kind may always wait.
func (p *Pool) isBacklogTooLong(a *account, req *Request, now time.Time) bool {
	k := a.queue(req.Route)
	if len(k.queue) == 0 || !p.isOverShare(a, req) {
		return false
	}
	return float64(p.drainTime(k, now)) > p.maxWait(req)
}

const (
	// comeBackSoonest is the least time that is predicted: some looks at the line.
	minRetryAfter = 30 * time.Millisecond
	// comeBackLatest is the most; nothing is known beyond the time over which shares
	// are counted. It is told where no engine takes work by the operator's order, which
	// holds for seconds.
	maxRetryAfter = 4 * time.Second
	// comeBackUnknown is for where no engine may get new work: how long one that
	// failed rests at first.
	unknownRetryAfter = minEjection
	// returnSpread is the part of a rest over which callers are spread that come back once
	// it is over.
	retryJitter = 0.25
)

// AfterRest is when a caller comes back where all that may serve it rest: after the first of
// them returns, by a lot between 0 and 1 spread over a part of that time. The endpoints that
// turned so many away would turn them away again if they returned together.
func RetryAfterBackoff(left time.Duration, lot float64) time.Duration {
	return left + time.Duration(lot*retryJitter*float64(left))
}

// comeBack is the time after which a refused request comes back: when half of what
// it would wait for is predicted to be over, as others leave the line too, spread from
// a quarter to three quarters so that those refused together do not return together.
// Callers whose first try is refused and whose second one is
// served are answered within their aim where that is soon enough; with 1.5 to 3 s for
// all beyond their share, the aims being 0.3 to 0.6 s, each of them was late: on days
// with trouble 5 in 100 less of what was asked for was answered in time.
func (p *Pool) retryAfter(a *account, req *Request, over bool, now time.Time) time.Duration {
	if left := p.earliestBackoffEnd(req, now).Sub(now); left > 0 {
		return RetryAfterBackoff(left, p.Rand.Float64())
	}
	room := p.timeUntilRoom(a, req, over, now)
	room = min(max(room, minRetryAfter), maxRetryAfter)
	return room/4 + time.Duration(p.Rand.Float64()*float64(room/2))
}

// roomIn is the predicted time until there is room for a request that is refused.
func (p *Pool) timeUntilRoom(a *account, req *Request, over bool, now time.Time) time.Duration {
	if !p.hasEligibleEngine(req, now) {
		return maxRetryAfter
	}
	if p.best.wait >= time.Hour {
		return unknownRetryAfter
	}
	if over {
		return p.drainTime(a.queue(req.Route), now)
	}
	return p.best.wait - p.maxBacklog()/2
}
