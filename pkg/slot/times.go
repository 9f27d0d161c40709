// Package slot accounts for the slots of the endpoints of a plain service: which requests were
// granted there and have not ended, how long requests hold a slot, and which endpoints failed. It
// does no I/O, and the time is an argument. Its types are not safe for concurrent use.
package slot

import "time"

// Times estimates how long the requests of each route hold a slot, over all endpoints of a
// service. The zero value knows no route.
type Times struct {
	byRoute map[string]time.Duration
	// overall is the mean over all routes, which is assumed for routes without a sample.
	overall time.Duration
	// failureRate is a moving average of the outcomes at all endpoints: 0 if all succeeded, 1 if
	// all failed.
	failureRate float64
}

const (
	// initialTime is assumed before any request has ended.
	initialTime = 20 * time.Millisecond
	// minTime keeps the cost of a request above zero.
	minTime = 100 * time.Microsecond
	// sampleWeight is the weight of the newest sample in a mean.
	sampleWeight = 1.0 / 16
	// maxDeviation bounds a sample relative to the mean: a request whose caller left early, or one
	// that ran into a time limit, says little about the others.
	maxDeviation = 4
)

// Expected returns how long a request of a route is expected to hold a slot.
func (t *Times) Expected(route string) time.Duration {
	if mean := t.byRoute[route]; mean > 0 {
		return mean
	}
	if t.overall > 0 {
		return t.overall
	}
	return initialTime
}

// Overall returns how long a request of any route is expected to hold a slot.
func (t *Times) Overall() time.Duration { return t.Expected("") }

// record adds a sample.
func (t *Times) record(route string, took time.Duration) {
	if t.byRoute == nil {
		t.byRoute = map[string]time.Duration{}
	}
	t.byRoute[route] = average(t.byRoute[route], took)
	t.overall = average(t.overall, took)
}

// average returns a mean with one more sample; a mean of 0 has none yet.
func average(mean, sample time.Duration) time.Duration {
	sample = max(sample, minTime)
	if mean == 0 {
		return sample
	}
	sample = min(max(sample, mean/maxDeviation), mean*maxDeviation)
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}
