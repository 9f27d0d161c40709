package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/partition"
	"github.com/quaylead/quaylead/pkg/peer"
)

const (
	// coldSettled is how long a box has to have asked this one before it counts: by then
	// nothing counts any more that was sent by the word of the box that it asked before.
	minAskerAge = 1150 * time.Millisecond
	// coldPartFor is how long a part holds before it is counted anew.
	coldFractionTTL = 50 * time.Millisecond
	// lostRecently is how long a lost box still counts as one that may dispatch, or ask one
	// that does: a box that is cut off from the others, and not from the engines, sees all
	// of them lost.
	lostMemberTTL = 10 * time.Second
	// coldSenders is the number of boxes that send to a cold plain endpoint, an even part
	// of its bound each: few enough for a part of some requests a second, and enough that
	// some are left when boxes go.
	coldSenderCount = 4
	// coldChosen is how long a box has to be one of them before it sends: news crosses
	// 300 boxes in a quarter of a second, and one that was chosen before may have sent
	// until then.
	coldSenderDelay = 1500 * time.Millisecond
	// coldLook is the time between two choices.
	coldSenderInterval = 250 * time.Millisecond
)

// coldPart is a counted part of what cold engines take.
type coldFraction struct {
	fraction float64
	until    time.Time
}

// coldPart is the part of what cold engines take that this box may use: that of the boxes
// that ask it, itself included, of all boxes. As each asks one box at a time, the parts of
// all add up to 1 at most. With all of it for each box that dispatches, two that did so at
// once sent a cold engine twice its bound. The lock is held.
func (s *scheduler) coldFraction(now time.Time) float64 {
	if now.Before(s.cold.until) {
		return s.cold.fraction
	}
	if !s.pool.HasColdLimit() {
		return 1
	}
	asking := map[string]bool{}
	for _, r := range s.streams {
		if now.Sub(r.since) >= minAskerAge {
			asking[r.box] = true
		}
	}
	if s.remote == nil && now.Sub(s.aloneSince) >= minAskerAge {
		asking[s.gateway.Settings.Name] = true
	}
	fleet := s.gateway.fleet.CountRecent(now, lostMemberTTL) + 1
	s.cold = coldFraction{fraction: min(1, float64(len(asking))/float64(fleet)), until: now.Add(coldFractionTTL)}
	return s.cold.fraction
}

// coldChoice remembers for which endpoints this box is one of those that send while they
// are cold.
type coldSenders struct {
	mu sync.Mutex
	// since is when it became one, by endpoint.
	since map[string]time.Time
}

// choose brings that up to date for some endpoints and the boxes that are alive, of which
// own is this one.
func (c *coldSenders) update(endpoints, boxes []string, own string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := map[string]time.Time{}
	for _, endpoint := range endpoints {
		if !slices.Contains(coldSendersOf(endpoint, boxes), own) {
			continue
		}
		since[endpoint] = now
		if before, ok := c.since[endpoint]; ok {
			since[endpoint] = before
		}
	}
	c.since = since
}

// part is what this box may use of an endpoint's bound.
func (c *coldSenders) fraction(endpoint string, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, chosen := c.since[endpoint]
	if !chosen || now.Sub(since) < coldSenderDelay {
		return 0
	}
	return 1.0 / coldSenderCount
}

// coldSendersOf are the boxes that rank first for an endpoint.
func coldSendersOf(endpoint string, boxes []string) []string {
	return topRankedBoxes(endpoint, boxes, coldSenderCount)
}

// firstBoxes are those that rank first for a name, by rendezvous hash.
func topRankedBoxes(name string, boxes []string, count int) []string {
	key := xxhash.Sum64String(name)
	ranked := slices.Clone(boxes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(partition.Hash(key, xxhash.Sum64String(b)), partition.Hash(key, xxhash.Sum64String(a))), cmp.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}

// chooseColdSenders finds for which plain endpoints with a bound this box sends while they
// are cold.
func (g *Gateway) updateColdSenders() {
	catalog := g.registry.Catalog()
	if catalog == nil {
		return
	}
	var endpoints []string
	for name, service := range catalog.Services {
		if service.Engine != nil || service.Cold.PerSecond <= 0 {
			continue
		}
		for _, endpoint := range g.registry.Directory().Of(name) {
			endpoints = append(endpoints, endpoint.ID)
		}
	}
	boxes := []string{g.Settings.Name}
	if len(endpoints) > 0 {
		g.fleet.EachLive(func(row *peer.Row) { boxes = append(boxes, row.Box) })
	}
	g.coldSenders.update(endpoints, boxes, g.Settings.Name, time.Now())
}
