package dispatch

import "time"

// warmFor is how long Warm holds: parts unused for longer have given way.
const warmPeriod = 30 * time.Second

// believe notes parts of a prompt at its first home, if that is likely.
func (p *Pool) assumeCached(part *partStats, prompt *Prompt, now time.Time) {
	if p.warmUntil.IsZero() {
		p.warmUntil = now.Add(warmPeriod)
	}
	if !p.Warm || now.After(p.warmUntil) || len(part.ranked) == 0 {
		return
	}
	if part.ranked[0].hasCacheReport {
		return
	}
	for _, shared := range prompt.Shared() {
		part.ranked[0].addCachedOldest(shared, true)
	}
}

// Kept are parts in an engine's memory, the latest used first.
type CachedParts struct {
	Endpoint string
	// Born is the start of the engine that keeps them; 0 means unknown.
	Born  int64
	Parts []Part
}

// mostKept bounds the parts told of one engine: more than its memory holds of
// long ones.
const maxCachedParts = 128

// Kept is what this pool believes of the engines' memories, for a box that takes
// over. Short parts are left out.
func (p *Pool) CachedParts() (all []CachedParts) {
	for _, e := range p.sorted {
		kept := CachedParts{Endpoint: e.ID, Born: e.Born}
		for at := e.cache.Front(); at != nil && len(kept.Parts) < maxCachedParts; at = at.Next() {
			if part := at.Value.(cachedPart).Part; part.Tokens >= maxShortShared {
				kept.Parts = append(kept.Parts, part)
			}
		}
		if len(kept.Parts) > 0 {
			all = append(all, kept)
		}
	}
	return all
}

// Learn takes over what another router believes of an engine's memory.
func (p *Pool) AddCachedParts(kept CachedParts, now time.Time) {
	e := p.engineAtStart(kept.Endpoint, kept.Born, now)
	if e == nil {
		return
	}
	for _, part := range kept.Parts {
		e.addCachedOldest(part, false)
		p.recordCachedPart(part, e, now)
	}
}

// List takes an engine's own account of its memory.
func (p *Pool) ApplyCacheReport(kept CachedParts, now time.Time) {
	e := p.engineAtStart(kept.Endpoint, kept.Born, now)
	if e == nil {
		return
	}
	e.applyCacheReport(kept.Parts)
	for _, part := range kept.Parts {
		p.recordCachedPart(part, e, now)
	}
}
