package pool

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/settings"
)

const (
	// zonePenalty is the load that is added to endpoints in another availability
	// zone.
	zonePenalty = 0.05
	// affinityPenalty is the extra load at which a request still goes to the
	// endpoint that probably has its prompt's beginning in its prefix cache.
	affinityPenalty = 0.25
	// loadJitter spreads the requests of routers that see the same outdated load
	// reports.
	loadJitter = 0.02
)

// chooseEndpoint returns the endpoint for a ticket, or nil when none has room
// for it now.
func (s *Schedule) chooseEndpoint(t *Ticket, now time.Time) *Endpoint {
	var best, preferred *Endpoint
	bestLoad := math.Inf(1)
	preferredLoad := math.Inf(1)
	var preferredRank uint64
	for _, endpoint := range s.sortedEndpoints {
		if !endpoint.isAvailable(now) || s.shouldSkip(t, endpoint, now) {
			continue
		}
		load := endpoint.load(now) + loadJitter*s.Rand.Float64()
		if endpoint.Zone != s.Zone {
			load += zonePenalty
		}
		rank := affinityRank(t.Affinity, endpoint.Name)
		if !s.hasRoom(t, endpoint, now) {
			continue
		}
		if load < bestLoad {
			best, bestLoad = endpoint, load
		}
		if t.Affinity != 0 && (preferred == nil || rank > preferredRank) {
			preferred, preferredLoad, preferredRank = endpoint, load, rank
		}
	}
	if preferred != nil && preferredLoad <= bestLoad+affinityPenalty {
		return preferred
	}
	return best
}

// shouldSkip reports whether the endpoint already failed this request and
// another one is available.
func (s *Schedule) shouldSkip(t *Ticket, endpoint *Endpoint, now time.Time) bool {
	if !t.tried[endpoint.Name] {
		return false
	}
	for _, other := range s.sortedEndpoints {
		if !t.tried[other.Name] && other.isAvailable(now) {
			return true
		}
	}
	return false
}

// hasRoom reports whether this router may send the ticket to the endpoint now.
func (s *Schedule) hasRoom(t *Ticket, endpoint *Endpoint, now time.Time) bool {
	if !t.Quick && s.rules.QuickSlots > 0 {
		slots := endpoint.Slots - s.rules.QuickSlots
		return endpoint.slow < s.demandShare(slots)
	}
	switch s.rules.SlotPolicy {
	case settings.FixedSlots:
		return endpoint.running < max(1, endpoint.Slots/s.liveRouters)
	case settings.BacklogSlots:
		return endpoint.running < s.demandShare(endpoint.Slots)
	case settings.SlackSlots:
		if s.rules.Kind == settings.PlainPool {
			return endpoint.running < s.demandShare(endpoint.Slots)
		}
		return s.hasSlack(endpoint, now)
	}
	return false
}

// demandShare returns this router's share of a number of slots: in proportion to
// its demand among all routers, and at least 1.
func (s *Schedule) demandShare(slots int) int {
	own := float64(s.Demand())
	total := own + float64(s.peerDemand)
	if total == 0 {
		return slots
	}
	return max(1, int(math.Ceil(float64(slots)*own/total)))
}

// hasSlack reports whether this router may send the endpoint another request. A
// router may fill its share of the slots that are estimated to be free, and keep
// Slack more requests in the engine's own priority queue.
func (s *Schedule) hasSlack(endpoint *Endpoint, now time.Time) bool {
	if endpoint.running >= endpoint.Slots+s.rules.Slack {
		return false
	}
	free := max(0, endpoint.Slots-endpoint.running-endpoint.otherRequests(now))
	allowed := s.rules.Slack + free/s.liveRouters
	return len(endpoint.unstarted) < allowed
}

// affinityRank returns the rendezvous hash of an affinity and an endpoint's name.
func affinityRank(affinity uint64, endpoint string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], affinity)
	digest := xxhash.New()
	digest.Write(seed[:])
	digest.WriteString(endpoint)
	return digest.Sum64()
}
