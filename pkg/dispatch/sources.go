package dispatch

import (
	"slices"
	"time"
)

// sourceIndex finds the engines that read a part, or reported to have it cached, most recently
// recorded first. Parts that such an engine has since evicted are only removed when the index is
// updated, so that readers check each entry.
type sourceIndex struct {
	byPart map[uint64][]*engine
	// sweepThreshold is the number of parts from which on outdated entries are removed.
	sweepThreshold int
}

// maxSources bounds the engines that are recorded for one part, and thereby the search for a
// source. Copies made by transfers are sources as well, and recent entries replace older ones.
const maxSources = 8

func (x *sourceIndex) add(part uint64, e *engine) {
	known := x.byPart[part]
	if len(known) > 0 && known[0] == e {
		return
	}
	if x.byPart == nil {
		x.byPart = map[uint64][]*engine{}
	}
	known = slices.DeleteFunc(known, func(other *engine) bool { return other == e || !other.hasRead(part) })
	x.byPart[part] = slices.Insert(known, 0, e)[:min(len(known)+1, maxSources)]
	x.sweep()
}

// sweep removes outdated entries once there may be many.
func (x *sourceIndex) sweep() {
	if len(x.byPart) < max(x.sweepThreshold, maxParts) {
		return
	}
	for part, engines := range x.byPart {
		if !slices.ContainsFunc(engines, func(e *engine) bool { return e.hasRead(part) }) {
			delete(x.byPart, part)
		}
	}
	x.sweepThreshold = 2 * len(x.byPart)
}

// dropLostSources removes the engines that are no longer listed and no longer leaving.
func (p *Pool) dropLostSources() {
	for part, engines := range p.sources.byPart {
		engines = slices.DeleteFunc(engines, func(e *engine) bool { return p.engines[e.ID] != e && p.leaving[e.ID] != e })
		p.sources.byPart[part] = engines
		if len(engines) == 0 {
			delete(p.sources.byPart, part)
		}
	}
}

// partSource is an engine from which parts of a prompt can be copied.
type partSource struct {
	*engine
	// tokens are those of the leading shared parts of the prompt that it has cached.
	tokens int
}

// sourceSearch is the result of the last search for the sources of a request. It is valid in one
// round only: the engines to which a request may go are compared with the same sources.
type sourceSearch struct {
	req   *Request
	round uint64
	found []partSource
}

// findSources returns the engines from which shared parts of a prompt can be copied now.
func (p *Pool) findSources(req *Request, now time.Time) []partSource {
	s := &p.sourceSearch
	if s.req == req && s.round == p.round {
		return s.found
	}
	s.req, s.round, s.found = req, p.round, s.found[:0]
	shared := req.Shared()
	for i := len(shared) - 1; i >= 0; i-- {
		for _, e := range p.sources.byPart[shared[i].ID] {
			if len(s.found) == maxSources {
				return s.found
			}
			known := slices.ContainsFunc(s.found, func(other partSource) bool { return other.engine == e })
			if tokens := e.readTokens(shared); !known && tokens > 0 && p.canSend(e, now) {
				s.found = append(s.found, partSource{e, tokens})
			}
		}
	}
	return s.found
}

// canSend reports whether parts may be copied from an engine now: it is listed or leaving, has
// not failed since it last responded, and takes part in few transfers.
func (p *Pool) canSend(e *engine, now time.Time) bool {
	listed := p.engines[e.ID] == e && !e.state.Evacuated
	healthy := e.consecutiveFailures == 0 && now.After(e.ejectedUntil) && !e.isStalled(now)
	return (listed || p.isLeavingSource(e, now)) && healthy && !now.Before(e.avoidedUntil) && e.sending < p.maxTransfersHere()
}

// hasRead reports whether a part is estimated to be cached at the engine, and was read there or
// reported by it.
func (e *engine) hasRead(part uint64) bool {
	elem := e.cacheIndex[part]
	return elem != nil && elem.Value.(cachedPart).read
}

// readTokens returns the number of tokens of the leading parts that the engine has read.
func (e *engine) readTokens(parts []Part) (tokens int) {
	for _, part := range parts {
		if !e.hasRead(part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// recordRead records that the engine of a request has the request's shared parts cached, as the
// request has begun.
func (p *Pool) recordRead(g *grant) {
	for _, part := range g.req.Shared() {
		p.recordSource(part, g.engine)
	}
}

// recordSource records that an engine has a part cached which it read or reported. Short parts
// are left out, as reading them takes no longer than a transfer.
func (p *Pool) recordSource(part Part, e *engine) {
	elem := e.cacheIndex[part.ID]
	if elem == nil {
		return
	}
	cached := elem.Value.(cachedPart)
	cached.read = true
	elem.Value = cached
	if p.Rules.Fetch && part.Tokens > maxShortShared {
		p.sources.add(part.ID, e)
	}
}
