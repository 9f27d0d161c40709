package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// SetEndpoints says which engines there are. Those that are gone get nothing
// new; what runs there ends as its router says. One of a later start is another engine:
// all that was known of the one before ends with it.
func (p *Pool) SetEndpoints(endpoints []route.Endpoint, now time.Time) {
	first := len(p.engines) == 0
	engines := make(map[string]*engine, len(endpoints))
	changed := len(endpoints) != len(p.engines)
	for _, endpoint := range endpoints {
		e := p.engines[endpoint.ID]
		switch {
		case e == nil || endpoint.Renews(&e.Endpoint):
			e = newEngine(endpoint, p.service.Engine.CacheTokens)
			changed = true
			if !first {
				e.life.AssumeCold(lifecycle.Started, now.Add(p.coldBound.Duration))
			}
		case endpoint.Outdated(&e.Facts):
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
	p.sortEngines()
}

// teach has an engine take a newer account of it.
func (p *Pool) updateEngine(e *engine, endpoint route.Endpoint, now time.Time) {
	e.Endpoint = endpoint
	e.coldBound = p.coldBound
	e.life.Update(endpoint.Facts, p.coldBound, now)
	if e.Slots == 0 {
		e.Slots = p.service.Engine.Slots
	}
}

// order brings what depends on the set of engines up to date.
func (p *Pool) sortEngines() {
	p.sorted = p.sorted[:0]
	for _, e := range p.engines {
		p.sorted = append(p.sorted, e)
	}
	slices.SortFunc(p.sorted, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, part := range p.parts {
		part.ranked = nil
	}
}

// engineOf is the engine that a word about one of its starts is about; nil where there is
// none, or where that start is over. A later start than the known one begins here. Born is
// 0 where the word does not say.
func (p *Pool) engineAtStart(id string, born int64, now time.Time) *engine {
	e := p.engines[id]
	if e == nil {
		return nil
	}
	told := lifecycle.Facts{Born: born}
	switch {
	case told.Outdated(&e.Facts):
		return nil
	case told.Supersedes(&e.Facts):
		endpoint := e.Endpoint
		endpoint.Born = born
		e = newEngine(endpoint, p.service.Engine.CacheTokens)
		e.life.AssumeCold(lifecycle.Started, now.Add(p.coldBound.Duration))
		p.updateEngine(e, endpoint, now)
		p.engines[id] = e
		p.sortEngines()
	}
	return e
}
