package gateway

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// errRestTooLong reports a rest that is longer than lifecycle.MaxRest.
var errRestTooLong = errors.New("the rest is longer than the maximum")

// rests are the times until which endpoints want no requests from this box, as they requested
// in their answers (Retry-After).
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

// handleSelfReport applies what an endpoint reports about itself in the head of an answer. It
// is called before the answer is processed further, so that it applies to the next request.
func (c *call) handleSelfReport(to destination, info ResponseInfo) {
	if !info.hasSelfReport() {
		return
	}
	c.gateway.handleSelfReport(&to.Endpoint, info, c.log().With(
		zap.String("Request", c.ID),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.String("GrantedBy", to.granted.decidedBy)))
}

// hasSelfReport reports whether an endpoint reports something about itself in an answer; few
// answers do.
func (a *ResponseInfo) hasSelfReport() bool {
	return a.Leaving || a.Rest > 0 || a.RestProblem != nil
}

// handleSelfReport is called for every answer of an endpoint, whether to a caller's request or
// to one of this box's own.
func (g *Gateway) handleSelfReport(from *route.Endpoint, info ResponseInfo, log *zap.Logger) {
	now := time.Now()
	if info.Leaving {
		// The row of an unlisted endpoint may reappear unchanged.
		if known, listed := g.registry.Directory().Find(from.ID); !listed || !known.Leaving {
			g.registry.RecordDeparture(from, now)
		}
	}
	length, problem := restOf(info)
	if problem != nil {
		// The default rest of a full endpoint applies instead.
		log.Warn("rest that an endpoint asks for not taken",
			zap.String("Endpoint", from.ID),
			zap.Duration("Rest", info.Rest),
			zap.Error(problem))
	}
	if length > 0 {
		g.recordRest(lifecycle.Rest{Endpoint: from.ID, Born: from.Born, Until: now.Add(length)}, from.Service, log)
	}
}

// restOf returns the rest that an answer requests; 0 means none.
func restOf(info ResponseInfo) (length time.Duration, problem error) {
	switch {
	case info.RestProblem != nil:
		return 0, info.RestProblem
	case info.Rest > lifecycle.MaxRest:
		return 0, errRestTooLong
	}
	return info.Rest, nil
}

// recordRest stops sending requests to an endpoint until its rest ends.
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
