package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/partition"
	"github.com/quaylead/quaylead/pkg/route"
)

// pool is the engines of one service, divided among groups so that no box has
// to dispatch for more than it can. Every box divides them alike: an engine's
// group follows from its ID, and a prompt goes to a group by the part that
// decides where it is kept. A box keeps something only of the groups that its
// own requests use, or that it dispatches for.
type pool struct {
	gateway *Gateway
	name    string

	mu sync.Mutex
	// groups are those in use here, by number; the others are nil.
	groups []*scheduler
	// weights are the engines of each group, and engines their sum.
	weights []int
	engines int
	// retired are groups of a larger pool, kept for what still runs there.
	retired []*scheduler

	service         route.Service
	tokensPerSecond float64
	assignment      partition.Assignment
	histories       *histories
	// directory is the one that weights and groups are in line with.
	directory *route.Directory
	// strayedAt is since when the number of engines asks for another number of
	// groups; zero while it does not.
	mismatchSince time.Time
}

const (
	// divideAfter is how long the number of engines has to ask for another number
	// of groups before they are divided anew: nearly all parts of prompts are then
	// read again elsewhere. Entries of engines that crashed stay for seconds beside
	// those that replace them.
	repartitionDelay = 15 * time.Second
	// standingGroups is the number of groups up to which sessions to the boxes that
	// dispatch for them are kept at all times. With more, a box asks each of them
	// seldom, and has a session only while it does: sessions to all would grow with
	// the pool at each box, and with the fleet at those that dispatch.
	maxPersistentGroups = 4
	// idleGroup is how long a group that nothing uses is kept.
	groupIdleTimeout = 5 * time.Second
)

// begin takes the first catalog and directory.
func (p *pool) start(service route.Service, tokensPerSecond float64, directory *route.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.tokensPerSecond, p.directory = service, tokensPerSecond, directory
	directory.Each(p.name, func(*route.Endpoint) bool {
		p.engines++
		return true
	})
	p.repartition(p.groupCount(time.Now()))
}

// configure takes a new catalog.
func (p *pool) configure(service route.Service, tokensPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.tokensPerSecond = service, tokensPerSecond
	for i, group := range p.groups {
		if group != nil {
			group.configure(service, p.groupTokenRate(i), len(p.groups))
		}
	}
}

// standing tells whether the pool has few groups. The lock is held.
func (p *pool) isPersistent() bool { return len(p.groups) <= maxPersistentGroups }

// part is what a group can do of what the whole pool can. The lock is held.
func (p *pool) groupTokenRate(group int) float64 {
	return p.tokensPerSecond * float64(p.weights[group]) / float64(max(1, p.engines))
}

// follow takes what changed of the directory. It costs what the changes do, and a look at
// the engines of the groups in use that they concern.
func (p *pool) applyChanges(directory *route.Directory, changes []route.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directory = directory
	touched := map[int]bool{}
	for i := range changes {
		p.countEndpoint(changes[i].Before, -1, touched)
		p.countEndpoint(changes[i].After, 1, touched)
	}
	if len(touched) == 0 {
		return
	}
	if count := p.groupCount(time.Now()); count != len(p.groups) {
		p.repartition(count)
		return
	}
	for i := range touched {
		if group := p.groups[i]; group != nil {
			group.configure(p.service, p.groupTokenRate(i), len(p.groups))
			group.setEndpoints(p.members(i))
		}
	}
}

// note counts an account of an endpoint, if it is one of the pool's. The lock is held.
func (p *pool) countEndpoint(endpoint *route.Endpoint, by int, touched map[int]bool) {
	if endpoint == nil || endpoint.Service != p.name || endpoint.Leaving {
		return
	}
	group := endpoint.GroupOf(len(p.groups))
	p.engines += by
	p.weights[group] += by
	touched[group] = true
}

// members are the engines of a group. The lock is held.
func (p *pool) members(group int) (members []route.Endpoint) {
	p.directory.EachOfGroup(p.name, group, len(p.groups), func(e *route.Endpoint) bool {
		members = append(members, *e)
		return true
	})
	return members
}

// count is the number of groups. It follows the number of engines late.
func (p *pool) groupCount(now time.Time) int {
	wanted, current := partition.Count(p.engines), len(p.groups)
	if wanted == current || current == 0 {
		p.mismatchSince = time.Time{}
		return wanted
	}
	if p.mismatchSince.IsZero() {
		p.mismatchSince = now
	}
	if now.Sub(p.mismatchSince) < repartitionDelay {
		return current
	}
	p.mismatchSince = time.Time{}
	return wanted
}

// divide divides the engines among groups. The lock is held.
func (p *pool) repartition(count int) {
	if len(p.groups) > count {
		p.retired = append(p.retired, slices.DeleteFunc(p.groups[count:], func(s *scheduler) bool { return s == nil })...)
	}
	groups := make([]*scheduler, count)
	copy(groups, p.groups)
	p.groups = groups
	p.weights = make([]int, count)
	p.directory.Each(p.name, func(e *route.Endpoint) bool {
		p.weights[e.GroupOf(count)]++
		return true
	})
	for i, group := range p.groups {
		switch {
		case group != nil:
			group.configure(p.service, p.groupTokenRate(i), len(p.groups))
			group.setEndpoints(p.members(i))
		case p.isPersistent():
			p.ensureGroup(i)
		}
	}
}

// use returns a group, and has it begin where nothing used it. The lock is held.
func (p *pool) ensureGroup(i int) *scheduler {
	group := p.groups[i]
	if group == nil {
		group = newScheduler(p.gateway, p, i)
		group.configure(p.service, p.groupTokenRate(i), len(p.groups))
		group.setEndpoints(p.members(i))
		p.groups[i] = group
	}
	group.usedAt = time.Now()
	return group
}

// group is where a prompt goes.
func (p *pool) groupFor(req *dispatch.Request) *scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.mismatchSince.IsZero() {
		if count := p.groupCount(time.Now()); count != len(p.groups) {
			p.repartition(count)
		}
	}
	return p.ensureGroup(partition.GroupOf(req.PlacementKey(), p.weights))
}

// rest has the group of an engine know that it wants nothing from this box for a while.
func (p *pool) applyRest(rest lifecycle.Rest) {
	p.mu.Lock()
	resting, known := p.directory.Find(rest.Endpoint)
	var group *scheduler
	if known {
		group = p.groups[resting.GroupOf(len(p.groups))]
	}
	p.mu.Unlock()
	if group != nil {
		group.recordRest(rest)
	}
}

// current are the groups in use.
func (p *pool) activeGroups() []*scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.groups), func(s *scheduler) bool { return s == nil })
}

// dropIdle forgets the groups that nothing has used for a while, where there are many: what a
// box keeps goes with its own requests.
func (p *pool) dropIdleGroups(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, group := range p.groups {
		if group == nil || p.isPersistent() || now.Sub(group.usedAt) < groupIdleTimeout || !group.isIdle() {
			continue
		}
		group.cancel()
		p.groups[i] = nil
	}
}

// idleLook is the time between two looks for what is not used any more.
const idleCheckInterval = 100 * time.Millisecond

// dropIdle lets go of what no request uses: streams to boxes that dispatch, and groups.
func (g *Gateway) dropIdle(ctx context.Context) error {
	interval.Every(ctx, idleCheckInterval, func() {
		now := time.Now()
		for _, group := range g.schedulers() {
			group.closeIdleStream(now)
		}
		g.mu.Lock()
		pools := slices.Collect(maps.Values(g.pools))
		g.mu.Unlock()
		for _, p := range pools {
			p.dropIdleGroups(now)
		}
	})
	return nil
}

// schedulers are the groups in use of all pools.
func (g *Gateway) schedulers() (groups []*scheduler) {
	g.mu.Lock()
	pools := slices.Collect(maps.Values(g.pools))
	g.mu.Unlock()
	for _, p := range pools {
		groups = append(groups, p.activeGroups()...)
	}
	return groups
}

// named returns a group by the name it has on the wire.
func (p *pool) groupNamed(name string) *scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.groups {
		if name == partition.GroupName(p.name, i) {
			return p.ensureGroup(i)
		}
	}
	return nil
}
