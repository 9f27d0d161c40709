package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/membership"
	"github.com/quaylead/quaylead/pkg/partition"
)

// rank returns the boxes in the order in which they may dispatch for the group. It computes the
// order only if the fleet changed. The caller holds the lock.
func (s *scheduler) rank() []partition.Ranked {
	g := s.gateway
	candidates := g.fleet.Candidates(time.Now())
	same := len(candidates) == len(s.candidates) && (len(candidates) == 0 || &candidates[0] == &s.candidates[0])
	if s.ranking == nil || !same {
		own := membership.Candidate{Name: g.Settings.Name, Hash: xxhash.Sum64String(g.Settings.Name), Cores: g.Settings.Cores, Alive: true}
		s.ranking, s.candidates = partition.Rank(s.groupName, own, candidates), candidates
		if !s.persistent {
			s.moveToFront(s.assignment.BoxFor(s.poolName, s.groupNumber, s.groupCount, own, candidates))
		}
	}
	return s.ranking
}

// moveToFront ranks a box first. The caller holds the lock.
func (s *scheduler) moveToFront(box string) {
	at := slices.IndexFunc(s.ranking, func(ranked partition.Ranked) bool { return ranked.Name == box })
	if box == "" || at == 0 {
		return
	}
	ranked := partition.Ranked{Name: box, Alive: true}
	if at > 0 {
		ranked = s.ranking[at]
		s.ranking = slices.Delete(s.ranking, at, at+1)
	}
	s.ranking = slices.Insert(s.ranking, 0, ranked)
}

// dispatcher returns the box to ask for the group: the first live one that is not suspected
// and, with persistent sessions, to which a session exists. A box without a session is skipped
// but not suspected: when all boxes start together, each would otherwise skip most of the others
// for 1.5 s, and several boxes would dispatch for the same engines meanwhile.
func (s *scheduler) dispatcher() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gateway
	now := time.Now()
	for _, box := range s.rank() {
		switch {
		case now.Before(s.suspects[box.Name].until):
		case box.Name == g.Settings.Name:
			if !g.stopping.Load() {
				return box.Name
			}
		case !s.persistent || g.exchange.IsConnected(box.Name):
			return box.Name
		}
	}
	return g.Settings.Name
}

// coresOf returns the processor time of a box in the ranking, in cores; 0 means unknown. The caller
// holds the lock.
func (s *scheduler) coresOf(box string) float64 {
	for i := range s.ranking {
		if s.ranking[i].Name == box {
			return s.ranking[i].Cores
		}
	}
	return 0
}

// isContested reports whether other boxes may dispatch for the group as well: this one is
// stopping or does not rank first, even if it suspects the box that does. The caller holds the
// lock.
func (s *scheduler) isContested() bool {
	g := s.gateway
	return g.stopping.Load() || s.rank()[0].Name != g.Settings.Name
}

// maxListedOnly bounds the boxes to which sessions are opened although the store only lists them
// and no peer has reported them alive: after a start they may all be gone.
const maxListedOnly = 4

// wantedSessions returns the boxes to which the group needs sessions: the one that is asked
// and, with persistent sessions, the first count boxes that may dispatch.
func (s *scheduler) wantedSessions(count int) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remote != nil {
		names = append(names, s.remote.box)
	}
	if s.opening != nil {
		names = append(names, s.opening.box)
	}
	if !s.persistent {
		return names
	}
	now := time.Now()
	listedOnly := 0
	for _, box := range s.rank() {
		switch {
		case count == 0:
			return names
		case now.Before(s.suspects[box.Name].until):
			continue
		case box.Alive:
			count--
		case listedOnly == maxListedOnly:
			continue
		default:
			listedOnly++
		}
		if box.Name != s.gateway.Settings.Name {
			names = append(names, box.Name)
		}
	}
	return names
}
