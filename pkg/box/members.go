// Package box keeps which boxes of the fleet are alive, from what they say
// themselves and from the platform's lagging list.
package box

import (
	"maps"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
)

// Member is another box that was heard of.
type Member struct {
	peer.Sender
	// HeardAt is when its last message came.
	HeardAt time.Time
	// Revision is the revision of the settings in force there.
	Revision uint64
	// Leaving is set once it stops taking work.
	Leaving bool
	// Silent is set once its session ended.
	Silent bool
	// Demand is what it has waiting and running, by pool.
	Demand map[string]int
}

// Members are the other boxes, by incarnation. It is safe for concurrent use.
type Members struct {
	mu      sync.Mutex
	members map[uint64]*Member
}

// keepSilent is how long a silent incarnation stays listed for operators.
const silentTTL = 10 * time.Minute

// Heard notes a message. First messages hold everything, later ones changes.
func (m *Members) HandleUpdate(from peer.Sender, update peer.State, first bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.members == nil {
		m.members = map[uint64]*Member{}
	}
	member := m.members[from.Incarnation]
	if member == nil || first {
		member = &Member{Sender: from, Demand: map[string]int{}}
		m.members[from.Incarnation] = member
	}
	member.HeardAt = now
	member.Silent = false
	member.Revision = update.Revision
	member.Leaving = update.Leaving
	for pool, state := range update.Pools {
		member.Demand[pool] = state.Demand
	}
	m.removeExpired(now)
}

// Silent notes that a box's session ended.
func (m *Members) HandlePeerLost(from peer.Sender) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member := m.members[from.Incarnation]; member != nil {
		member.Silent = true
	}
}

func (m *Members) removeExpired(now time.Time) {
	for incarnation, member := range m.members {
		if member.Silent && now.Sub(member.HeardAt) > silentTTL {
			delete(m.members, incarnation)
		}
	}
}

// EachLive calls a function with each member that is heard and takes work. The
// function may keep nothing of it.
func (m *Members) EachLive(call func(*Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.members {
		if !member.Silent && !member.Leaving {
			call(member)
		}
	}
}

// CountLive is the number of members that are heard and take work.
func (m *Members) CountLive() (count int) {
	m.EachLive(func(*Member) { count++ })
	return count
}

// Live returns copies of the members that are heard and take work.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		if member.Silent || member.Leaving {
			continue
		}
		clone := *member
		clone.Demand = maps.Clone(member.Demand)
		live = append(live, clone)
	}
	return live
}

// Demand returns the number of live routers in a pool, this one included, and
// what the others have waiting and running there.
func (m *Members) Demand(pool string) (liveRouters, demand int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	liveRouters = 1
	for _, member := range m.members {
		if member.Silent {
			continue
		}
		demand += member.Demand[pool]
		if !member.Leaving {
			liveRouters++
		}
	}
	return liveRouters, demand
}
