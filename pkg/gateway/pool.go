package gateway

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// pool is the engines of one service, divided among groups so that no box has
// to dispatch for more than it can. Every box divides them alike: an engine
// belongs to the group that ranks first for it, and a prompt goes to a group by
// the part that decides where it is kept.
type pool struct {
	gateway *Gateway
	name    string

	mu     sync.Mutex
	groups []*scheduler
	// weights are the engines of each group.
	weights []int
	// retired are groups of a larger pool, kept for what still runs there.
	retired []*scheduler

	service         route.Service
	tokensPerSecond float64
	endpoints       []route.Endpoint
	// strayedAt is since when the number of engines asks for another number of
	// groups; zero while it does not.
	strayedAt time.Time
}

const (
	// groupEngines is the number of engines that one box dispatches for. With more
	// in a group, customers' shares and the load of engines even out better; for
	// these, a box takes some 1500 requests a second, at about 0.2 ms each, and a
	// look at a long line each tick.
	groupEngines = 192
	// divideAfter is how long the number of engines has to ask for another number
	// of groups before they are divided anew: nearly all parts of prompts are then
	// read again elsewhere. Entries of engines that crashed stay for seconds beside
	// those that replace them.
	divideAfter = 15 * time.Second
)

// groupCount is a power of two, so that it seldom changes with the pool.
func groupCount(engines int) int {
	count := 1
	for count*groupEngines < engines {
		count *= 2
	}
	return count
}

// configure takes a new catalog or directory.
func (p *pool) configure(service route.Service, tokensPerSecond float64, endpoints []route.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.tokensPerSecond, p.endpoints = service, tokensPerSecond, endpoints
	p.divide(p.count(time.Now()))
}

// count is the number of groups. It follows the number of engines late.
func (p *pool) count(now time.Time) int {
	wanted, current := groupCount(len(p.endpoints)), len(p.groups)
	if wanted == current || current == 0 {
		p.strayedAt = time.Time{}
		return wanted
	}
	if p.strayedAt.IsZero() {
		p.strayedAt = now
	}
	if now.Sub(p.strayedAt) < divideAfter {
		return current
	}
	p.strayedAt = time.Time{}
	return wanted
}

// divide divides the engines among groups. The lock is held.
func (p *pool) divide(count int) {
	for len(p.groups) < count {
		p.groups = append(p.groups, newScheduler(p.gateway, fmt.Sprintf("%s/%d", p.name, len(p.groups))))
	}
	p.retired = append(p.retired, p.groups[count:]...)
	p.groups = p.groups[:count]
	members := make([][]route.Endpoint, count)
	for _, endpoint := range p.endpoints {
		at := groupOf(endpoint.ID, count)
		members[at] = append(members[at], endpoint)
	}
	p.weights = make([]int, count)
	for i, group := range p.groups {
		p.weights[i] = len(members[i])
		part := p.tokensPerSecond * float64(len(members[i])) / float64(max(1, len(p.endpoints)))
		group.configure(p.service, part, members[i])
	}
}

// groupOf is the group that ranks first for an engine.
func groupOf(engine string, count int) int {
	best, bestRank := 0, uint64(0)
	for i := range count {
		if rank := hashOf(xxhash.Sum64String(engine), uint64(i)); rank >= bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// group is where a prompt goes: by weighted rendezvous hash, so that each group
// gets a part that goes with its engines, and few prompts change group when an
// engine comes or goes.
func (p *pool) group(ask *dispatch.Ask) *scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.strayedAt.IsZero() {
		if count := p.count(time.Now()); count != len(p.groups) {
			p.divide(count)
		}
	}
	key := ask.PlaceKey()
	best, bestScore := 0, math.Inf(-1)
	for i, weight := range p.weights {
		if weight == 0 {
			continue
		}
		if score := math.Log(uniformOf(hashOf(key, uint64(i)))) / float64(weight); score > bestScore {
			best, bestScore = i, score
		}
	}
	return p.groups[best]
}

// rest has the groups know that an engine wants nothing from this box for a while.
func (p *pool) rest(rest lifecycle.Rest) {
	for _, group := range p.current() {
		group.noteRest(rest)
	}
}

// current are the groups in use.
func (p *pool) current() []*scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.groups)
}

// schedulers are the groups in use of all pools.
func (g *Gateway) schedulers() (groups []*scheduler) {
	g.mu.Lock()
	pools := slices.Collect(maps.Values(g.pools))
	g.mu.Unlock()
	for _, p := range pools {
		groups = append(groups, p.current()...)
	}
	return groups
}

// named returns a group by the name it has on the wire.
func (p *pool) named(name string) *scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, group := range p.groups {
		if group.service == name {
			return group
		}
	}
	return nil
}

// uniformOf spreads a hash evenly over (0, 1].
func uniformOf(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 1) / (1 << bits)
}

func hashOf(key, number uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], key)
	binary.LittleEndian.PutUint64(bytes[8:], number)
	return xxhash.Sum64(bytes[:])
}
