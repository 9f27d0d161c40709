package dispatch

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// engine is what the pool believes of one engine, from what it granted and what
// routers told of it.
type engine struct {
	route.Endpoint
	// hash is of its ID.
	hash uint64
	// life says whether and how much may be sent; bound is what it takes while cold.
	life          lifecycle.State
	coldBound     lifecycle.Bound
	cacheCapacity int

	// unread are the granted requests whose first token has not come, in the
	// order in which the engine takes them.
	pending []*grant
	// running counts the requests that are granted and not ended.
	running int
	// own are the tokens of running requests that can not be shared.
	privateTokens int
	// progressAt is when the engine last began a request, or when its first
	// unread one was granted; readFrom is since when it can read that one. A request
	// that begins was read a lag before.
	progressAt, readingSince time.Time
	prefillEstimate

	// kept are the parts believed in the engine's memory, the latest used first.
	cache      *list.List
	cacheIndex map[uint64]*list.Element
	// keptTokens is their sum.
	cachedTokens int
	// seen is what the pool found in its current round.
	snapshot engineSnapshot

	// listed is set once the engine itself has told what it keeps.
	hasCacheReport bool

	// suspectUntil is the end of a time without new work, after failures, as the pool
	// supposes. What the engine asked for itself is in Pool.rests.
	ejectedUntil time.Time
	// failedAt is when the last of these failures came.
	failedAt time.Time
	// failures in a row lengthen that time.
	consecutiveFailures int
	// broken answers in a row, without a first token between them.
	consecutiveBroken int
	// suspects are the fingerprints under which engines had ended that run here, with how
	// many.
	suspects map[quarantine.Fingerprint]int
}

// view is what placing a request needs of an engine, and does not depend on the
// request.
type engineSnapshot struct {
	// round is the pool's when it was found; another one makes it void.
	round  uint64
	usable bool
	// idle engines have begun all that they were granted.
	idle bool
	wait time.Duration
}

type cachedPart struct {
	Part
	// believed parts were neither read nor told; they are likely.
	assumed bool
}

// grant is a request at an engine.
type grant struct {
	req    *Request
	engine *engine
	// tokens have to be read there.
	tokens int
	at     time.Time
	begun  bool
	// adopted grants were another box's: what came between them is not known, so
	// they tell nothing of the engine's pace.
	adopted bool
}

const (
	// keptReserve is the part of an engine's memory that running requests may
	// take for themselves.
	maxPrivateFraction = 0.7
	// suspectFor is the time without new work after a failure; it doubles with
	// each failure in a row, up to suspectLongest.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// brokenMost is the number of broken answers in a row that stand for a crash.
	maxConsecutiveBroken = 3
	// stallAfter is the time beyond the predicted first token after which an
	// engine that began nothing since is taken for hanging.
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

// missing is the number of tokens of a prompt that the engine has to read, and
// how many of them are of shared parts.
func (e *engine) missingTokens(p *Prompt) (tokens, shared int) {
	whole := true
	for i, part := range p.Parts {
		whole = whole && e.cacheIndex[part.ID] != nil
		if whole {
			continue
		}
		tokens += part.Tokens
		if i < len(p.Parts)-1 {
			shared += part.Tokens
		}
	}
	return tokens, shared
}

// wait is the predicted time until the engine begins to read a new prompt.
func (e *engine) predictedWait(now time.Time) time.Duration {
	tokens := 0
	for _, g := range e.pending {
		tokens += g.tokens
	}
	if tokens == 0 {
		return 0
	}
	reading := e.readTime(tokens)
	// What was read has its first token a lag later. Where that of the first one does
	// not come in time, those behind it are taken for unread.
	first := e.readTime(e.pending[0].tokens)
	progress := max(0, now.Sub(e.readingSince))
	if progress > first+e.lag {
		progress = first
	}
	return max(0, reading-progress)
}

// stalled tells that the engine began nothing for far longer than predicted.
func (e *engine) isStalled(now time.Time) bool {
	if len(e.pending) == 0 {
		return false
	}
	first := e.pending[0]
	since := first.at
	if e.progressAt.After(since) {
		since = e.progressAt
	}
	return now.Sub(since) > e.lag+e.readTime(first.tokens)+stallTimeout
}

// usable tells whether the engine is well and may get new work. While cold, it may have
// had enough for now.
func (e *engine) isUsable(now time.Time) bool {
	return e.life.Admits() && now.After(e.ejectedUntil) && !e.isStalled(now)
}

// fits tells whether the engine has a slot and memory for a prompt.
func (e *engine) fits(p *Prompt) bool {
	if e.running >= e.Slots {
		return false
	}
	need := p.Last().Tokens + p.ExpectedOutput()
	return e.running == 0 || e.privateTokens+need <= int(maxPrivateFraction*float64(e.cacheCapacity))
}

// take books a request.
func (e *engine) addGrant(g *grant, now time.Time) {
	if len(e.pending) == 0 {
		e.progressAt, e.readingSince = now, now
	}
	e.snapshot = engineSnapshot{}
	e.life.RecordSent(now)
	e.pending = append(e.pending, g)
	e.running++
	e.privateTokens += g.req.Last().Tokens + g.req.ExpectedOutput()
	for _, part := range g.req.Parts {
		e.addCached(part)
	}
}

// keep notes that a part is in the engine's memory; those unused for longest
// give way.
func (e *engine) addCached(part Part) {
	if at := e.cacheIndex[part.ID]; at != nil {
		at.Value = cachedPart{Part: part}
		e.cache.MoveToFront(at)
		return
	}
	e.cacheIndex[part.ID] = e.cache.PushFront(cachedPart{Part: part})
	e.cachedTokens += part.Tokens
	for e.cachedTokens > e.cacheCapacity && e.cache.Len() > 1 {
		e.evict(e.cache.Back())
	}
}

// keepOld notes a part that is likely to be in the engine's memory, as the one
// unused for longest.
func (e *engine) addCachedOldest(part Part, believed bool) {
	if e.cacheIndex[part.ID] != nil || e.cachedTokens+part.Tokens > e.cacheCapacity {
		return
	}
	e.cacheIndex[part.ID] = e.cache.PushBack(cachedPart{Part: part, assumed: believed})
	e.cachedTokens += part.Tokens
}

// list takes the engine's own account of what it keeps in place of what was only
// believed.
func (e *engine) applyCacheReport(parts []Part) {
	e.hasCacheReport = true
	for at := e.cache.Front(); at != nil; {
		next := at.Next()
		if at.Value.(cachedPart).assumed {
			e.evict(at)
		}
		at = next
	}
	for _, part := range parts {
		e.addCachedOldest(part, false)
	}
}

func (e *engine) evict(at *list.Element) {
	part := at.Value.(cachedPart)
	e.cache.Remove(at)
	delete(e.cacheIndex, part.ID)
	e.cachedTokens -= part.Tokens
}

// begin notes the first token of a request.
func (e *engine) begin(g *grant, now time.Time) {
	if g.begun {
		return
	}
	g.begun = true
	e.recordSuccess()
	e.removePending(g)
	if !g.adopted {
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

// finish takes a request off the books.
func (e *engine) finish(g *grant, outcome Outcome, now time.Time) {
	if !g.begun {
		e.removePending(g)
	}
	e.running--
	e.privateTokens -= g.req.Last().Tokens + g.req.ExpectedOutput()
	switch outcome.(type) {
	case Done, Unused:
	case NotRun:
		// It is full, or its entry is stale: a short rest, without doubt.
		e.ejectedUntil = now.Add(minEjection / 5)
	case Unreachable:
		e.recordFailure(now)
	case Broken, Ended:
		// One answer that was lost says little: sending the engine's prompts
		// elsewhere would cost far more. A crash breaks many at once.
		if e.consecutiveBroken++; e.consecutiveBroken >= maxConsecutiveBroken {
			e.recordFailure(now)
		}
	}
}

func (e *engine) recordFailure(now time.Time) {
	rest := min(minEjection<<min(e.consecutiveFailures, 8), maxEjection)
	e.consecutiveFailures++
	e.ejectedUntil, e.failedAt = now.Add(rest), now
	// It may be back after a new start, before its entry says so.
	e.life.AssumeCold(lifecycle.Returned, e.ejectedUntil.Add(e.coldBound.Duration))
}

func (e *engine) recordSuccess() {
	e.consecutiveFailures = 0
	e.consecutiveBroken = 0
	e.ejectedUntil = time.Time{}
}
