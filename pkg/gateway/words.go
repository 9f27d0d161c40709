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
var errAbsurdRest = errors.New("the time is longer than any that is taken for meant")

// rests are until when endpoints want nothing from this box, by their own words.
type rests struct {
	mu   sync.Mutex
	asks lifecycle.Rests
}

func (r *rests) ask(rest lifecycle.Rest, now time.Time) (longer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asks.Ask(rest, now)
}

// binds tells whether an endpoint rests from this box.
func (r *rests) binds(endpoint *route.Endpoint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.asks.Until(endpoint.ID, endpoint.Born))
}

// firstOver is when the first rest of endpoints that take requests otherwise is over; zero
// where none of them rests.
func (r *rests) firstOver(endpoints []route.Endpoint, now time.Time) (first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range endpoints {
		until := r.asks.Until(endpoints[i].ID, endpoints[i].Born)
		if endpoints[i].Admits() && now.Before(until) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// all are the rests that are not over.
func (r *rests) all(now time.Time) []lifecycle.Rest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asks.All(now)
}

// heed takes what an endpoint says of itself in the head of an answer, before anything else
// is done with the answer: by the next request the word is in force.
func (c *call) heed(to destination, answered Answered) {
	c.gateway.heed(&to.Endpoint, answered, c.log().With(
		zap.String("Request", c.ID),
		zap.Int("Attempts", c.life.Attempts()),
		zap.String("GrantedBy", to.granted.by)))
}

// heed is for every answer of an endpoint, whoever asked it.
func (g *Gateway) heed(from *route.Endpoint, answered Answered, log *zap.Logger) {
	now := time.Now()
	if answered.Leaving {
		if known, listed := g.registry.Directory().Endpoints[from.ID]; listed && !known.Leaving {
			g.registry.HeardDeparture(from, now)
		}
	}
	length, problem := answered.Rest, answered.RestProblem
	if problem == nil && length > lifecycle.MostRest {
		problem = errAbsurdRest
	}
	if problem != nil {
		// The usual rest of one that is full stands in.
		log.Warn("rest that an endpoint asks for not taken",
			zap.String("Endpoint", from.ID),
			zap.Duration("Rest", length),
			zap.Error(problem))
		return
	}
	if length <= 0 {
		return
	}
	rest := lifecycle.Rest{Endpoint: from.ID, Born: from.Born, Until: now.Add(length)}
	if !g.rests.ask(rest, now) {
		return
	}
	g.Metrics.Rested()
	log.Info("endpoint asks for rest", zap.String("Endpoint", from.ID), zap.Duration("Rest", length))
	if p := g.pool(from.Service); p != nil {
		p.rest(rest)
	}
}
