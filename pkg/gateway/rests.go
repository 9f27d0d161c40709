package gateway

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// errRestTooLong reports a rest longer than lifecycle.MaxRest.
var errRestTooLong = errors.New("the rest is longer than the maximum")

// rests holds until when endpoints want no requests from this box, as they asked in their
// responses (Retry-After).
type rests struct {
	mu        sync.Mutex
	requested lifecycle.Rests
}

// record adds a rest. It reports whether the endpoint rests longer now.
func (r *rests) record(rest lifecycle.Rest, now time.Time) (longer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested.Add(rest, now)
}

// isResting reports whether an endpoint rests from this box.
func (r *rests) isResting(endpoint *route.Endpoint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.requested.Until(endpoint.ID, endpoint.Born))
}

// firstEnd returns when the first rest ends among the endpoints that otherwise take requests;
// zero if none of them rests.
func (r *rests) firstEnd(endpoints []route.Endpoint, now time.Time) (first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range endpoints {
		until := r.requested.Until(endpoints[i].ID, endpoints[i].Born)
		if endpoints[i].Admits() && now.Before(until) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// active returns the rests that have not ended.
func (r *rests) active(now time.Time) []lifecycle.Rest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested.All(now)
}

// handleSelfReport applies the self report of an endpoint in the head of a response. It is called
// before the response is processed further, because the next request may already depend on it.
func (c *call) handleSelfReport(to destination, info ResponseInfo) {
	if !info.hasSelfReport() {
		return
	}
	c.gateway.handleSelfReport(&to.Endpoint, info, c.log().With(
		zap.String("Request", c.ID),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.String("GrantedBy", to.granted.decidedBy)))
}

// hasSelfReport reports whether a response contains a self report, as few do.
func (a *ResponseInfo) hasSelfReport() bool {
	return a.Leaving || a.Rest > 0 || a.RestProblem != nil
}

// handleSelfReport applies the self report in a response to a caller's request or to one of this
// box's own.
func (g *Gateway) handleSelfReport(from *route.Endpoint, info ResponseInfo, log *zap.Logger) {
	now := time.Now()
	if info.Leaving {
		// A departure is also recorded for an endpoint that is not listed: its row may reappear
		// unchanged.
		if known, listed := g.registry.Directory().Find(from.ID); !listed || !known.Leaving {
			g.registry.RecordDeparture(from, now)
		}
	}
	length, problem := restOf(info)
	if problem != nil {
		// The endpoint declined the request, after which it gets no work for a default time.
		log.Warn("rest that an endpoint asks for not taken",
			zap.String("Endpoint", from.ID),
			zap.Duration("Rest", info.Rest),
			zap.Error(problem))
	}
	if length > 0 {
		g.recordRest(lifecycle.Rest{Endpoint: from.ID, Born: from.Born, Until: now.Add(length)}, from.Service, log)
	}
}

// restOf returns the length of the rest that a response asks for; 0 means none.
func restOf(info ResponseInfo) (length time.Duration, problem error) {
	switch {
	case info.RestProblem != nil:
		return 0, info.RestProblem
	case info.Rest > lifecycle.MaxRest:
		return 0, errRestTooLong
	}
	return info.Rest, nil
}

// recordRest records a rest; until it ends this box sends the endpoint nothing.
func (g *Gateway) recordRest(rest lifecycle.Rest, service string, log *zap.Logger) {
	now := time.Now()
	if !g.rests.record(rest, now) {
		return
	}
	g.Metrics.RestRequested()
	log.Info("endpoint asks for rest", zap.String("Endpoint", rest.Endpoint), zap.Duration("Rest", rest.Until.Sub(now)))
	if p := g.pool(service); p != nil {
		p.applyRest(rest)
	}
}
