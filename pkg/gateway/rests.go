package gateway

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// errAbsurdRest reports a rest that is too long to be meant.
var errRestTooLong = errors.New("the time is longer than any that is taken for meant")

// rests are until when endpoints want nothing from this box, by their own words.
type rests struct {
	mu        sync.Mutex
	requested lifecycle.Rests
}

func (r *rests) record(rest lifecycle.Rest, now time.Time) (longer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested.Add(rest, now)
}

// binds tells whether an endpoint rests from this box.
func (r *rests) isResting(endpoint *route.Endpoint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.requested.Until(endpoint.ID, endpoint.Born))
}

// firstOver is when the first rest of endpoints that take requests otherwise is over; zero
// where none of them rests.
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

// all are the rests that are not over.
func (r *rests) active(now time.Time) []lifecycle.Rest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested.All(now)
}

// heed takes what an endpoint says of itself in the head of an answer, before anything else
// is done with the answer: by the next request the word is in force.
func (c *call) handleSelfReport(to destination, answered ResponseInfo) {
	if !answered.hasSelfReport() {
		return
	}
	c.gateway.handleSelfReport(&to.Endpoint, answered, c.log().With(
		zap.String("Request", c.ID),
		zap.Int("Attempts", c.life.Attempts()),
		zap.String("GrantedBy", to.granted.decidedBy)))
}

// saysOfItself tells whether an answer holds words of its endpoint about itself, as few do.
func (a *ResponseInfo) hasSelfReport() bool {
	return a.Leaving || a.Rest > 0 || a.RestProblem != nil
}

// heed is for every answer of an endpoint, whoever asked it.
func (g *Gateway) handleSelfReport(from *route.Endpoint, answered ResponseInfo, log *zap.Logger) {
	now := time.Now()
	if answered.Leaving {
		// The row of one that is not listed may be back, as it was.
		if known, listed := g.registry.Directory().Find(from.ID); !listed || !known.Leaving {
			g.registry.RecordDeparture(from, now)
		}
	}
	length, problem := restOf(answered)
	if problem != nil {
		// The usual rest of one that is full stands in.
		log.Warn("rest that an endpoint asks for not taken",
			zap.String("Endpoint", from.ID),
			zap.Duration("Rest", answered.Rest),
			zap.Error(problem))
	}
	if length > 0 {
		g.recordRest(lifecycle.Rest{Endpoint: from.ID, Born: from.Born, Until: now.Add(length)}, from.Service, log)
	}
}

// restOf is the rest that an answer asks for; 0 means none.
func restOf(answered ResponseInfo) (length time.Duration, problem error) {
	switch {
	case answered.RestProblem != nil:
		return 0, answered.RestProblem
	case answered.Rest > lifecycle.MaxRest:
		return 0, errRestTooLong
	}
	return answered.Rest, nil
}

// letRest has nothing sent to an endpoint until its rest is over.
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
