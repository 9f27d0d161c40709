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

// pool holds the engines of one service. They are partitioned into groups, because a box can
// dispatch only for a limited number of engines. Every box partitions them in the same way: the
// group of an engine follows from its ID, and the group of a prompt from the part that
// determines its placement. A box keeps state only for the groups that its own requests use or
// for which it dispatches.
type pool struct {
	gateway *Gateway
	name    string

	mu sync.Mutex
	// groups are the groups in use on this box, by number; the others are nil.
	groups []*scheduler
	// weights holds the number of engines of each group, and engines their sum.
	weights []int
	engines int
	// retired are groups that a repartition removed, kept for the requests that still run
	// there.
	retired []*scheduler

	service         route.Service
	tokensPerSecond float64
	// plain is set for a plain service, whose endpoints are in one group.
	plain bool
	// unused is set while a plain service is not queued. Requests that still wait or run here end
	// as usual.
	unused     bool
	assignment partition.Assignment
	histories  *histories
	// directory is the version from which weights and groups were computed.
	directory *route.Directory
	// mismatchSince is when the number of engines began to require another number of groups;
	// zero while it does not.
	mismatchSince time.Time
}

const (
	// repartitionDelay is how long the number of engines has to require another number of
	// groups before they are repartitioned. A repartition is expensive: nearly all prompt parts
	// then have to be read again by other engines. The delay is longer than the seconds in which
	// crashed engines are still listed beside their replacements.
	repartitionDelay = 15 * time.Second
	// maxPersistentGroups is the number of groups up to which sessions to their dispatchers are
	// persistent. With more groups a box rarely asks the dispatcher of any one of them, and has a
	// session to it only while it does: the number of persistent sessions would grow with the pool
	// on each box, and with the fleet on each dispatcher.
	maxPersistentGroups = 4
	// groupIdleTimeout is how long an unused group is kept.
	groupIdleTimeout = 5 * time.Second
)

// start applies the first catalog and directory.
func (p *pool) start(service route.Service, tokensPerSecond float64, directory *route.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.tokensPerSecond, p.directory = service, tokensPerSecond, directory
	p.plain = service.Engine == nil
	directory.Each(p.name, func(*route.Endpoint) bool {
		p.engines++
		return true
	})
	p.repartition(p.groupCount(time.Now()))
}

// configure applies a new catalog. unused is set if it does not queue the service, a plain one.
func (p *pool) configure(service route.Service, tokensPerSecond float64, unused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.tokensPerSecond = service, tokensPerSecond
	p.plain, p.unused = service.Engine == nil, unused
	for i, group := range p.groups {
		if group != nil {
			group.configure(service, p.groupTokenRate(i), len(p.groups), p.isPersistent())
		}
	}
}

// isPersistent reports whether the pool has few enough groups to keep sessions to all of their
// dispatchers, and uses them. The caller holds the lock.
func (p *pool) isPersistent() bool { return len(p.groups) <= maxPersistentGroups && !p.unused }

// groupTokenRate returns a group's share of the token rate of the pool. The caller holds the
// lock.
func (p *pool) groupTokenRate(group int) float64 {
	return p.tokensPerSecond * float64(p.weights[group]) / float64(max(1, p.engines))
}

// applyChanges applies a change of the directory. Its cost grows with the changes and with the
// engines of the affected groups that are in use.
func (p *pool) applyChanges(directory *route.Directory, changes []route.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directory = directory
	affected := map[int]bool{}
	for i := range changes {
		p.countEndpoint(changes[i].Before, -1, affected)
		p.countEndpoint(changes[i].After, 1, affected)
	}
	if len(affected) == 0 {
		return
	}
	if count := p.groupCount(time.Now()); count != len(p.groups) {
		p.repartition(count)
		return
	}
	for i := range affected {
		if group := p.groups[i]; group != nil {
			group.configure(p.service, p.groupTokenRate(i), len(p.groups), p.isPersistent())
			group.setEndpoints(p.members(i))
		}
	}
}

// countEndpoint adds delta to the engine counts for an entry of this pool, and adds its group to
// affected. The caller holds the lock.
func (p *pool) countEndpoint(endpoint *route.Endpoint, delta int, affected map[int]bool) {
	if endpoint == nil || endpoint.Service != p.name {
		return
	}
	group := endpoint.GroupOf(len(p.groups))
	if endpoint.Leaving {
		// The group stops using it as a source when it is gone.
		if copiesCache(&p.service) {
			affected[group] = true
		}
		return
	}
	p.engines += delta
	p.weights[group] += delta
	affected[group] = true
}

// members returns the engines of a group, and those that are leaving, if other engines can copy
// what these have cached. The caller holds the lock.
func (p *pool) members(group int) (members, leaving []route.Endpoint) {
	p.directory.EachInGroup(p.name, group, len(p.groups), func(e *route.Endpoint) bool {
		members = append(members, *e)
		return true
	})
	if !copiesCache(&p.service) {
		return members, nil
	}
	p.directory.EachLeavingInGroup(p.name, group, len(p.groups), func(e *route.Endpoint) bool {
		leaving = append(leaving, *e)
		return true
	})
	return members, leaving
}

// wantedGroups returns the number of groups for the number of engines. A plain service has one: a
// request must not wait in one group while an endpoint of another has a free slot.
func (p *pool) wantedGroups() int {
	if p.plain {
		return 1
	}
	return partition.Count(p.engines)
}

// groupCount returns the number of groups that should be in use: another one than now only after
// the number of engines has required it for repartitionDelay.
func (p *pool) groupCount(now time.Time) int {
	wanted, current := p.wantedGroups(), len(p.groups)
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

// repartition distributes the engines over count groups. The caller holds the lock.
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
			group.configure(p.service, p.groupTokenRate(i), len(p.groups), p.isPersistent())
			group.setEndpoints(p.members(i))
		case p.isPersistent():
			p.ensureGroup(i)
		}
	}
}

// ensureGroup returns a group and creates it if it was not in use. The caller holds the lock.
func (p *pool) ensureGroup(i int) *scheduler {
	group := p.groups[i]
	if group == nil {
		group = newScheduler(p.gateway, p, i)
		group.configure(p.service, p.groupTokenRate(i), len(p.groups), p.isPersistent())
		group.setEndpoints(p.members(i))
		p.groups[i] = group
	}
	group.usedAt = time.Now()
	return group
}

// groupFor returns the group to which a prompt belongs.
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

// applyRest records in the group of an engine that the engine rests from this box.
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

// activeGroups returns the groups in use.
func (p *pool) activeGroups() []*scheduler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.groups), func(s *scheduler) bool { return s == nil })
}

// dropIdleGroups removes the groups that have not been used for groupIdleTimeout, unless the
// pool has few of them. Thus what a box keeps of a large pool depends on its own requests alone.
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

// idleCheckInterval is the time between two checks for unused streams and groups.
const idleCheckInterval = 100 * time.Millisecond

// dropIdle closes streams to dispatchers and removes groups that no request uses, until the
// context ends.
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

// schedulers returns the groups in use of all pools.
func (g *Gateway) schedulers() (groups []*scheduler) {
	g.mu.Lock()
	pools := slices.Collect(maps.Values(g.pools))
	g.mu.Unlock()
	for _, p := range pools {
		groups = append(groups, p.activeGroups()...)
	}
	return groups
}

// groupNamed returns the group with a name as used between boxes; nil if there is none.
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
