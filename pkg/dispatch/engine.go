package dispatch

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/slot"
)

// engine is the estimated state of one engine, from the pool's grants and the routers' reports.
type engine struct {
	route.Endpoint
	// hash is the hash of its ID.
	hash uint64
	// state decides whether and how much may be sent; coldBound limits this while the engine is
	// cold.
	state         lifecycle.State
	coldBound     lifecycle.Bound
	cacheCapacity int

	// pending are the granted requests whose first token has not come, in the order in which the
	// engine reads them.
	pending []*grant
	// running counts the requests that were granted and have not ended.
	running int
	// privateTokens are the tokens of running requests that cannot be shared.
	privateTokens int
	// progressAt is when a request last began at the engine, or when its first pending request
	// was granted. readingSince is the earliest time at which the engine can have started to
	// read that request: a prompt is read completely one lag before its first token comes.
	progressAt, readingSince time.Time
	prefillEstimate
	transferState
	// leftAt is when the engine was first known to be leaving; zero if it is not.
	leftAt time.Time
	streamPace
	// slowUntil is the time until which the engine is assumed to be slow.
	slowUntil time.Time

	// cache are the parts estimated to be in the engine's prefix cache, the most recently used
	// first; cacheIndex finds them by part ID.
	cache      *list.List
	cacheIndex map[uint64]*list.Element
	// cachedTokens is the sum of their tokens.
	cachedTokens int
	// snapshot is the result of Pool.snapshot in the current round.
	snapshot engineSnapshot

	// hasCacheReport is set once the engine itself has reported its cache.
	hasCacheReport bool

	// ejectedUntil is the time until which the engine gets no new work after failures. What the
	// engine itself asked for is in Pool.rests.
	ejectedUntil time.Time
	// failedAt is when the last of these failures occurred.
	failedAt time.Time
	// consecutiveFailures lengthen the ejection.
	consecutiveFailures int
	// consecutiveBroken counts broken responses without a first token between them.
	consecutiveBroken int
	// slots is the account of an endpoint of a plain service; nil for a model engine.
	slots *slot.Endpoint
	// suspects are the fingerprints of requests running here under which engines ended, with the
	// number of these engines.
	suspects map[quarantine.Fingerprint]int
}

// engineSnapshot is the state of an engine that placement needs and that does not depend on the
// request.
type engineSnapshot struct {
	// round is the pool's round in which it was taken; in another round it is invalid.
	round  uint64
	usable bool
	// idle engines have no pending requests.
	idle bool
	wait time.Duration
	// readBound is the result of Pool.readBound.
	readBound time.Duration
}

type cachedPart struct {
	Part
	// assumed parts were neither read here nor reported by the engine; they are only likely to
	// be cached.
	assumed bool
	// read parts were read here to the end, or reported. Others are being read by a request that
	// has not begun.
	read bool
}

// grant is a request assigned to an engine.
type grant struct {
	req    *Request
	engine *engine
	// tokens is the number of tokens that the engine has to read.
	tokens int
	// transfer is the copy that the engine makes before it reads these; transferEnded is set once
	// its source is no longer in use for it.
	transfer      transfer
	transferEnded bool

	at    time.Time
	begun bool
	// begunAt is when its first token came.
	begunAt time.Time
	// adopted grants were made by another box. What the engine read in between is not known, so
	// they are no samples for its prefillEstimate. Neither are those with a transfer, of which the
	// time is only predicted.
	adopted bool
	// shadow grants are adopted ones that the box which made them still tallies: those of this box's
	// own requests, while another box dispatches.
	shadow bool
}

const (
	// maxPrivateFraction is the fraction of an engine's cache that the private tokens of running
	// requests may take.
	maxPrivateFraction = 0.7
	// minEjection is the time without new work after a failure. It doubles with each consecutive
	// failure, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxConsecutiveBroken is the number of consecutive broken responses that count as a crash.
	maxConsecutiveBroken = 3
	// stallTimeout is the time beyond the predicted first token after which an engine at which no
	// request has begun since is considered stalled.
	stallTimeout = 800 * time.Millisecond
)

func newEngine(endpoint route.Endpoint, capacity int) *engine {
	return &engine{
		Endpoint:        endpoint,
		hash:            xxhash.Sum64String(endpoint.ID),
		cacheCapacity:   capacity,
		prefillEstimate: newPrefillEstimate(),
		cache:           list.New(),
		cacheIndex:      map[uint64]*list.Element{},
		suspects:        map[quarantine.Fingerprint]int{},
	}
}

// missingTokens returns the number of tokens of a prompt that the engine has to read, and how
// many of them belong to shared parts.
func (e *engine) missingTokens(p *Prompt) (tokens, shared int) {
	prefixCached := true
	for i, part := range p.Parts {
		prefixCached = prefixCached && e.cacheIndex[part.ID] != nil
		if prefixCached {
			continue
		}
		tokens += part.Tokens
		if i < len(p.Parts)-1 {
			shared += part.Tokens
		}
	}
	return tokens, shared
}

// predictedWait returns the predicted time until the engine starts to read a new prompt.
func (e *engine) predictedWait(now time.Time) time.Duration {
	tokens, transfers := 0, time.Duration(0)
	for _, g := range e.pending {
		tokens += g.tokens
		transfers += g.transfer.duration
	}
	if tokens == 0 && transfers == 0 {
		return 0
	}
	reading := e.readTime(tokens) + transfers
	// The first token comes one lag after the prompt was read. If that of the first pending
	// request is late, those behind it are assumed to be unread. If it is late after a transfer,
	// the engine is assumed to read the parts itself.
	first := e.prefillTime(e.pending[0])
	progress := max(0, now.Sub(e.readingSince))
	if progress > first+e.lag {
		fallback := e.fallbackTime(e.pending[0])
		first, reading = first+fallback, reading+fallback
	}
	if progress > first+e.lag {
		progress = first
	}
	return max(0, reading-progress)
}

// isStalled reports whether no request has begun at the engine for far longer than predicted.
func (e *engine) isStalled(now time.Time) bool {
	if len(e.pending) == 0 {
		return false
	}
	first := e.pending[0]
	since := first.at
	if e.progressAt.After(since) {
		since = e.progressAt
	}
	return now.Sub(since) > e.lag+e.prefillTime(first)+e.fallbackTime(first)+stallTimeout
}

// isUsable reports whether the engine is healthy and may get new work. It does not check the
// limit of a cold engine.
func (e *engine) isUsable(now time.Time) bool {
	return e.state.Admits() && now.After(e.ejectedUntil) && !e.isStalled(now)
}

// fits reports whether the engine has a slot and cache room for a prompt.
func (e *engine) fits(p *Prompt) bool {
	if e.running >= e.Slots {
		return false
	}
	need := p.Last().Tokens + p.ExpectedOutput()
	return e.running == 0 || e.privateTokens+need <= int(maxPrivateFraction*float64(e.cacheCapacity))
}

// addGrant records a request that is assigned to the engine.
func (e *engine) addGrant(g *grant, now time.Time) {
	if len(e.pending) == 0 {
		e.progressAt, e.readingSince = now, now
	}
	e.snapshot = engineSnapshot{}
	e.state.RecordSent(now)
	e.pending = append(e.pending, g)
	e.running++
	e.addStream(g.req)
	e.privateTokens += g.req.Last().Tokens + g.req.ExpectedOutput()
	for _, part := range g.req.Parts {
		e.addCached(part)
	}
}

// addCached adds a part to the prefix cache and evicts the least recently used ones if it is
// full.
func (e *engine) addCached(part Part) {
	if elem := e.cacheIndex[part.ID]; elem != nil {
		elem.Value = cachedPart{Part: part, read: elem.Value.(cachedPart).read}
		e.cache.MoveToFront(elem)
		return
	}
	e.cacheIndex[part.ID] = e.cache.PushFront(cachedPart{Part: part})
	e.cachedTokens += part.Tokens
	for e.cachedTokens > e.cacheCapacity && e.cache.Len() > 1 {
		e.evict(e.cache.Back())
	}
}

// addCachedOldest adds a part that is likely to be in the prefix cache as the least recently
// used one.
func (e *engine) addCachedOldest(part Part, assumed bool) {
	if e.cacheIndex[part.ID] != nil || e.cachedTokens+part.Tokens > e.cacheCapacity {
		return
	}
	e.cacheIndex[part.ID] = e.cache.PushBack(cachedPart{Part: part, assumed: assumed})
	e.cachedTokens += part.Tokens
}

// applyCacheReport replaces assumed parts by those that the engine reported.
func (e *engine) applyCacheReport(parts []Part) {
	e.hasCacheReport = true
	for elem := e.cache.Front(); elem != nil; {
		next := elem.Next()
		if elem.Value.(cachedPart).assumed {
			e.evict(elem)
		}
		elem = next
	}
	for _, part := range parts {
		e.addCachedOldest(part, false)
	}
}

func (e *engine) evict(elem *list.Element) {
	part := elem.Value.(cachedPart)
	e.cache.Remove(elem)
	delete(e.cacheIndex, part.ID)
	e.cachedTokens -= part.Tokens
}

// begin records the first token of a request.
func (e *engine) begin(g *grant, now time.Time) {
	if g.begun {
		return
	}
	g.begun, g.begunAt = true, now
	e.recordSuccess()
	e.removePending(g)
	if !g.adopted && g.transfer.source == nil {
		if e.isOverdue(g, now) {
			e.slowUntil = now.Add(slowMemory)
		}
		e.recordFirstToken(g.tokens, later(e.readingSince, g.at), now, e.readingSince.After(g.at))
	}
	e.readingSince = later(e.readingSince, now.Add(-e.lag))
	e.progressAt = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *engine) removePending(g *grant) {
	for i, other := range e.pending {
		if other == g {
			e.pending = append(e.pending[:i], e.pending[i+1:]...)
			return
		}
	}
}

// finish removes a request that ended.
func (e *engine) finish(g *grant, outcome Outcome, now time.Time) {
	if !g.begun {
		e.removePending(g)
	}
	e.running--
	e.removeStream(g.req)
	e.privateTokens -= g.req.Last().Tokens + g.req.ExpectedOutput()
	if e.slots != nil {
		e.freeSlot(g, outcome, now)
		return
	}
	switch outcome.(type) {
	case Done, Unused:
	case NotRun:
		// The engine is full, or its entry is stale: eject it only briefly, and count no
		// failure.
		e.ejectedUntil = now.Add(minEjection / 5)
	case Unreachable:
		e.recordFailure(now)
	case Broken, Ended:
		// One broken response says little, and sending the engine's prompts elsewhere would cost
		// far more. A crash breaks many at once.
		if e.consecutiveBroken++; e.consecutiveBroken >= maxConsecutiveBroken {
			e.recordFailure(now)
		}
	}
}

func (e *engine) recordFailure(now time.Time) {
	ejection := min(minEjection<<min(e.consecutiveFailures, 8), maxEjection)
	e.consecutiveFailures++
	e.ejectedUntil, e.failedAt = now.Add(ejection), now
	// The engine may be back as a new instance before its entry reports it.
	e.state.AssumeCold(lifecycle.Returned, e.ejectedUntil.Add(e.coldBound.Duration))
}

func (e *engine) recordSuccess() {
	e.consecutiveFailures = 0
	e.consecutiveBroken = 0
	e.ejectedUntil = time.Time{}
}
