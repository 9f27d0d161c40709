package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/placement"
)

// weightInterval is the minimum time between two updates of the weights. After one that changes
// a weight, the engines are ranked again for each part in use.
const weightInterval = time.Second

// updateWeights derives the weights of the engines from their measured rates.
func (p *Pool) updateWeights(now time.Time) {
	if now.Sub(p.weighedAt) < weightInterval {
		return
	}
	p.weighedAt = now
	ratings := make([]*placement.Rating, len(p.sorted))
	for i, e := range p.sorted {
		ratings[i] = &e.rating
	}
	if p.Rules.UnevenEngines && placement.UpdateWeights(ratings) {
		p.dropRankings()
		p.weightsMoved = true
	}
	p.uneven = placement.IsUneven(ratings)
}

// WeightRange is the range of the weights of a pool's engines: an engine with a weight of 2 is
// home of twice as many parts as an average one.
type WeightRange struct {
	Lowest, Highest float64
	// Slowest and Fastest are engines with these weights.
	Slowest, Fastest string
}

// TakeMovedWeights returns the weights if any moved since the last call.
func (p *Pool) TakeMovedWeights() (weights WeightRange, moved bool) {
	if !p.weightsMoved || len(p.sorted) == 0 {
		return weights, false
	}
	p.weightsMoved = false
	order := func(a, b *engine) int { return cmp.Compare(a.rating.Weight(), b.rating.Weight()) }
	slowest, fastest := slices.MinFunc(p.sorted, order), slices.MaxFunc(p.sorted, order)
	return WeightRange{
		Lowest:  slowest.rating.Weight(),
		Highest: fastest.rating.Weight(),
		Slowest: slowest.ID,
		Fastest: fastest.ID,
	}, true
}

// HomeCounts counts shared parts and where they are cached.
type HomeCounts struct {
	// Parts is the number of long shared parts that are known, Cached that of those cached at any
	// engine, and Copies the number of engines at which they are, summed over all parts.
	Parts, Cached, Copies int
	// Uneven is set if the engines have different weights.
	Uneven bool
}

// CountHomes counts the shared parts. Copies that were evicted count until they are next needed.
func (p *Pool) CountHomes() HomeCounts {
	counts := HomeCounts{Parts: len(p.parts), Uneven: p.uneven}
	for _, part := range p.parts {
		if len(part.holders) > 0 {
			counts.Cached++
			counts.Copies += len(part.holders)
		}
	}
	return counts
}

// dropRankings drops the rankings of engines by part, which are computed again when they are
// needed.
func (p *Pool) dropRankings() {
	for _, part := range p.parts {
		part.ranked = nil
	}
}

func (e *engine) node() placement.Node {
	return placement.Node{ID: e.ID, Weight: e.rating.Weight()}
}

// homePlan returns the rules for the number of homes.
func (p *Pool) homePlan() placement.Plan {
	return placement.Plan{Min: p.Rules.MinHomes, LoadPerHome: p.Rules.LoadPerHome, CopyCost: p.Rules.CopyCost}
}

// RecordRate records the rate of an engine that the dispatcher reported with a grant, to be
// handed over to another one with the cached parts.
func (p *Pool) RecordRate(endpoint string, rate float64) {
	if e := p.engines[endpoint]; e != nil {
		e.rating.SetReport(rate)
	}
}

// missTime returns the time that reading shared tokens again takes from other requests. On uneven
// engines, this is that of an average engine: a slow engine takes longer, but other requests lose
// as much less by it.
func (p *Pool) missTime(e *engine, tokens int) time.Duration {
	if !p.uneven {
		return e.readTime(tokens)
	}
	return time.Duration(float64(tokens) / p.meanRate * float64(time.Second))
}
