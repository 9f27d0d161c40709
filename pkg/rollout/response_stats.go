package rollout

import "time"

// ResponseStats classifies responses as good or bad, and counts them by route. A response is
// bad if it failed or took much longer than those of other versions on the same route. The
// zero value is ready to use. It is not safe for concurrent use.
type ResponseStats struct {
	routes map[string]*routeStats
}

type routeStats struct {
	Tally
	// meanTime is a moving average of the response time of other versions.
	meanTime time.Duration
}

const (
	// slowFactor times the mean time makes a response bad.
	slowFactor = 3
	// meanTimeGain is the weight of the newest response in the average.
	meanTimeGain = 0.05
)

// Record counts a response. Took is 0 if unknown.
func (s *ResponseStats) Record(route string, target, failed bool, took time.Duration) {
	if s.routes == nil {
		s.routes = map[string]*routeStats{}
	}
	r := s.routes[route]
	if r == nil {
		r = &routeStats{}
		s.routes[route] = r
	}
	bad := failed || (r.meanTime > 0 && took > slowFactor*r.meanTime)
	switch {
	case target && bad:
		r.TargetBad++
	case target:
		r.TargetGood++
	case bad:
		r.OldBad++
	default:
		r.OldGood++
	}
	if !target && !bad && took > 0 {
		if r.meanTime == 0 {
			r.meanTime = took
		}
		r.meanTime += time.Duration(meanTimeGain * float64(took-r.meanTime))
	}
}

// Tallies returns the counts so far, by route.
func (s *ResponseStats) Tallies() map[string]Tally {
	tallies := make(map[string]Tally, len(s.routes))
	for route, r := range s.routes {
		tallies[route] = r.Tally
	}
	return tallies
}
