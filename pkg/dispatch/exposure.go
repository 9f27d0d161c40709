package dispatch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// exposure is where requests of one fingerprint run now: how many at each engine.
type exposure map[*engine]int

// expose notes that a granted request runs at its engine.
func (p *Pool) addExposure(g *grant) {
	f := g.req.Fingerprint
	if f.IsZero() {
		return
	}
	if p.exposed[f] == nil {
		p.exposed[f] = exposure{}
	}
	p.exposed[f][g.engine]++
	if ends := p.Ledger.Check(f, g.at).Ends; ends > 0 {
		g.engine.suspects[f] = ends
	}
}

// unexpose notes that it runs there no more.
func (p *Pool) removeExposure(g *grant) {
	f := g.req.Fingerprint
	if f.IsZero() {
		return
	}
	at := p.exposed[f]
	if at[g.engine]--; at[g.engine] <= 0 {
		delete(at, g.engine)
		delete(g.engine.suspects, f)
	}
	if len(at) == 0 {
		delete(p.exposed, f)
	}
}

// reach is which engines a request may go to, so that no more than quarantine.MostEnds ever
// end under it, whichever boxes decide. Counted only as they end, repeats that came at once
// ended an engine each; counted by the box that decides, boxes that decided at once, or one
// after the other, ended three each (TestMostEndsUnderChange).
//
// An engine of this box's own choice is open only to a request of which this box alone decides
// and knows nothing yet. Else a request joins those that run, or goes to the engine that its
// fingerprint ranks first, which boxes that know nothing of each other find alike. So there are
// three even where two boxes both take themselves for the only one.
type placementScope struct {
	// wider is set where it may go to any engine; else it may join those that run it.
	anyEngine bool
	exposed   exposure
	// first is the engine that it may go to beside these; nil where there is none.
	preferred *engine
	// fingerprint is the request's, and ends how many engines ended under it.
	fingerprint quarantine.Fingerprint
	ends        int
}

// reachOf finds out about a request.
func (p *Pool) placementScope(req *Request, now time.Time) placementScope {
	if req.Fingerprint.IsZero() {
		return placementScope{anyEngine: true}
	}
	verdict := p.Ledger.Check(req.Fingerprint, now)
	at := p.exposed[req.Fingerprint]
	if verdict.Quarantined() {
		return placementScope{}
	}
	r := placementScope{exposed: at, fingerprint: req.Fingerprint, ends: verdict.Ends}
	switch {
	case len(at) >= verdict.Allowed:
	case len(at) == 0 && verdict.Ends == 0 && !p.Contested:
		r.anyEngine = true
	default:
		r.preferred = p.preferredEngine(req, verdict.Ends, now)
	}
	return r
}

// accountTime is how long an engine that has just failed may have ended under a request of
// another box before that box's account of it comes.
const endReportDelay = 100 * time.Millisecond

// firstFor is the engine that a request's fingerprint ranks first, of those that may serve it:
// alike at all boxes that know the same engines, whatever else they know. The next engine
// follows one that ended under the request, as ends did, and one that failed only when no
// account of that can be on its way: nil until then.
func (p *Pool) preferredEngine(req *Request, ends int, now time.Time) *engine {
	var preferred *engine
	var weight uint64
	usable := false
	for _, e := range p.sorted {
		takes := p.snapshot(e, now).usable && p.allows(e, req, now)
		if !takes && now.Sub(e.failedAt) >= endReportDelay {
			continue
		}
		if ends > 0 && p.Ledger.HasEnded(req.Fingerprint, e.instance()) {
			continue
		}
		if own := e.weight(req.Fingerprint); preferred == nil || own > weight {
			preferred, weight, usable = e, own, takes
		}
	}
	if !usable {
		return nil
	}
	return preferred
}

// weight ranks the engine for a fingerprint, by rendezvous hash.
func (e *engine) weight(f quarantine.Fingerprint) uint64 {
	var key [len(f) + 8]byte
	copy(key[:], f[:])
	binary.LittleEndian.PutUint64(key[len(f):], e.hash)
	return xxhash.Sum64(key[:])
}

// start is the life of the engine that the pool knows.
func (e *engine) instance() quarantine.Instance {
	return quarantine.InstanceOf(e.Service, e.ID, e.Born)
}

// takes tells whether the request may go to an engine.
func (r placementScope) includes(e *engine) bool {
	return r.anyEngine || e == r.preferred || r.exposed[e] > 0
}

// beside is the most ends of another suspect at an engine, for one that is a suspect itself.
func (r placementScope) maxOtherEnds(e *engine) (most int) {
	if r.ends == 0 {
		return 0
	}
	for other, ends := range e.suspects {
		if other != r.fingerprint {
			most = max(most, ends)
		}
	}
	return most
}

// quarantined tells whether a request is to go to no engine. That is asked of each one in
// line at each look: 37 microseconds for 400 of them in place of 24 (BenchmarkDecide), so that
// one that waits as the third engine ends is refused within milliseconds.
func (p *Pool) isQuarantined(req *Request, now time.Time) bool {
	return !req.Fingerprint.IsZero() && p.Ledger.Check(req.Fingerprint, now).Quarantined()
}

// noteEnded takes the account of a router that an engine ended while it ran a request.
// Wherever else that runs, it is a suspect now.
func (p *Pool) recordEnd(ended Ended, now time.Time) {
	p.Ledger.Merge([]quarantine.End{ended.End}, "", now)
	f := ended.End.Fingerprint
	for e := range p.exposed[f] {
		e.suspects[f] = p.Ledger.Check(f, now).Ends
	}
}
