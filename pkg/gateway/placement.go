package gateway

import (
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/route"
)

// logWeights logs the weights of the engines after they moved, which is at most once a second for
// each group. The caller holds the lock.
func (s *scheduler) logWeights() {
	weights, moved := s.pool.TakeMovedWeights()
	if !moved {
		return
	}
	s.gateway.Metrics.WeightsMoved()
	s.log.Info("weights of engines",
		zap.String("Service", s.groupName),
		zap.Float64("Lowest", weights.Lowest),
		zap.Float64("Highest", weights.Highest),
		zap.String("Slowest", weights.Slowest),
		zap.String("Fastest", weights.Fastest))
}

// logHomes logs how many shared parts this box knows and at how many engines they are cached.
func (s *scheduler) logHomes() {
	s.mu.Lock()
	counts := s.pool.CountHomes()
	s.mu.Unlock()
	if counts.Parts == 0 {
		return
	}
	s.log.Info("homes of parts",
		zap.String("Service", s.groupName),
		zap.Int("Parts", counts.Parts),
		zap.Int("Cached", counts.Cached),
		zap.Int("Copies", counts.Copies),
		zap.Bool("Uneven", counts.Uneven))
}

// countCrossing counts the body of a request that goes to an engine of another zone.
func (c *call) countCrossing(to *route.Endpoint) {
	if own := c.gateway.Settings.Zone; own != "" && to.Zone != own {
		c.gateway.Metrics.Crossed(len(c.http.Request.Body()))
	}
}
