package rollout

import "time"

// Answers judges single answers by how long they took, against what those of other versions
// take on the same route, and counts them. The zero value is ready. It is not safe for
// concurrent use.
type ResponseStats struct {
	routes map[string]*routeStats
}

type routeStats struct {
	Tally
	// typical is a mean of the time that answers of other versions take.
	meanTime time.Duration
}

const (
	// slowFactor times the typical time makes an answer bad.
	slowFactor = 3
	// typicalGain is the weight of the newest answer in the mean.
	meanTimeGain = 0.05
)

// Note counts an answer. Took is 0 where that is not known.
func (a *ResponseStats) Record(route string, target, failed bool, took time.Duration) {
	if a.routes == nil {
		a.routes = map[string]*routeStats{}
	}
	r := a.routes[route]
	if r == nil {
		r = &routeStats{}
		a.routes[route] = r
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

// Counts are those so far.
func (a *ResponseStats) Tallies() map[string]Tally {
	counts := make(map[string]Tally, len(a.routes))
	for route, r := range a.routes {
		counts[route] = r.Tally
	}
	return counts
}
