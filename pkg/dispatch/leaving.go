package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// leavingSourceTime is for how long an engine that is leaving is used as a source. Endpoints serve
// for 3 s after they announced that they leave; the rest is for the time until the announcement
// arrives and for the last transfer.
const leavingSourceTime = 2500 * time.Millisecond

// SetLeaving sets the engines that are leaving and still serve. They get no requests, but what
// they have cached can be copied. It is called before SetEndpoints, which drops them.
func (p *Pool) SetLeaving(endpoints []route.Endpoint, now time.Time) {
	before := len(p.leaving)
	leaving := make(map[string]*engine, len(endpoints))
	for _, endpoint := range endpoints {
		e := p.leaving[endpoint.ID]
		if e == nil {
			e = p.engines[endpoint.ID]
		}
		switch {
		case e == nil || endpoint.IsNewerInstanceThan(&e.Endpoint):
			e = p.newEngine(endpoint)
		case endpoint.IsOutdatedBy(&e.Facts):
			continue
		}
		if e.leftAt.IsZero() {
			e.leftAt = now
		}
		leaving[endpoint.ID] = e
	}
	p.leaving = leaving
	if len(leaving) < before {
		p.dropLostSources()
	}
}

// isLeavingSource reports whether an engine is leaving and still serves.
func (p *Pool) isLeavingSource(e *engine, now time.Time) bool {
	return p.leaving[e.ID] == e && now.Sub(e.leftAt) < leavingSourceTime
}

// leavingInstance returns the leaving engine for a report about one instance of an endpoint; nil
// if there is none.
func (p *Pool) leavingInstance(id string, born int64) *engine {
	e := p.leaving[id]
	if e == nil || p.engines[id] == e {
		return nil
	}
	reported := lifecycle.Facts{Born: born}
	if reported.IsOutdatedBy(&e.Facts) || reported.Supersedes(&e.Facts) {
		return nil
	}
	return e
}

// reportedEngines returns the engines whose cached parts are reported to a new dispatcher, in a
// fixed order.
func (p *Pool) reportedEngines() []*engine {
	if len(p.leaving) == 0 || !p.Rules.Fetch {
		return p.sorted
	}
	engines := slices.Clone(p.sorted)
	for id, e := range p.leaving {
		if p.engines[id] == nil {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}
