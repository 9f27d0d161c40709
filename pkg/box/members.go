// Package box tracks which boxes of the fleet are alive, from the updates that they
// send themselves.
package box

import (
	"maps"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
)

// Member is another box that has sent an update.
type Member struct {
	peer.Sender
	// HeardAt is when its last update was received.
	HeardAt time.Time
	// Revision is the revision of the settings in force there.
	Revision uint64
	// Leaving is set once it takes no new work.
	Leaving bool
	// Silent is set once its session ended.
	Silent bool
	// Demand is the number of requests it has waiting and running, by pool.
	Demand map[string]int
}

// Members tracks the other boxes, by incarnation. It is safe for concurrent use.
type Members struct {
	mu      sync.Mutex
	members map[uint64]*Member
}

// silentTTL is how long an incarnation is kept after its session ended.
const silentTTL = 10 * time.Minute

// HandleUpdate records an update. The first one of a session holds the whole state,
// later ones the changes.
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

// HandlePeerLost records that a box's session ended.
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

// EachLive calls a function with each member that has a session and takes work. The
// function must not retain the member.
func (m *Members) EachLive(call func(*Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.members {
		if !member.Silent && !member.Leaving {
			call(member)
		}
	}
}

// CountLive returns the number of members that have a session and take work.
func (m *Members) CountLive() (count int) {
	m.EachLive(func(*Member) { count++ })
	return count
}

// Live returns copies of the members that have a session and take work.
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

// Demand returns the number of live routers in a pool, this one included, and the
// number of requests that the others have waiting and running there.
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
