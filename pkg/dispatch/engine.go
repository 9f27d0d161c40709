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
	life     lifecycle.State
	bound    lifecycle.Bound
	capacity int

	// unread are the granted requests whose first token has not come, in the
	// order in which the engine takes them.
	unread []*grant
	// running counts the requests that are granted and not ended.
	running int
	// own are the tokens of running requests that can not be shared.
	own int
	// progressAt is when the engine last began a request, or when its first
	// unread one was granted; readFrom is since when it can read that one. A request
	// that begins was read a lag before.
	progressAt, readFrom time.Time
	pace

	// kept are the parts believed in the engine's memory, the latest used first.
	kept   *list.List
	byPart map[uint64]*list.Element
	// keptTokens is their sum.
	keptTokens int
	// seen is what the pool found in its current round.
	seen view

	// listed is set once the engine itself has told what it keeps.
	listed bool

	// suspectUntil is the end of a time without new work, after failures, as the pool
	// supposes. What the engine asked for itself is in Pool.rests.
	suspectUntil time.Time
	// failedAt is when the last of these failures came.
	failedAt time.Time
	// failures in a row lengthen that time.
	failures int
	// broken answers in a row, without a first token between them.
	broken int
	// suspects are the fingerprints under which engines had ended that run here, with how
	// many.
	suspects map[quarantine.Fingerprint]int
}

// view is what placing a request needs of an engine, and does not depend on the
// request.
type view struct {
	// round is the pool's when it was found; another one makes it void.
	round  uint64
	usable bool
	// idle engines have begun all that they were granted.
	idle bool
	wait time.Duration
}

type keptPart struct {
	Part
	// believed parts were neither read nor told; they are likely.
	believed bool
}

// grant is a request at an engine.
type grant struct {
	ask    *Ask
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
	keptReserve = 0.7
	// suspectFor is the time without new work after a failure; it doubles with
	// each failure in a row, up to suspectLongest.
	suspectFor     = 500 * time.Millisecond
	suspectLongest = 4 * time.Second
	// brokenMost is the number of broken answers in a row that stand for a crash.
	brokenMost = 3
	// stallAfter is the time beyond the predicted first token after which an
	// engine that began nothing since is taken for hanging.
	stallAfter = 800 * time.Millisecond
)

func newEngine(endpoint route.Endpoint, capacity int) *engine {
	return &engine{
		Endpoint: endpoint,
		hash:     xxhash.Sum64String(endpoint.ID),
		capacity: capacity,
		pace:     newPace(),
		kept:     list.New(),
		byPart:   map[uint64]*list.Element{},
		suspects: map[quarantine.Fingerprint]int{},
	}
}

// missing is the number of tokens of a prompt that the engine has to read, and
// how many of them are of shared parts.
func (e *engine) missing(p *Prompt) (tokens, shared int) {
	whole := true
	for i, part := range p.Parts {
		whole = whole && e.byPart[part.ID] != nil
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
func (e *engine) wait(now time.Time) time.Duration {
	tokens := 0
	for _, g := range e.unread {
		tokens += g.tokens
	}
	if tokens == 0 {
		return 0
	}
	reading := e.readTime(tokens)
	// What was read has its first token a lag later. Where that of the first one does
	// not come in time, those behind it are taken for unread.
	first := e.readTime(e.unread[0].tokens)
	progress := max(0, now.Sub(e.readFrom))
	if progress > first+e.lag {
		progress = first
	}
	return max(0, reading-progress)
}

// stalled tells that the engine began nothing for far longer than predicted.
func (e *engine) stalled(now time.Time) bool {
	if len(e.unread) == 0 {
		return false
	}
	first := e.unread[0]
	since := first.at
	if e.progressAt.After(since) {
		since = e.progressAt
	}
	return now.Sub(since) > e.lag+e.readTime(first.tokens)+stallAfter
}

// usable tells whether the engine is well and may get new work. While cold, it may have
// had enough for now.
func (e *engine) usable(now time.Time) bool {
	return e.life.Admits() && now.After(e.suspectUntil) && !e.stalled(now)
}

// fits tells whether the engine has a slot and memory for a prompt.
func (e *engine) fits(p *Prompt) bool {
	if e.running >= e.Slots {
		return false
	}
	need := p.Last().Tokens + p.Output()
	return e.running == 0 || e.own+need <= int(keptReserve*float64(e.capacity))
}

// take books a request.
func (e *engine) take(g *grant, now time.Time) {
	if len(e.unread) == 0 {
		e.progressAt, e.readFrom = now, now
	}
	e.seen = view{}
	e.life.RecordSent(now)
	e.unread = append(e.unread, g)
	e.running++
	e.own += g.ask.Last().Tokens + g.ask.Output()
	for _, part := range g.ask.Parts {
		e.keep(part)
	}
}

// keep notes that a part is in the engine's memory; those unused for longest
// give way.
func (e *engine) keep(part Part) {
	if at := e.byPart[part.ID]; at != nil {
		at.Value = keptPart{Part: part}
		e.kept.MoveToFront(at)
		return
	}
	e.byPart[part.ID] = e.kept.PushFront(keptPart{Part: part})
	e.keptTokens += part.Tokens
	for e.keptTokens > e.capacity && e.kept.Len() > 1 {
		e.drop(e.kept.Back())
	}
}

// keepOld notes a part that is likely to be in the engine's memory, as the one
// unused for longest.
func (e *engine) keepOld(part Part, believed bool) {
	if e.byPart[part.ID] != nil || e.keptTokens+part.Tokens > e.capacity {
		return
	}
	e.byPart[part.ID] = e.kept.PushBack(keptPart{Part: part, believed: believed})
	e.keptTokens += part.Tokens
}

// list takes the engine's own account of what it keeps in place of what was only
// believed.
func (e *engine) list(parts []Part) {
	e.listed = true
	for at := e.kept.Front(); at != nil; {
		next := at.Next()
		if at.Value.(keptPart).believed {
			e.drop(at)
		}
		at = next
	}
	for _, part := range parts {
		e.keepOld(part, false)
	}
}

func (e *engine) drop(at *list.Element) {
	part := at.Value.(keptPart)
	e.kept.Remove(at)
	delete(e.byPart, part.ID)
	e.keptTokens -= part.Tokens
}

// begin notes the first token of a request.
func (e *engine) begin(g *grant, now time.Time) {
	if g.begun {
		return
	}
	g.begun = true
	e.succeed()
	e.remove(g)
	if !g.adopted {
		e.noteBegin(g.tokens, later(e.readFrom, g.at), now, e.readFrom.After(g.at))
	}
	e.readFrom = later(e.readFrom, now.Add(-e.lag))
	e.progressAt = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *engine) remove(g *grant) {
	for i, other := range e.unread {
		if other == g {
			e.unread = append(e.unread[:i], e.unread[i+1:]...)
			return
		}
	}
}

// finish takes a request off the books.
func (e *engine) finish(g *grant, how Outcome, now time.Time) {
	if !g.begun {
		e.remove(g)
	}
	e.running--
	e.own -= g.ask.Last().Tokens + g.ask.Output()
	switch how.(type) {
	case Done, Unused:
	case NotRun:
		// It is full, or its entry is stale: a short rest, without doubt.
		e.suspectUntil = now.Add(suspectFor / 5)
	case Unreachable:
		e.fail(now)
	case Broken, Ended:
		// One answer that was lost says little: sending the engine's prompts
		// elsewhere would cost far more. A crash breaks many at once.
		if e.broken++; e.broken >= brokenMost {
			e.fail(now)
		}
	}
}

func (e *engine) fail(now time.Time) {
	rest := min(suspectFor<<min(e.failures, 8), suspectLongest)
	e.failures++
	e.suspectUntil, e.failedAt = now.Add(rest), now
	// It may be back after a new start, before its entry says so.
	e.life.AssumeCold(lifecycle.Returned, e.suspectUntil.Add(e.bound.Duration))
}

func (e *engine) succeed() {
	e.failures = 0
	e.broken = 0
	e.suspectUntil = time.Time{}
}
