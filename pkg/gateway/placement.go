package gateway

import "go.uber.org/zap"

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
