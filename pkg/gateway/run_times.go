package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/route"
)

// runTimes are how long this box's latest requests of each route took, from their arrival to the end of
// their response. They tell a stopping box which requests can still end.
type runTimes struct {
	mu     sync.Mutex
	routes map[string]*recentTimes
}

// recentTimes are the latest maxRecentRuns times. The oldest is at next once there are as many.
type recentTimes struct {
	times []time.Duration
	next  int
}

const (
	// maxRecentRuns bounds the times that are kept of a route. About one request in as many takes
	// longer than all of them.
	maxRecentRuns = 128
	// minRecentRuns is the number of times below which they are no guide to the next request.
	minRecentRuns = 10
	// maxTimedRoutes bounds the routes, as their names may change.
	maxTimedRoutes = 1000
	// runTimeMargin is added to the expected time, as a fraction of it: the endpoints have more work
	// while the callers of a stopping box move.
	runTimeMargin = 0.125
)

// record records the time of a request that ended.
func (r *runTimes) record(routeName string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil || len(r.routes) >= maxTimedRoutes {
		r.routes = map[string]*recentTimes{}
	}
	recent := r.routes[routeName]
	if recent == nil {
		recent = &recentTimes{}
		r.routes[routeName] = recent
	}
	recent.add(took)
}

func (t *recentTimes) add(took time.Duration) {
	if len(t.times) < maxRecentRuns {
		t.times = append(t.times, took)
		return
	}
	t.times[t.next] = took
	t.next = (t.next + 1) % maxRecentRuns
}

// expected returns the time within which a request of the route is expected to end: that of the longest
// latest one. Repeatable requests are no exception: to repeat one that was cut takes its caller far longer
// than to go to another box at once. It does not exceed the request's limit, and is the limit if the
// route's times are not known.
func (r *runTimes) expected(of *route.Route, limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.routes[of.Name]
	if recent == nil || len(recent.times) < minRecentRuns {
		return limit
	}
	known := slices.Max(recent.times)
	return min(limit, known+time.Duration(runTimeMargin*float64(known)))
}
