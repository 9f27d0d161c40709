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
	// minAskerAge is how long a box must have asked this one for grants before it counts as an
	// asker. By then, what it sent by grants of its previous dispatcher is out of the window in
	// which requests to a cold endpoint count.
	minAskerAge = 1150 * time.Millisecond
	// coldFractionTTL is how long a computed fraction is used.
	coldFractionTTL = 50 * time.Millisecond
	// lostMemberTTL is how long a lost box still counts as one that may dispatch or ask a
	// dispatcher: a box that is partitioned from the others but not from the engines considers
	// all of them lost.
	lostMemberTTL = 10 * time.Second
	// coldSenderCount is the number of boxes that send to a cold plain endpoint, each with an
	// equal share of its bound: few enough for a share of some requests a second, and enough
	// that some remain when boxes go.
	coldSenderCount = 4
	// coldSenderDelay is how long a box has to be one of these senders before it sends: a change
	// of the fleet reaches 300 boxes within a quarter of a second, and a box that was chosen
	// before may have sent until then.
	coldSenderDelay = 1500 * time.Millisecond
	// coldSenderInterval is the time between two choices of the senders.
	coldSenderInterval = 250 * time.Millisecond
)

// cachedColdFraction is a computed fraction of the bounds of cold engines and when it expires.
type cachedColdFraction struct {
	fraction float64
	until    time.Time
}

// coldFraction returns the fraction of the bounds of cold engines that this box may use: the
// number of boxes that ask it, itself included, divided by that of all boxes. Because each box
// asks one dispatcher at a time, the fractions of all dispatchers add up to 1 at most. When each
// dispatcher used the whole bound, two at the same time sent a cold engine twice its bound. The
// caller holds the lock.
func (s *scheduler) coldFraction(now time.Time) float64 {
	if now.Before(s.cachedCold.until) {
		return s.cachedCold.fraction
	}
	if !s.pool.HasColdLimit() {
		return 1
	}
	askers := map[string]bool{}
	for _, r := range s.streams {
		if now.Sub(r.since) >= minAskerAge {
			askers[r.box] = true
		}
	}
	if s.remote == nil && now.Sub(s.localSince) >= minAskerAge {
		askers[s.gateway.Settings.Name] = true
	}
	fleetSize := s.gateway.fleet.CountRecent(now, lostMemberTTL) + 1
	s.cachedCold = cachedColdFraction{fraction: min(1, float64(len(askers))/float64(fleetSize)), until: now.Add(coldFractionTTL)}
	return s.cachedCold.fraction
}

// coldSenders records for which plain endpoints this box is one of the coldSenderCount senders
// while they are cold.
type coldSenders struct {
	mu sync.Mutex
	// since is when this box became a sender, by endpoint.
	since map[string]time.Time
}

// update determines for which of the endpoints this box, own, is one of the senders, given the
// boxes that are alive.
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

// fraction returns the fraction of an endpoint's bound that this box may use.
func (c *coldSenders) fraction(endpoint string, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, chosen := c.since[endpoint]
	if !chosen || now.Sub(since) < coldSenderDelay {
		return 0
	}
	return 1.0 / coldSenderCount
}

// coldSendersOf returns the boxes that rank first for an endpoint.
func coldSendersOf(endpoint string, boxes []string) []string {
	return topRankedBoxes(endpoint, boxes, coldSenderCount)
}

// topRankedBoxes returns the boxes that rank first for a name, by rendezvous hashing.
func topRankedBoxes(name string, boxes []string, count int) []string {
	key := xxhash.Sum64String(name)
	ranked := slices.Clone(boxes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(partition.Hash(key, xxhash.Sum64String(b)), partition.Hash(key, xxhash.Sum64String(a))), cmp.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}

// updateColdSenders determines for which bounded plain endpoints this box is a sender while
// they are cold. Of a queued service there are no such senders: its dispatchers keep to the bound.
// When a service is no longer queued, coldSenderDelay passes before a sender sends.
func (g *Gateway) updateColdSenders() {
	catalog := g.registry.Catalog()
	if catalog == nil {
		return
	}
	var endpoints []string
	for name, service := range catalog.Services {
		if service.Engine != nil || service.ColdStart.MaxPerSecond <= 0 || catalog.QueuesPlain(name) {
			continue
		}
		for _, endpoint := range g.registry.Directory().EndpointsOf(name) {
			endpoints = append(endpoints, endpoint.ID)
		}
	}
	boxes := []string{g.Settings.Name}
	if len(endpoints) > 0 {
		g.fleet.EachLive(func(row *peer.Row) { boxes = append(boxes, row.Box) })
	}
	g.coldSenders.update(endpoints, boxes, g.Settings.Name, time.Now())
}
