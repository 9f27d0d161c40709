package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// SetEndpoints replaces the set of engines. Removed engines get no new requests; those that run
// there end when their router reports it. A later instance of an endpoint is another engine, and
// the state of the previous one is dropped.
func (p *Pool) SetEndpoints(endpoints []route.Endpoint, now time.Time) {
	initial := len(p.engines) == 0
	p.releases = releasesOf(endpoints)
	engines := make(map[string]*engine, len(endpoints))
	changed := len(endpoints) != len(p.engines)
	for _, endpoint := range endpoints {
		e := p.engines[endpoint.ID]
		switch {
		case e == nil || endpoint.IsNewerInstanceThan(&e.Endpoint):
			e = p.newEngine(endpoint)
			changed = true
			if !initial {
				e.state.AssumeCold(lifecycle.Started, now.Add(p.coldBound.Duration))
			}
		case endpoint.IsOutdatedBy(&e.Facts):
			engines[endpoint.ID] = e
			continue
		}
		p.updateEngine(e, endpoint, now)
		engines[endpoint.ID] = e
	}
	if !changed {
		return
	}
	p.engines = engines
	p.updateEngineOrder()
}

// updateEngine applies a newer entry of an endpoint to its engine.
func (p *Pool) updateEngine(e *engine, endpoint route.Endpoint, now time.Time) {
	e.Endpoint = endpoint
	e.coldBound = p.coldBound
	e.state.Update(endpoint.Facts, p.coldBound, now)
	if e.Slots == 0 && p.service.Engine != nil {
		e.Slots = p.service.Engine.Slots
	}
	if e.slots != nil {
		e.slots.Slots = e.Slots
	}
}

// updateEngineOrder updates sorted, and drops the rankings of engines by part and the weights,
// which are computed again when they are needed. Engines that are no longer listed are removed from
// what is known of parts.
func (p *Pool) updateEngineOrder() {
	p.sorted = p.sorted[:0]
	for _, e := range p.engines {
		p.sorted = append(p.sorted, e)
	}
	slices.SortFunc(p.sorted, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	p.weighedAt = time.Time{}
	p.dropRankings()
	p.dropLostHolders()
	p.dropLostSources()
}

// engineOfInstance returns the engine for a report about one instance of an endpoint; nil if there
// is no such endpoint, or a later instance of it is known. If the known instance is earlier, it is
// replaced. born is 0 if the report does not name the instance.
func (p *Pool) engineOfInstance(id string, born int64, now time.Time) *engine {
	e := p.engines[id]
	if e == nil {
		return nil
	}
	reported := lifecycle.Facts{Born: born}
	switch {
	case reported.IsOutdatedBy(&e.Facts):
		return nil
	case reported.Supersedes(&e.Facts):
		endpoint := e.Endpoint
		endpoint.Born = born
		e = p.newEngine(endpoint)
		e.state.AssumeCold(lifecycle.Started, now.Add(p.coldBound.Duration))
		p.updateEngine(e, endpoint, now)
		p.engines[id] = e
		p.updateEngineOrder()
	}
	return e
}

// releasesOf returns the different software versions of endpoints.
func releasesOf(endpoints []route.Endpoint) (releases []string) {
	for i := range endpoints {
		if !slices.Contains(releases, endpoints[i].Release) {
			releases = append(releases, endpoints[i].Release)
		}
	}
	return releases
}

func (p *Pool) severalReleases() bool { return len(p.releases) > 1 }
