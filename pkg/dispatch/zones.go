package dispatch

import (
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/placement"
)

// updateZoneHomes drops the rankings if Rules.ZoneHomes was switched.
func (p *Pool) updateZoneHomes() {
	if p.spreadsZones != p.Rules.ZoneHomes {
		p.spreadsZones = p.Rules.ZoneHomes
		p.dropRankings()
	}
}

// rankFor ranks the engines for a part. With Rules.ZoneHomes its homes lie in different
// availability zones.
func (p *Pool) rankFor(key uint64) []*engine {
	ranked := placement.Rank(key, p.sorted, (*engine).node)
	if p.Rules.ZoneHomes {
		return placement.SpreadZones(ranked, (*engine).zone)
	}
	return ranked
}

func (e *engine) zone() string { return e.Zone }

// zoneCandidates returns the homes of a prompt if they lie in different availability zones: the
// engines that have its shared parts cached, and as many others as are missing to the number of
// homes. The home in the zone of the request goes first if the parts are cached nowhere, and is
// added once the requests that crossed from there have cost as much as a copy.
func (p *Pool) zoneCandidates(req *Request, stats *partStats, homes []*engine, now time.Time) []*engine {
	candidates := slices.Clone(stats.holders)
	usable := 0
	for _, e := range candidates {
		if p.snapshot(e, now).usable && p.allows(e, req, now) {
			usable++
		}
	}
	own := p.homeInZone(req, stats.ranked, now)
	if own != nil && !slices.Contains(candidates, own) && (usable == 0 || stats.crossings.Paid(req.Zone, now) >= p.copyThreshold(&req.Prompt)) {
		candidates = append(candidates, own)
		usable++
	}
	for _, e := range homes {
		if usable >= len(homes) {
			break
		}
		if !slices.Contains(candidates, e) {
			candidates = append(candidates, e)
			usable++
		}
	}
	return candidates
}

// homeInZone returns the first engine in the order of a part that lies in the zone of a request;
// nil if none may get it.
func (p *Pool) homeInZone(req *Request, ranked []*engine, now time.Time) *engine {
	for _, e := range ranked {
		if e.Zone == req.Zone && p.snapshot(e, now).usable && p.allows(e, req, now) {
			return e
		}
	}
	return nil
}

// copyWeight is how many times the cost of a copy the crossings have to reach, as a copy may be
// evicted before it has served. With 1, about 1% more was read in simulated loads.
const copyWeight = 2

// copyThreshold returns the cost of the crossings that justify a copy of the shared parts of a prompt
// at one more engine.
func (p *Pool) copyThreshold(prompt *Prompt) time.Duration {
	reading := time.Duration(float64(sharedTokens(prompt)) / p.meanRate * float64(time.Second))
	return fraction(reading, copyWeight*(1+p.Rules.MissFactor)*p.relativeCopyCost())
}

// crossingCost returns the cost of sending a request to an engine of another zone than its own; 0
// if its zone is not known.
func (p *Pool) crossingCost(req *Request, now time.Time) time.Duration {
	switch {
	case !p.Rules.ZoneHomes || req.Zone == "":
		return 0
	case hasLongShared(&req.Prompt):
		// Those that crossed before count too, so that a justified copy is made.
		paid := p.statsFor(&req.Prompt, now).crossings.Paid(req.Zone, now)
		return placement.CrossingCost(req.Size) + min(paid, p.copyThreshold(&req.Prompt))
	default:
		return placement.CrossingCost(req.Size)
	}
}

// recordCrossing records whether a granted request leaves its zone.
func (p *Pool) recordCrossing(req *Request, e *engine, now time.Time) {
	if !p.Rules.ZoneHomes || req.Zone == "" || !hasLongShared(&req.Prompt) {
		return
	}
	stats := p.statsFor(&req.Prompt, now)
	if e.Zone == req.Zone {
		stats.crossings.Clear(req.Zone)
	} else {
		stats.crossings.Add(req.Zone, req.Size, now)
	}
}
