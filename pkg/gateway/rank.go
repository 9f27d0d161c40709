package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/peer"
)

// ranking holds the boxes that rank first to dispatch for a group of engines, by
// weighted rendezvous hash over the boxes that are alive. It is not safe for concurrent
// use.
type ranking struct {
	// version is that of the fleet which was ranked.
	version uint64
	// until is how long the ranking holds without news of the fleet: lists of boxes
	// come without.
	until time.Time
	// first are the first boxes, best first, this one among them where it ranks so.
	first []rankedBox
}

type rankedBox struct {
	name  string
	score float64
	// heard is set where the box is known to be alive, and not only listed.
	heard bool
}

// rankFor bounds the age of a ranking.
const rankFor = 200 * time.Millisecond

// mostRanked bounds the boxes that are ranked: with all of them suspect or out of
// reach, this box is itself cut off, and decides alone.
const mostRanked = 16

// coresPower makes large boxes far more likely to dispatch than their number of
// cores: they have more to spare, and a small one that dispatches is late.
const coresPower = 3

// leastCores stand for boxes that do not tell what they have.
const leastCores = 0.05

func boxScore(service, box string, cores float64) float64 {
	uniform := uniformOf(hashOf(xxhash.Sum64String(service), xxhash.Sum64String(box)))
	return math.Log(uniform) / math.Pow(max(cores, leastCores), coresPower)
}

// rank ranks the fleet anew if it changed. The lock is held. With 294 other boxes it
// takes some 50 us, too much for each request.
func (s *scheduler) rank() []rankedBox {
	g := s.gateway
	now := time.Now()
	version := g.fleet.Version()
	if s.ranking.version == version && now.Before(s.ranking.until) {
		return s.ranking.first
	}
	boxes := []rankedBox{{g.Settings.Name, boxScore(s.service, g.Settings.Name, g.Settings.Cores), true}}
	g.fleet.EachLive(func(row *peer.Row) {
		if row.Configured {
			boxes = append(boxes, rankedBox{row.Box, boxScore(s.service, row.Box, row.Cores), true})
		}
	})
	// After all boxes were gone, those that are back are ranked before they are heard:
	// otherwise each asks whichever it heard first, and asks another one with each
	// piece of news. A day with 295 boxes had five changes within 0.8 s of their return.
	g.fleet.EachUnheard(now, func(box string, cores float64) {
		boxes = append(boxes, rankedBox{box, boxScore(s.service, box, cores), false})
	})
	slices.SortFunc(boxes, func(a, b rankedBox) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	s.ranking = ranking{version: version, until: now.Add(rankFor), first: boxes[:min(len(boxes), mostRanked)]}
	return s.ranking.first
}

// target is the box that dispatches for the group: the first among those that live and
// to which there is a session. A box without one is not suspect: where all boxes start
// together, each would leave out most of the others for 1.5 s, and as long several
// dispatch for the same engines.
func (s *scheduler) target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gateway
	now := time.Now()
	for _, box := range s.rank() {
		switch {
		case now.Before(s.suspects[box.name].until):
		case box.name == g.Settings.Name:
			if !g.stopping.Load() {
				return box.name
			}
		case g.exchange.Reaches(box.name):
			return box.name
		}
	}
	return g.Settings.Name
}

// mostUnheard bounds the boxes that are tried though they are only listed: after a start
// they may all be gone.
const mostUnheard = 4

// firstRanked are the other boxes among the first few that are not suspect, and those
// ahead of them that are only listed.
func (s *scheduler) firstRanked(count int) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	unheard := 0
	for _, box := range s.rank() {
		switch {
		case count == 0:
			return names
		case now.Before(s.suspects[box.name].until):
			continue
		case box.heard:
			count--
		case unheard == mostUnheard:
			continue
		default:
			unheard++
		}
		if box.name != s.gateway.Settings.Name {
			names = append(names, box.name)
		}
	}
	return names
}
