package dispatch

import (
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// SetRest records that an engine asked a router to send it nothing for a while. The engine
// is not ejected: other routers may send to it. It reports whether the engine now rests longer.
func (p *Pool) SetRest(stream uint64, rest lifecycle.Rest, now time.Time) bool {
	if p.engines[rest.Endpoint] == nil {
		return false
	}
	if p.rests[stream] == nil {
		p.rests[stream] = &lifecycle.Rests{}
	}
	return p.rests[stream].Add(rest, now)
}

// HasEngine reports whether the pool has an engine.
func (p *Pool) HasEngine(engine string) bool { return p.engines[engine] != nil }

// restUntil returns when the rest that an engine asked of a request's router ends; zero or past
// if there is none.
func (p *Pool) restUntil(e *engine, req *Request) time.Time {
	rests := p.rests[req.Stream]
	if rests == nil {
		return time.Time{}
	}
	return rests.Until(e.ID, e.Born)
}

// allows reports whether a request may go to an engine now, regardless of the engine's load and
// health.
func (p *Pool) allows(e *engine, req *Request, now time.Time) bool {
	return req.canUse(e) && !now.Before(p.restUntil(e, req))
}

// canUse reports whether a request may go to an engine at all: the engine's availability zone
// and version are among those of the request, and the engine did not fail it before.
func (r *Request) canUse(e *engine) bool {
	return r.Releases.Admits(e.Release) && (len(r.Zones) == 0 || slices.Contains(r.Zones, e.Zone)) && !slices.Contains(r.Excluded, e.ID)
}

// hasEligibleEngine reports whether any engine can take a request within the time for which it
// may wait. None can if all its availability zones are evacuated, or all engines are leaving or
// rest for longer; such a request is refused at once. Decide checks it for each waiting request,
// which takes 46 instead of 43 microseconds for 400 of them (BenchmarkDecide).
func (p *Pool) hasEligibleEngine(req *Request, now time.Time) bool {
	return slices.ContainsFunc(p.sorted, func(e *engine) bool {
		return e.state.Admits() && req.canUse(e) && p.restEndsInTime(e, req, now)
	})
}

// restEndsInTime reports whether the rest that an engine asked of a request's router, if any,
// ends while the request may wait.
func (p *Pool) restEndsInTime(e *engine, req *Request, now time.Time) bool {
	until := p.restUntil(e, req)
	return until.IsZero() || !until.After(later(now, req.Arrived.Add(time.Duration(p.maxWait(req)))))
}

// earliestRestEnd returns when the first engine that can take a request ends its rest; zero if
// an engine can take it now, or none can.
func (p *Pool) earliestRestEnd(req *Request, now time.Time) (earliest time.Time) {
	for _, e := range p.sorted {
		if !e.state.Admits() || !req.canUse(e) {
			continue
		}
		until := p.restUntil(e, req)
		if !now.Before(until) {
			return time.Time{}
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}
