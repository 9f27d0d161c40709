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
	strayedAt time.Time
}

const (
	// divideAfter is how long the number of engines has to ask for another number
	// of groups before they are divided anew: nearly all parts of prompts are then
	// read again elsewhere. Entries of engines that crashed stay for seconds beside
	// those that replace them.
	divideAfter = 15 * time.Second
	// standingGroups is the number of groups up to which sessions to the boxes that
	// dispatch for them are kept at all times. With more, a box asks each of them
	// seldom, and has a session only while it does: sessions to all would grow with
	// the pool at each box, and with the fleet at those that dispatch.
	standingGroups = 4
	// idleGroup is how long a group that nothing uses is kept.
	idleGroup = 5 * time.Second
)

// begin takes the first catalog and directory.
func (p *pool) begin(service route.Service, tokensPerSecond float64, directory *route.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.tokensPerSecond, p.directory = service, tokensPerSecond, directory
	directory.Each(p.name, func(*route.Endpoint) bool {
		p.engines++
		return true
	})
	p.divide(p.count(time.Now()))
}

// configure takes a new catalog.
func (p *pool) configure(service route.Service, tokensPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.tokensPerSecond = service, tokensPerSecond
	for i, group := range p.groups {
		if group != nil {
			group.configure(service, p.part(i), len(p.groups))
		}
	}
}

// standing tells whether the pool has few groups. The lock is held.
func (p *pool) standing() bool { return len(p.groups) <= standingGroups }

// part is what a group can do of what the whole pool can. The lock is held.
func (p *pool) part(group int) float64 {
	return p.tokensPerSecond * float64(p.weights[group]) / float64(max(1, p.engines))
}

// follow takes what changed of the directory. It costs what the changes do, and a look at
// the engines of the groups in use that they concern.
func (p *pool) follow(directory *route.Directory, changes []route.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directory = directory
	touched := map[int]bool{}
	for i := range changes {
		p.note(changes[i].Before, -1, touched)
		p.note(changes[i].After, 1, touched)
	}
	if len(touched) == 0 {
		return
	}
	if count := p.count(time.Now()); count != len(p.groups) {
		p.divide(count)
		return
	}
	for i := range touched {
		if group := p.groups[i]; group != nil {
			group.configure(p.service, p.part(i), len(p.groups))
			group.setEndpoints(p.members(i))
		}
	}
}

// note counts an account of an endpoint, if it is one of the pool's. The lock is held.
func (p *pool) note(endpoint *route.Endpoint, by int, touched map[int]bool) {
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
func (p *pool) count(now time.Time) int {
	wanted, current := partition.Count(p.engines), len(p.groups)
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
			group.configure(p.service, p.part(i), len(p.groups))
			group.setEndpoints(p.members(i))
		case p.standing():
			p.use(i)
		}
	}
}

// use returns a group, and has it begin where nothing used it. The lock is held.
func (p *pool) use(i int) *scheduler {
	group := p.groups[i]
	if group == nil {
		group = newScheduler(p.gateway, p, i)
		group.configure(p.service, p.part(i), len(p.groups))
		group.setEndpoints(p.members(i))
		p.groups[i] = group
	}
	group.usedAt = time.Now()
	return group
}

// group is where a prompt goes.
func (p *pool) group(ask *dispatch.Ask) *scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.strayedAt.IsZero() {
		if count := p.count(time.Now()); count != len(p.groups) {
			p.divide(count)
		}
	}
	return p.use(partition.GroupOf(ask.PlaceKey(), p.weights))
}

// rest has the group of an engine know that it wants nothing from this box for a while.
func (p *pool) rest(rest lifecycle.Rest) {
	p.mu.Lock()
	resting, known := p.directory.Find(rest.Endpoint)
	var group *scheduler
	if known {
		group = p.groups[resting.GroupOf(len(p.groups))]
	}
	p.mu.Unlock()
	if group != nil {
		group.noteRest(rest)
	}
}

// current are the groups in use.
func (p *pool) current() []*scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.groups), func(s *scheduler) bool { return s == nil })
}

// dropIdle forgets the groups that nothing has used for a while, where there are many: what a
// box keeps goes with its own requests.
func (p *pool) dropIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, group := range p.groups {
		if group == nil || p.standing() || now.Sub(group.usedAt) < idleGroup || !group.atRest() {
			continue
		}
		group.cancel()
		p.groups[i] = nil
	}
}

// idleLook is the time between two looks for what is not used any more.
const idleLook = 100 * time.Millisecond

// dropIdle lets go of what no request uses: streams to boxes that dispatch, and groups.
func (g *Gateway) dropIdle(ctx context.Context) error {
	interval.Every(ctx, idleLook, func() {
		now := time.Now()
		for _, group := range g.schedulers() {
			group.leaveIdle(now)
		}
		g.mu.Lock()
		pools := slices.Collect(maps.Values(g.pools))
		g.mu.Unlock()
		for _, p := range pools {
			p.dropIdle(now)
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
		groups = append(groups, p.current()...)
	}
	return groups
}

// named returns a group by the name it has on the wire.
func (p *pool) named(name string) *scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.groups {
		if name == partition.GroupName(p.name, i) {
			return p.use(i)
		}
	}
	return nil
}
