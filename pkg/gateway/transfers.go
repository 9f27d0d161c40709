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
// of the prompt; empty if there is none, or if it is no longer listed.
func (c *call) fetchAddress(to destination) string {
	if to.granted.fetchFrom == "" {
		return ""
	}
	address := sourceAddress(c.gateway.registry.Directory(), to.granted.fetchFrom, &to.Endpoint)
	if address == "" {
		c.gateway.Metrics.lostSources.Add(1)
	}
	return address
}

// sourceAddress returns the address of the source of a transfer to an engine; empty if it must not
// be used. An engine that is leaving still serves what it has cached. The dispatcher names no
// instance: if a later one has taken the place of the source, it has less cached, and the engine
// reads the rest itself.
func sourceAddress(directory *route.Directory, id string, to *route.Endpoint) string {
	source, listed := directory.Find(id)
	if !listed || source.ID == to.ID || source.Service != to.Service || source.Release != to.Release || source.Evacuated {
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
