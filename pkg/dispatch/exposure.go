package dispatch

import (
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// exposure is where requests of one fingerprint run now: how many at each engine.
type exposure map[*engine]int

// expose notes that a granted request runs at its engine.
func (p *Pool) expose(g *grant) {
	f := g.ask.Fingerprint
	if f.IsZero() {
		return
	}
	if p.exposed[f] == nil {
		p.exposed[f] = exposure{}
	}
	p.exposed[f][g.engine]++
	if ends := p.Ledger.Judge(f, g.at).Ends; ends > 0 {
		g.engine.suspects[f] = ends
	}
}

// unexpose notes that it runs there no more.
func (p *Pool) unexpose(g *grant) {
	f := g.ask.Fingerprint
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
// end under it: those that ended and those that run it now are never more. Of repeats that
// come to all boxes at once the fourth joins one of the three before, and where three
// engines have ended there is no reach. Counted only as they end, repeats that came at once
// ended an engine each: 4 to 8 of them, by as many boxes (TestDeadlyRequestsTogether).
type reach struct {
	// wider is set where it may go to any engine; else it may join those that run it.
	wider bool
	at    exposure
	// fingerprint is the request's, and ends how many engines ended under it.
	fingerprint quarantine.Fingerprint
	ends        int
}

// reachOf finds out about a request.
func (p *Pool) reachOf(ask *Ask, now time.Time) reach {
	if ask.Fingerprint.IsZero() {
		return reach{wider: true}
	}
	verdict := p.Ledger.Judge(ask.Fingerprint, now)
	at := p.exposed[ask.Fingerprint]
	if verdict.Quarantined() {
		return reach{}
	}
	return reach{wider: len(at) < verdict.Allowed, at: at, fingerprint: ask.Fingerprint, ends: verdict.Ends}
}

// takes tells whether the request may go to an engine.
func (r reach) takes(e *engine) bool { return r.wider || r.at[e] > 0 }

// beside is the most ends of another suspect at an engine, for one that is a suspect itself.
func (r reach) beside(e *engine) (most int) {
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
func (p *Pool) quarantined(ask *Ask, now time.Time) bool {
	return !ask.Fingerprint.IsZero() && p.Ledger.Judge(ask.Fingerprint, now).Quarantined()
}

// noteEnded takes the account of a router that an engine ended while it ran a request.
// Wherever else that runs, it is a suspect now.
func (p *Pool) noteEnded(how Ended, now time.Time) {
	p.Ledger.Merge([]quarantine.End{how.End}, "", now)
	f := how.End.Fingerprint
	for e := range p.exposed[f] {
		e.suspects[f] = p.Ledger.Judge(f, now).Ends
	}
}
