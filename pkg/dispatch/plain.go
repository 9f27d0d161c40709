package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/slot"
)

// The endpoints of a plain service are engines without a prefix cache: their requests have no
// prompt, cost the time for which they hold a slot, and go where a slot is free or will be soon.
// Customers' accounts and queues are the same as for model engines.

const (
	// slotSecond is the cost of a slot that is held for a second. Costs are in microseconds, as
	// accounts drop sums below 1.
	slotSecond = 1e6
	// timeVariance is the factor by which a request may take longer than expected and still meet
	// its latency target.
	timeVariance = 1.25
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

// isPlain reports whether the service has no engines.
func (p *Pool) isPlain() bool { return p.times != nil }

// configureSlots makes the pool one of a plain service, or one of engines.
func (p *Pool) configureSlots() {
	if plain := p.service.Engine == nil; plain != p.isPlain() {
		p.times = nil
		if plain {
			p.times = &slot.Times{}
		}
		for _, e := range p.engines {
			e.slots = p.newSlots()
		}
	}
}

// newSlots returns an empty account; nil for a model engine.
func (p *Pool) newSlots() *slot.Endpoint {
	if !p.isPlain() {
		return nil
	}
	return &slot.Endpoint{Times: p.times}
}

// newEngine returns the state of an endpoint about which nothing is known.
func (p *Pool) newEngine(endpoint route.Endpoint) *engine {
	capacity := 0
	if p.service.Engine != nil {
		capacity = p.service.Engine.CacheTokens
	}
	e := newEngine(endpoint, capacity)
	e.slots = p.newSlots()
	return e
}

// Cost returns the cost of the request: the time for which it holds a slot, or the work of its
// prompt.
func (r *Request) Cost() float64 {
	if r.SlotTime > 0 {
		return r.SlotTime.Seconds() * slotSecond
	}
	return r.Prompt.Cost()
}

// EstimateSlotTime sets the time for which a request to a plain service is expected to hold a
// slot. Requests to model engines have none.
func (p *Pool) EstimateSlotTime(req *Request) {
	if p.isPlain() && req.SlotTime == 0 {
		req.SlotTime = p.times.Expected(req.Route)
	}
}

// EachWaiting calls a function for each queued request.
func (p *Pool) EachWaiting(visit func(*Request)) {
	for _, req := range p.waiting {
		visit(req)
	}
}

// HasFreeSlot reports whether an endpoint of a plain service can start one more request.
func (p *Pool) HasFreeSlot(now time.Time) bool {
	return p.isPlain() && slices.ContainsFunc(p.sorted, func(e *engine) bool {
		return e.slots.HasFreeSlot(now) && p.isUsable(e, now)
	})
}

// updateSlotRate sets the capacity of a plain service from the slots that can be used.
func (p *Pool) updateSlotRate(now time.Time) {
	if p.isPlain() {
		p.tokensPerSecond = slotSecond * float64(p.usableSlots(now))
	}
}

func (p *Pool) usableSlots(now time.Time) (slots int) {
	for _, e := range p.sorted {
		if e.isUsable(now) && !e.slots.IsEjected(now) {
			slots += e.Slots
		}
	}
	return slots
}

// takeSlot records a grant in the account of the endpoint. Its prompt is empty, so it is not one
// whose reading is awaited. The box's own requests are adopted when it sends them; those of
// another box, which this one took over, have run for an unknown time.
func (e *engine) takeSlot(g *grant, now time.Time) {
	if e.slots == nil {
		return
	}
	e.removePending(g)
	e.slots.Grant(g.req.ID, g.req.Route, !g.adopted || g.req.Stream == 0, now)
}

// dropSlot removes a grant whose router is gone: how long it holds its slot is not known.
func (e *engine) dropSlot(g *grant, now time.Time) {
	if e.slots != nil {
		e.slots.Forget(g.req.ID, now)
	}
}

// freeSlot records in the account of the endpoint how a grant ended.
func (e *engine) freeSlot(g *grant, outcome Outcome, now time.Time) {
	e.running--
	e.privateTokens -= g.req.Last().Tokens + g.req.ExpectedOutput()
	ejectedUntil := e.slots.EjectedUntil()
	e.slots.End(g.req.ID, slotOutcome(outcome), now)
	if until := e.slots.EjectedUntil(); until.After(ejectedUntil) {
		e.failedAt = now
		// It may be back as a new instance before its entry reports it.
		e.state.AssumeCold(lifecycle.Returned, until.Add(e.coldBound.Duration))
	}
}

// slotOutcome converts an outcome to the form that slot accounts take.
func slotOutcome(outcome Outcome) slot.Outcome {
	switch outcome.(type) {
	case Unused:
		return slot.Unused{}
	case NotRun:
		return slot.Refused{}
	case Unreachable:
		return slot.Unreachable{}
	case Broken, Ended:
		return slot.Broken{}
	default:
		return slot.Completed{}
	}
}

// completePlain records that a plain request was completed. It has no first event of its own.
func (p *Pool) completePlain(g *grant) {
	if !p.isPlain() || g.begun {
		return
	}
	g.begun = true
	if !g.adopted {
		p.tallyFor(g.req.Customer).Begun += g.req.cost
	}
}

// choose chooses the engine for a request; nil means that it has to wait.
func (p *Pool) choose(a *account, req *Request, now time.Time) *engine {
	if p.isPlain() {
		return p.placePlain(req, now)
	}
	return p.place(req, p.shareLevel(a, req), now)
}

// isHopeless reports whether a request is refused on arrival, as what is queued before it takes
// too long.
func (p *Pool) isHopeless(a *account, req *Request, now time.Time) bool {
	if p.isPlain() {
		return p.isTooLate(a, req, now)
	}
	return p.isBacklogTooLong(a, req, now)
}

// retryTime returns the time after which to retry a refused request.
func (p *Pool) retryTime(a *account, req *Request, isOver bool, now time.Time) time.Duration {
	if p.isPlain() {
		return p.plainRetryAfter(a, req, now)
	}
	return p.retryAfter(a, req, isOver, now)
}

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
		return p.firstBack(req, now)
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

// firstBack returns the endpoint whose ejection ends first: if all are ejected, trying one is
// better than refusing.
func (p *Pool) firstBack(req *Request, now time.Time) (first *engine) {
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
	held := e.slots.Expected(req.Route)
	cost := held + e.slots.Wait() + time.Duration(busyWeight*float64(held)*float64(e.slots.Busy())/float64(max(1, e.Slots)))
	if req.Zone != "" && e.Zone != req.Zone {
		cost += crossZoneTime
	}
	seconds := cost.Seconds() * (1 + costJitter*(p.Rand.Float64()-0.5))
	if !e.slots.HasFreeSlot(now) {
		seconds += time.Hour.Seconds()
	}
	return seconds
}
