package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// health judges the endpoints of plain services by what callers see of them.
type health struct {
	log *zap.Logger
	// coldPart is the part of a cold endpoint's bound that is this box's to use.
	coldPart func(endpoint string, now time.Time) float64
	// rests are until when endpoints want nothing from this box.
	rests *rests

	mu     sync.Mutex
	states map[string]*endpointHealth
}

// endpointHealth is one endpoint's.
type endpointHealth struct {
	// life says whether and how much may be sent; bound is what it takes while cold.
	life  lifecycle.Life
	bound lifecycle.Bound
	// running counts this box's requests there.
	running int
	// failing is a mean of the outcomes: 0 all well, 1 all failed.
	failing float64
	// took is a mean of the answers' times.
	took time.Duration
	// restUntil ends a time without new work.
	restUntil time.Time
	rest      time.Duration
}

const (
	// healthGain is the weight of the newest outcome.
	healthGain = 0.25
	// failingMost is the mean of failures above which an endpoint rests: two of
	// the last few requests.
	failingMost = 0.4
	// restLeast and restMost bound a rest; it doubles while failures go on.
	restLeast = 400 * time.Millisecond
	restMost  = 5 * time.Second
	// failingCost is the time that a request loses on average at an endpoint
	// that fails all; it weighs failures against slowness.
	failingCost = 500 * time.Millisecond
)

func (h *health) of(id string) *endpointHealth {
	if h.states == nil {
		h.states = map[string]*endpointHealth{}
	}
	state := h.states[id]
	if state == nil {
		state = &endpointHealth{}
		h.states[id] = state
	}
	return state
}

// isEmpty tells whether no endpoint is known.
func (h *health) isEmpty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.states) == 0
}

// learn takes a newer account of an endpoint. One that started again is judged anew. First
// marks that there were none before: they have served others.
func (h *health) learn(endpoint *route.Endpoint, bound lifecycle.Bound, first bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.states[endpoint.ID]
	if state == nil || endpoint.Supersedes(&state.life.Facts) {
		delete(h.states, endpoint.ID)
		state = h.of(endpoint.ID)
		if !first {
			state.life.Suppose(lifecycle.Started, now.Add(bound.For))
		}
	}
	state.bound = bound
	state.life.Learn(endpoint.Facts, bound, now)
}

// forget drops an endpoint that is gone.
func (h *health) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.states, id)
}

// choose picks the endpoint where a request is likely to be answered soonest, of those
// that take one now. Where all rest after failures, as this box supposes, the one whose rest
// ends first is used; those that asked for theirs get nothing. It books a request; a state of
// nil means that there is none.
func (h *health) choose(endpoints []route.Endpoint, excluded []string, zone string) (chosen route.Endpoint, state *endpointHealth) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	best := 0.0
	for _, candidate := range endpoints {
		one := h.of(candidate.ID)
		if slices.Contains(excluded, candidate.ID) || !candidate.Admits() || h.rests.isResting(&candidate, now) || !one.life.Takes(one.bound, h.coldPart(candidate.ID, now), now) {
			continue
		}
		cost := one.cost(now)
		if candidate.Zone != zone {
			cost += zoneCost
		}
		cost *= 0.9 + 0.2*rand.Float64()
		if state == nil || cost < best {
			chosen, best, state = candidate, cost, one
		}
	}
	if state != nil {
		state.running++
		state.life.NoteSent(now)
	}
	return chosen, state
}

// zoneCost is added, in milliseconds, for another availability zone: the way
// there and back, and the price of its bytes.
const zoneCost = 2

// cost is the expected time of a request in milliseconds.
func (s *endpointHealth) cost(now time.Time) float64 {
	const typical = 20 * time.Millisecond
	took := max(s.took, typical).Seconds() * 1000
	cost := took * float64(1+s.running)
	cost += s.failing * failingCost.Seconds() * 1000
	if rest := s.restUntil.Sub(now); rest > 0 {
		cost += 1e6 + rest.Seconds()
	}
	return cost
}

// finish notes an outcome. Unloaded marks requests that tell nothing of the
// endpoint, such as those whose caller left.
func (h *health) finish(id string, s *endpointHealth, how outcome, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.running--
	switch how {
	case outcomeUnknown, outcomeUnused:
		return
	case outcomeGood:
		s.failing *= 1 - healthGain
		s.took += time.Duration(healthGain * float64(took-s.took))
		if s.failing < failingMost/4 {
			s.rest = 0
		}
		return
	case outcomeFull:
		s.restUntil = time.Now().Add(restLeast / 8)
		return
	}
	s.failing += healthGain * (1 - s.failing)
	if how == outcomeUnreachable {
		s.failing = max(s.failing, failingMost)
	}
	if s.failing >= failingMost {
		s.rest = min(max(restLeast, 2*s.rest), restMost)
		s.restUntil = time.Now().Add(s.rest)
		// It may be back after a new start, before its entry says so.
		s.life.Suppose(lifecycle.Returned, s.restUntil.Add(s.bound.For))
		h.log.Info("endpoint rests",
			zap.String("Endpoint", id),
			zap.Float64("Failing", s.failing),
			zap.Duration("Rest", s.rest))
	}
}

// blames tells whether the endpoint failed the request.
func (o outcome) blames() bool {
	return o == outcomeFailed || o == outcomeEnded || o == outcomeUnreachable
}

// outcome is what a request tells of its endpoint.
type outcome int

const (
	outcomeUnknown outcome = iota
	// outcomeUnused: nothing was sent, for no fault of the endpoint.
	outcomeUnused
	outcomeGood
	// outcomeFull: the endpoint refused, and ran nothing.
	outcomeFull
	// outcomeFailed: an error of its own, a cut or an unusable answer.
	outcomeFailed
	// outcomeEnded: the endpoint ended while it ran the request.
	outcomeEnded
	// outcomeUnreachable: no connection.
	outcomeUnreachable
)
