package dispatch

import (
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/slot"
)

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
