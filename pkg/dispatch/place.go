package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/placement"
)

// partStats records the demand for a shared part, and where it is cached.
type partStats struct {
	// ranked are the engines by weighted rendezvous hash, so that the order of the others stays
	// when an engine is added or removed, or its weight moves.
	ranked []*engine
	// holders are engines that read the part, and may still have it cached.
	holders []*engine
	// read is set once an engine has read the part, or reported that it has it cached.
	read bool
	// crossings are the costs of its requests that went to engines of other zones.
	crossings placement.Crossings
	// load is an average of the engine time that its requests take.
	load      float64
	updatedAt time.Time
}

// loadWindow is the time over which the load of a part is averaged.
const loadWindow = 3 * time.Second

// homeKey returns the ID of the part that decides where a prompt is cached: its last shared
// part, which is cached only together with those before it.
func homeKey(p *Prompt) uint64 {
	shared := p.Shared()
	if len(shared) == 0 {
		return p.Last().ID
	}
	return shared[len(shared)-1].ID
}

// maxShortShared is the number of shared tokens up to which a prompt may go to any engine, as
// reading them again costs less than waiting. It is about one chunk of an engine's prefill.
const maxShortShared = 1000

func hasLongShared(p *Prompt) bool { return sharedTokens(p) > maxShortShared }

// PlacementKey returns the key by which a pool of many engines chooses the group of engines for
// a request: prompts with the same long shared part go to one group, others are spread.
func (r *Request) PlacementKey() uint64 {
	if hasLongShared(&r.Prompt) {
		return homeKey(&r.Prompt)
	}
	return xxhash.Sum64String(r.ID)
}

func sharedTokens(p *Prompt) int {
	total := 0
	for _, part := range p.Shared() {
		total += part.Tokens
	}
	return total
}

// recordDemand records a request for the shared part of its prompt.
func (p *Pool) recordDemand(prompt *Prompt, now time.Time) {
	if !hasLongShared(prompt) {
		return
	}
	stats := p.statsFor(prompt, now)
	stats.decay(now)
	stats.load += float64(prompt.Last().Tokens) / initialRate / loadWindow.Seconds()
	p.evictParts(now)
}

// statsFor returns the entry of the part that decides where a prompt is cached.
func (p *Pool) statsFor(prompt *Prompt, now time.Time) *partStats {
	key := homeKey(prompt)
	stats := p.parts[key]
	first := stats == nil
	if first {
		stats = &partStats{updatedAt: now}
		p.parts[key] = stats
	}
	if stats.ranked == nil {
		stats.ranked = p.rankFor(key)
	}
	if first {
		p.assumeCached(stats, prompt, now)
	}
	return stats
}

func (d *partStats) decay(now time.Time) {
	d.load *= math.Exp(-now.Sub(d.updatedAt).Seconds() / loadWindow.Seconds())
	d.updatedAt = now
}

// maxParts is the number of parts from which on those unused for a minute are evicted.
const maxParts = 20000

func (p *Pool) evictParts(now time.Time) {
	if len(p.parts) < maxParts {
		return
	}
	for key, stats := range p.parts {
		if now.Sub(stats.updatedAt) > time.Minute {
			delete(p.parts, key)
		}
	}
}

// homes returns the engines at which the shared part of a prompt should be cached.
func (p *Pool) homes(req *Request, now time.Time) []*engine {
	stats := p.statsFor(&req.Prompt, now)
	stats.decay(now)
	plan := p.homePlan()
	homes, weight := make([]*engine, 0, plan.Min), 0.0
	for _, e := range stats.ranked {
		if plan.Suffices(len(homes), weight, stats.load) {
			break
		}
		if p.snapshot(e, now).usable && p.allows(e, req, now) {
			homes = append(homes, e)
			weight += e.rating.Weight()
		}
	}
	return homes
}

// predictedWait returns an engine's predicted wait, scaled up for what other routers are likely
// to have sent.
func (p *Pool) predictedWait(e *engine, now time.Time) time.Duration {
	return e.predictedWait(now) * time.Duration(max(1, p.Routers))
}

// snapshot returns the state of an engine. It is taken once in a round, and again after a grant.
func (p *Pool) snapshot(e *engine, now time.Time) engineSnapshot {
	if e.snapshot.round != p.round {
		e.snapshot = engineSnapshot{round: p.round, usable: p.isUsable(e, now)}
		if e.snapshot.usable {
			e.snapshot.wait = p.predictedWait(e, now)
			e.snapshot.idle = len(e.pending) == 0
			e.snapshot.readBound = p.readBound(e, now)
		}
	}
	return e.snapshot
}

// isUsable reports whether an engine may get one more request now. A stalled engine is assumed
// to be cold afterwards, as it may have restarted.
func (p *Pool) isUsable(e *engine, now time.Time) bool {
	if e.isStalled(now) {
		e.state.AssumeCold(lifecycle.Returned, now.Add(e.coldBound.Duration))
	}
	return e.isUsable(now) && e.state.CanSend(e.coldBound, p.ColdFraction, now)
}

// bestSnapshot combines the shortest wait of any engine with whether any is idle. The wait is
// one hour if no engine may get new work.
func (p *Pool) bestSnapshot(now time.Time) engineSnapshot {
	best := engineSnapshot{wait: time.Hour}
	for _, e := range p.sorted {
		if snapshot := p.snapshot(e, now); snapshot.usable {
			best.wait = min(best.wait, snapshot.wait)
			best.idle = best.idle || snapshot.idle
		}
	}
	return best
}

// place chooses the engine for a request; nil means that it has to wait. A prompt with long
// shared parts goes to their homes, or to an engine that has them cached, and waits for the best
// of these rather than go where they have to be read again: that would take engine time from all
// requests. A request of an underserved customer does not wait for the best one: it goes to the best
// of those that have room. The limits of placementScope take precedence over all this.
func (p *Pool) place(a *account, req *Request, now time.Time) *engine {
	level := p.shareLevel(a, req)
	if !p.hasRoom(p.best, level) {
		return nil
	}
	candidates, scope := p.sorted, p.placementScope(req, now)
	if scope.anyEngine && scope.parts == nil && hasLongShared(&req.Prompt) {
		candidates = p.candidates(req, now)
	}
	if p.isUnderserved(a, req) {
		candidates = p.withRoom(candidates, level, now)
	}
	best := p.cheapest(candidates, req, scope, now)
	if best == nil || !p.hasRoom(best.snapshot, level) {
		req.unplaced = true
		return nil
	}
	return p.placeForPauses(best, candidates, req, scope, level, now)
}

// withRoom returns the engines that have room at a level.
func (p *Pool) withRoom(engines []*engine, level shareLevel, now time.Time) []*engine {
	found := make([]*engine, 0, len(engines))
	for _, e := range engines {
		if p.hasRoom(p.snapshot(e, now), level) {
			found = append(found, e)
		}
	}
	return found
}

// cheapest returns the engine with the lowest cost for a request among those that it may go to;
// nil if there is none. For a request under which engines ended, the cost is what may break with
// it: it goes where no other such request runs, so that an innocent one does not meet a crashing
// one again, and then where the fewest requests run. In random fleets each crashing request broke
// 51 other streams that way, instead of 72 when it was placed like any other (TestDeadlyWays).
func (p *Pool) cheapest(candidates []*engine, req *Request, scope placementScope, now time.Time) *engine {
	var best *engine
	var bestCost time.Duration
	var bestOtherEnds int
	crossing := p.crossingCost(req, now)
	for _, e := range candidates {
		if !scope.includes(e) || !p.canTake(e, req, now) {
			continue
		}
		cost, otherEnds := e.snapshot.wait+p.readCost(e, req, now), scope.maxOtherEnds(e)
		if e.Zone != req.Zone {
			cost += crossing
		}
		if scope.ends > 0 {
			cost = time.Duration(e.running)
		}
		if best == nil || otherEnds < bestOtherEnds || (otherEnds == bestOtherEnds && cost < bestCost) {
			best, bestCost, bestOtherEnds = e, cost, otherEnds
		}
	}
	return best
}

// candidates returns the homes of a prompt, and the engines that have its shared parts cached.
func (p *Pool) candidates(req *Request, now time.Time) []*engine {
	candidates := p.homes(req, now)
	stats := p.statsFor(&req.Prompt, now)
	stats.holders = slices.DeleteFunc(stats.holders, func(e *engine) bool {
		_, shared := e.missingTokens(&req.Prompt)
		return shared > 0 || p.engines[e.ID] != e
	})
	if p.Rules.ColdHomes {
		if cold := p.coldCandidates(req, stats, candidates, now); cold != nil {
			return cold
		}
	}
	if p.Rules.ZoneHomes {
		return p.zoneCandidates(req, stats, candidates, now)
	}
	for _, e := range stats.holders {
		if !slices.Contains(candidates, e) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// recordHolder records that an engine reads the part that decides where a prompt is cached.
func (p *Pool) recordHolder(prompt *Prompt, e *engine, now time.Time) {
	if !hasLongShared(prompt) {
		return
	}
	p.statsFor(prompt, now).addHolder(e)
}

// recordCachedPart records that an engine is reported to have a part cached. Any such part may
// be the last shared one of a prompt; its other engines are ranked when such a prompt arrives.
func (p *Pool) recordCachedPart(part Part, e *engine, now time.Time) {
	if part.Tokens <= maxShortShared {
		return
	}
	stats := p.parts[part.ID]
	if stats == nil {
		stats = &partStats{updatedAt: now}
		p.parts[part.ID] = stats
	}
	stats.read = true
	stats.addHolder(e)
}

func (d *partStats) addHolder(e *engine) {
	if !slices.Contains(d.holders, e) {
		d.holders = append(d.holders, e)
	}
}

// dropLostHolders removes the engines that are no longer listed. Otherwise a part that is no longer
// requested would keep them, with the contents of their caches, in memory.
func (p *Pool) dropLostHolders() {
	for _, stats := range p.parts {
		stats.holders = slices.DeleteFunc(stats.holders, func(e *engine) bool { return p.engines[e.ID] != e })
	}
}

// canTake reports whether an engine can take a request now, regardless of how long the request
// would wait there.
func (p *Pool) canTake(e *engine, req *Request, now time.Time) bool {
	return p.snapshot(e, now).usable && p.allows(e, req, now) && e.fits(&req.Prompt)
}

// readCost returns the time for reading a prompt, and for copying parts of it. Shared parts that
// have to be read again count more, as that time is taken from other requests; so do copied ones.
func (p *Pool) readCost(e *engine, req *Request, now time.Time) time.Duration {
	factor := p.Rules.MissFactor
	if !hasLongShared(&req.Prompt) {
		factor = p.Rules.ShortMissFactor
	}
	tokens, shared := e.missingTokens(&req.Prompt)
	if !p.Rules.Fetch || shared == 0 {
		return e.readTime(tokens) + fraction(p.missTime(e, shared), factor)
	}
	t := p.planTransfer(e, req, shared, now)
	again := p.missTime(e, shared-t.tokens) + fraction(p.missTime(e, t.tokens), copyCost)
	return t.duration + e.readTime(tokens-t.tokens) + fraction(again, factor)
}
