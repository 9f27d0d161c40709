package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// partDemand is the traffic of a shared part, and where it is kept.
type partStats struct {
	// ranked are the engines by rendezvous hash. It stays put when others come
	// and go.
	ranked []*engine
	// keepers are engines that read it, and may keep it still.
	holders []*engine
	// load is a mean of the engine time that its requests take.
	load      float64
	updatedAt time.Time
}

// demandMemory is the time over which a part's load is averaged.
const loadWindow = 3 * time.Second

// homeKey is the part that decides where a prompt is kept: its last shared one,
// which is kept only together with those before it.
func homeKey(p *Prompt) uint64 {
	shared := p.Shared()
	if len(shared) == 0 {
		return p.Last().ID
	}
	return shared[len(shared)-1].ID
}

// smallShared is the number of shared tokens up to which a prompt may go
// anywhere: reading them again costs less than waiting. It is about one piece of
// a prompt's reading.
const maxShortShared = 1000

func hasLongShared(p *Prompt) bool { return sharedTokens(p) > maxShortShared }

// PlaceKey decides, in a pool of many engines, among which of them a request is
// placed: prompts with the same long part go together, others are spread.
func (a *Request) PlacementKey() uint64 {
	if hasLongShared(&a.Prompt) {
		return homeKey(&a.Prompt)
	}
	return xxhash.Sum64String(a.ID)
}

func sharedTokens(p *Prompt) int {
	total := 0
	for _, part := range p.Shared() {
		total += part.Tokens
	}
	return total
}

// demand notes a request for a part.
func (p *Pool) recordDemand(prompt *Prompt, now time.Time) {
	if !hasLongShared(prompt) {
		return
	}
	part := p.statsFor(prompt, now)
	part.decay(now)
	part.load += float64(prompt.Last().Tokens) / initialRate / loadWindow.Seconds()
	p.evictParts(now)
}

// part is the entry of the part that decides where a prompt is kept.
func (p *Pool) statsFor(prompt *Prompt, now time.Time) *partStats {
	key := homeKey(prompt)
	part := p.parts[key]
	first := part == nil
	if first {
		part = &partStats{updatedAt: now}
		p.parts[key] = part
	}
	if part.ranked == nil {
		part.ranked = rank(key, p.sorted)
	}
	if first {
		p.assumeCached(part, prompt, now)
	}
	return part
}

func (d *partStats) decay(now time.Time) {
	d.load *= math.Exp(-now.Sub(d.updatedAt).Seconds() / loadWindow.Seconds())
	d.updatedAt = now
}

// mostParts bounds the memory for parts; beyond it, those unused for a minute
// are forgotten.
const maxParts = 20000

func (p *Pool) evictParts(now time.Time) {
	if len(p.parts) < maxParts {
		return
	}
	for key, part := range p.parts {
		if now.Sub(part.updatedAt) > time.Minute {
			delete(p.parts, key)
		}
	}
}

// homes are the engines that a part should be kept at.
func (p *Pool) homes(req *Request, now time.Time) []*engine {
	part := p.statsFor(&req.Prompt, now)
	part.decay(now)
	most := p.Rules.MinHomes + int(part.load/p.Rules.LoadPerHome)
	homes := make([]*engine, 0, most)
	for _, e := range part.ranked {
		if p.snapshot(e, now).usable && p.allows(e, req, now) {
			homes = append(homes, e)
		}
		if len(homes) == most {
			break
		}
	}
	return homes
}

func rank(key uint64, engines []*engine) []*engine {
	type weighed struct {
		engine *engine
		weight uint64
	}
	all := make([]weighed, 0, len(engines))
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	for _, e := range engines {
		digest := xxhash.New()
		digest.Write(seed[:])
		digest.WriteString(e.ID)
		all = append(all, weighed{engine: e, weight: digest.Sum64()})
	}
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	ranked := make([]*engine, len(all))
	for i := range all {
		ranked[i] = all[i].engine
	}
	return ranked
}

// wait is an engine's predicted wait, with what other routers are likely to
// have sent.
func (p *Pool) predictedWait(e *engine, now time.Time) time.Duration {
	return e.predictedWait(now) * time.Duration(max(1, p.Routers))
}

// look finds out about an engine, once in a round unless it was granted since.
func (p *Pool) snapshot(e *engine, now time.Time) engineSnapshot {
	if e.snapshot.round != p.round {
		e.snapshot = engineSnapshot{round: p.round, usable: p.isUsable(e, now)}
		if e.snapshot.usable {
			e.snapshot.wait = p.predictedWait(e, now)
			e.snapshot.idle = len(e.pending) == 0
		}
	}
	return e.snapshot
}

// usable tells whether an engine may get one more request now. One that stopped beginning
// requests may have started again by the time that it goes on.
func (p *Pool) isUsable(e *engine, now time.Time) bool {
	if e.isStalled(now) {
		e.life.AssumeCold(lifecycle.Returned, now.Add(e.coldBound.Duration))
	}
	return e.isUsable(now) && e.life.CanSend(e.coldBound, p.ColdFraction, now)
}

// findLeast is the best that is seen of any engine; an hour of wait where none may
// get new work.
func (p *Pool) bestSnapshot(now time.Time) engineSnapshot {
	least := engineSnapshot{wait: time.Hour}
	for _, e := range p.sorted {
		if seen := p.snapshot(e, now); seen.usable {
			least.wait = min(least.wait, seen.wait)
			least.idle = least.idle || seen.idle
		}
	}
	return least
}

// place chooses the engine for a request; nil means that it has to wait. A prompt
// whose shared parts are long goes to their homes, or to an engine that keeps them:
// reading them again elsewhere would take from all. It waits for the best of them
// rather than go where they have to be read. What it may end goes before that.
func (p *Pool) place(req *Request, level shareLevel, now time.Time) *engine {
	if !p.hasRoom(p.best, level) {
		return nil
	}
	among, within := p.sorted, p.placementScope(req, now)
	if within.anyEngine && hasLongShared(&req.Prompt) {
		among = p.candidates(req, now)
	}
	best := p.cheapest(among, req, within, now)
	if best == nil || !p.hasRoom(best.snapshot, level) {
		return nil
	}
	return best
}

// cheapest is the engine at which a request costs least, of those that it may go to; nil
// where there is none. One under which engines ended costs what may go with it: it goes
// where no other such request runs, so that a bystander does not meet a deadly one again,
// and then where least runs. In drawn fleets that cut 51 other streams for each deadly
// request, in place of 72 where it was placed like any other (TestDeadlyWays).
func (p *Pool) cheapest(among []*engine, req *Request, within placementScope, now time.Time) *engine {
	var best *engine
	var cost time.Duration
	var beside int
	for _, e := range among {
		if !within.includes(e) || !p.canTake(e, req, now) {
			continue
		}
		here, besideHere := e.snapshot.wait+p.readCost(e, req), within.maxOtherEnds(e)
		if within.ends > 0 {
			here = time.Duration(e.running)
		}
		if best == nil || besideHere < beside || (besideHere == beside && here < cost) {
			best, cost, beside = e, here, besideHere
		}
	}
	return best
}

// candidates are the homes of a prompt, and the engines that keep its parts.
func (p *Pool) candidates(req *Request, now time.Time) []*engine {
	among := p.homes(req, now)
	part := p.statsFor(&req.Prompt, now)
	part.holders = slices.DeleteFunc(part.holders, func(e *engine) bool {
		_, shared := e.missingTokens(&req.Prompt)
		return shared > 0 || p.engines[e.ID] != e
	})
	for _, e := range part.holders {
		if !slices.Contains(among, e) {
			among = append(among, e)
		}
	}
	return among
}

// noteKeeper remembers that an engine reads the part that decides where a
// prompt is kept.
func (p *Pool) recordHolder(prompt *Prompt, e *engine, now time.Time) {
	if !hasLongShared(prompt) {
		return
	}
	p.statsFor(prompt, now).addHolder(e)
}

// noteListed remembers that an engine lists a part. Any of them may be the last
// shared one of a prompt; where else it belongs is found out when one comes.
func (p *Pool) recordCachedPart(listed Part, e *engine, now time.Time) {
	if listed.Tokens <= maxShortShared {
		return
	}
	part := p.parts[listed.ID]
	if part == nil {
		part = &partStats{updatedAt: now}
		p.parts[listed.ID] = part
	}
	part.addHolder(e)
}

func (d *partStats) addHolder(e *engine) {
	if !slices.Contains(d.holders, e) {
		d.holders = append(d.holders, e)
	}
}

// takes tells whether a request may go to an engine at all.
func (p *Pool) canTake(e *engine, req *Request, now time.Time) bool {
	return p.snapshot(e, now).usable && p.allows(e, req, now) && e.fits(&req.Prompt)
}

// readCost is the time for reading a prompt; shared parts that have to be read
// again count more, as that time is taken from others.
func (p *Pool) readCost(e *engine, req *Request) time.Duration {
	factor := p.Rules.MissFactor
	if !hasLongShared(&req.Prompt) {
		factor = p.Rules.ShortMissFactor
	}
	tokens, shared := e.missingTokens(&req.Prompt)
	return e.readTime(tokens) + time.Duration(float64(e.readTime(shared))*factor)
}
