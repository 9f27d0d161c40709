package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// crossZoneTime is the price of an endpoint in another availability zone: the round trip, and
	// the bytes that cross.
	crossZoneTime = 2 * time.Millisecond
	// costJitter is the fraction by which the costs of endpoints vary at random, so that boxes that
	// decide alone do not all choose the same endpoint.
	costJitter = 0.2
	// busyWeight weighs the used fraction of an endpoint's slots against the time of a request, so
	// that requests are spread: with 0.25, those of eight concurrent callers stayed in one zone.
	busyWeight = 1
)

// placePlain chooses the endpoint for a plain request; nil means that it has to wait. Customers
// over their share are not held back while there is room: they only come last.
func (p *Pool) placePlain(req *Request, now time.Time) *engine {
	if p.isFull(now) || p.hasUsedFraction(now) || p.isQuarantined(req, now) {
		return nil
	}
	var best *engine
	lowest := math.Inf(1)
	ejected := true
	for _, e := range p.sorted {
		if !p.snapshot(e, now).usable || !p.allows(e, req, now) || !p.mayExpose(e, req, now) {
			continue
		}
		ejected = ejected && e.slots.IsEjected(now)
		if !e.slots.HasRoom(now) {
			continue
		}
		if cost := p.plainCost(e, req, now); cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil && ejected {
		return p.firstReadmitted(req, now)
	}
	return best
}

// isFull reports whether no endpoint has room for any request. Under a flood most requests find it
// so, and in a round endpoints only fill up.
func (p *Pool) isFull(now time.Time) bool {
	if p.fullRound == p.round {
		return true
	}
	hasRoom := slices.ContainsFunc(p.sorted, func(e *engine) bool {
		return p.snapshot(e, now).usable && (e.slots.HasRoom(now) || e.slots.HasRoomDespiteFailures(now))
	})
	if !hasRoom {
		p.fullRound = p.round
	}
	return !hasRoom
}

// firstReadmitted returns the endpoint whose ejection ends first: if all are ejected, trying one is
// better than refusing.
func (p *Pool) firstReadmitted(req *Request, now time.Time) (first *engine) {
	for _, e := range p.sorted {
		if !p.snapshot(e, now).usable || !p.allows(e, req, now) || !p.mayExpose(e, req, now) || !e.slots.HasRoomDespiteFailures(now) {
			continue
		}
		if first == nil || e.slots.EjectedUntil().Before(first.slots.EjectedUntil()) {
			first = e
		}
	}
	return first
}

// mayExpose reports whether a request may run at an endpoint, given the endpoints that ended under
// it: as long as one of these was found, it runs at no more at once than may still end.
func (p *Pool) mayExpose(e *engine, req *Request, now time.Time) bool {
	if req.Fingerprint.IsZero() {
		return true
	}
	status, running := p.Ledger.Check(req.Fingerprint, now), p.exposures[req.Fingerprint]
	return status.Ends == 0 || len(running) < status.Allowed || running[e] > 0
}

// hasUsedFraction reports whether a box that decides alone has as many requests at the endpoints
// as is its fraction of their slots.
func (p *Pool) hasUsedFraction(now time.Time) bool {
	return p.Routers > 1 && len(p.grants) >= max(1, p.usableSlots(now)/p.Routers)
}

// plainCost returns the time after which a request is expected to end at an endpoint, in seconds.
// An endpoint with a free slot costs less than any that would have to queue the request.
func (p *Pool) plainCost(e *engine, req *Request, now time.Time) float64 {
	held := e.slots.Expected(req.Route, now)
	cost := held + e.slots.Wait(now) + time.Duration(busyWeight*float64(held)*float64(e.slots.Busy())/float64(max(1, e.Slots)))
	if req.Zone != "" && e.Zone != req.Zone {
		cost += crossZoneTime
	}
	seconds := cost.Seconds() * (1 + costJitter*(p.Rand.Float64()-0.5))
	if !e.slots.HasFreeSlot(now) {
		seconds += time.Hour.Seconds()
	}
	return seconds
}
