package gateway

import (
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/route"
)

// copiesCache reports whether the engines of a service copy cached parts of prompts from each
// other.
func copiesCache(service *route.Service) bool {
	return service.Engine.HasCompactCache() && service.Engine.CopiesCache
}

// fetchAddress returns the address of the engine from which a granted one is to copy cached parts
// of the prompt; empty if there is none, or if it is no longer listed. An engine that is leaving
// still serves what it has cached. If a later instance has taken its place, that has less cached,
// and the granted engine reads the rest itself.
func (c *call) fetchAddress(to destination) string {
	id := to.granted.fetchFrom
	if id == "" || id == to.ID {
		return ""
	}
	source, listed := c.gateway.registry.Directory().Find(id)
	if !listed || source.Service != to.Service || source.Evacuated {
		c.gateway.Metrics.lostSources.Add(1)
		return ""
	}
	return source.Address
}

// reportTransfers logs the transfers that this box granted as the dispatcher since the last call.
func (s *scheduler) reportTransfers() {
	s.mu.Lock()
	counts := s.pool.TakeTransferCounts()
	s.mu.Unlock()
	if counts.Started == 0 && counts.Late == 0 {
		return
	}
	s.gateway.Metrics.lateFetches.Add(int64(counts.Late))
	s.log.Info("engines copy cached parts",
		zap.String("Service", s.groupName),
		zap.Int("Fetched", counts.Started),
		zap.Int("Tokens", counts.Tokens),
		zap.Int("Late", counts.Late))
}
