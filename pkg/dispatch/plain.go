package dispatch

import (
	"time"

	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/slot"
)

// The endpoints of a plain service are engines without a prefix cache: their requests have no
// prompt, cost the time for which they hold a slot, and go where a slot is free or will be soon.
// Customers' accounts and queues are the same as for model engines.

// slotSecond is the cost of a slot that is held for a second. Costs are in microseconds, as accounts
// drop sums below 1.
const slotSecond = 1e6

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
			e.slots = p.newSlots(e.Slots)
			if !plain {
				e.cacheCapacity = p.service.Engine.CacheTokens
			}
		}
	}
}

// newSlots returns an empty account of so many slots; nil for a model engine.
func (p *Pool) newSlots(slots int) *slot.Endpoint {
	if !p.isPlain() {
		return nil
	}
	return &slot.Endpoint{Slots: slots, Times: p.times}
}

// newEngine returns the state of an endpoint about which nothing is known.
func (p *Pool) newEngine(endpoint route.Endpoint) *engine {
	capacity := 0
	if p.service.Engine != nil {
		capacity = p.service.Engine.CacheTokens
	}
	e := newEngine(endpoint, capacity)
	e.slots = p.newSlots(endpoint.Slots)
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

// choose chooses the engine for a request; nil means that it has to wait.
func (p *Pool) choose(a *account, req *Request, now time.Time) *engine {
	if p.isPlain() {
		return p.placePlain(req, now)
	}
	return p.place(a, req, now)
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
