package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/membership"
	"github.com/quaylead/quaylead/pkg/partition"
)

// rank ranks the fleet anew if it changed. The lock is held.
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

// putFirst has a box rank first. The lock is held.
func (s *scheduler) moveToFront(box string) {
	at := slices.IndexFunc(s.ranking, func(one partition.Ranked) bool { return one.Name == box })
	if box == "" || at == 0 {
		return
	}
	one := partition.Ranked{Name: box, Alive: true}
	if at > 0 {
		one = s.ranking[at]
		s.ranking = slices.Delete(s.ranking, at, at+1)
	}
	s.ranking = slices.Insert(s.ranking, 0, one)
}

// target is the box that dispatches for the group: the first among those that live, and to
// which there is a session where these stand at all times. A box without one is not suspect:
// where all boxes start together, each would leave out most of the others for 1.5 s, and as
// long several dispatch for the same engines.
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

// contested tells whether other boxes may decide for the group's engines as well: this one does
// not rank first, whatever it thinks of the one that does. The lock is held.
func (s *scheduler) isContested() bool {
	g := s.gateway
	return g.stopping.Load() || s.rank()[0].Name != g.Settings.Name
}

// mostUnheard bounds the boxes that are tried though they are only listed: after a start
// they may all be gone.
const maxListedOnly = 4

// wanted are the boxes to which the group wants sessions: the first few that may dispatch,
// where these stand at all times, and in any case the one that is asked.
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
	unheard := 0
	for _, box := range s.rank() {
		switch {
		case count == 0:
			return names
		case now.Before(s.suspects[box.Name].until):
			continue
		case box.Alive:
			count--
		case unheard == maxListedOnly:
			continue
		default:
			unheard++
		}
		if box.Name != s.gateway.Settings.Name {
			names = append(names, box.Name)
		}
	}
	return names
}
