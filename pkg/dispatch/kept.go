package dispatch

import "time"

// warmFor is how long Warm holds: parts unused for longer have given way.
const warmFor = 30 * time.Second

// believe notes parts of a prompt at its first home, if that is likely.
func (p *Pool) believe(part *partDemand, prompt *Prompt, now time.Time) {
	if p.warmUntil.IsZero() {
		p.warmUntil = now.Add(warmFor)
	}
	if !p.Warm || now.After(p.warmUntil) || len(part.ranked) == 0 {
		return
	}
	if part.ranked[0].listed {
		return
	}
	for _, shared := range prompt.Shared() {
		part.ranked[0].keepOld(shared, true)
	}
}

// Kept are parts in an engine's memory, the latest used first.
type Kept struct {
	Endpoint string
	// Born is the start of the engine that keeps them; 0 means unknown.
	Born  int64
	Parts []Part
}

// mostKept bounds the parts told of one engine: more than its memory holds of
// long ones.
const mostKept = 128

// Kept is what this pool believes of the engines' memories, for a box that takes
// over. Short parts are left out.
func (p *Pool) Kept() (all []Kept) {
	for _, e := range p.inOrder {
		kept := Kept{Endpoint: e.ID, Born: e.Born}
		for at := e.kept.Front(); at != nil && len(kept.Parts) < mostKept; at = at.Next() {
			if part := at.Value.(keptPart).Part; part.Tokens >= smallShared {
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
func (p *Pool) Learn(kept Kept, now time.Time) {
	e := p.engineOf(kept.Endpoint, kept.Born, now)
	if e == nil {
		return
	}
	for _, part := range kept.Parts {
		e.keepOld(part, false)
		p.noteListed(part, e, now)
	}
}

// List takes an engine's own account of its memory.
func (p *Pool) List(kept Kept, now time.Time) {
	e := p.engineOf(kept.Endpoint, kept.Born, now)
	if e == nil {
		return
	}
	e.list(kept.Parts)
	for _, part := range kept.Parts {
		p.noteListed(part, e, now)
	}
}
