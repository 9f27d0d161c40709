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
	coldFraction func(endpoint string, now time.Time) float64
	// rests are until when endpoints want nothing from this box.
	rests *rests

	mu     sync.Mutex
	states map[string]*endpointHealth
}

// endpointHealth is one endpoint's.
type endpointHealth struct {
	// life says whether and how much may be sent; bound is what it takes while cold.
	instance lifecycle.State
	bound    lifecycle.Bound
	// running counts this box's requests there.
	inFlight int
	// failing is a mean of the outcomes: 0 all well, 1 all failed.
	failureRate float64
	// took is a mean of the answers' times.
	meanLatency time.Duration
	// restUntil ends a time without new work.
	ejectedUntil time.Time
	ejection     time.Duration
}

const (
	// healthGain is the weight of the newest outcome.
	outcomeWeight = 0.25
	// failingMost is the mean of failures above which an endpoint rests: two of
	// the last few requests.
	maxFailureRate = 0.4
	// restLeast and restMost bound a rest; it doubles while failures go on.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
	// failingCost is the time that a request loses on average at an endpoint
	// that fails all; it weighs failures against slowness.
	failureCost = 500 * time.Millisecond
)

func (h *health) stateOf(id string) *endpointHealth {
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
func (h *health) update(endpoint *route.Endpoint, bound lifecycle.Bound, first bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.states[endpoint.ID]
	if state == nil || endpoint.Supersedes(&state.instance.Facts) {
		delete(h.states, endpoint.ID)
		state = h.stateOf(endpoint.ID)
		if !first {
			state.instance.AssumeCold(lifecycle.Started, now.Add(bound.Duration))
		}
	}
	state.bound = bound
	state.instance.Update(endpoint.Facts, bound, now)
}

// forget drops an endpoint that is gone.
func (h *health) remove(id string) {
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
		one := h.stateOf(candidate.ID)
		if slices.Contains(excluded, candidate.ID) || !candidate.Admits() || h.rests.isResting(&candidate, now) || !one.instance.CanSend(one.bound, h.coldFraction(candidate.ID, now), now) {
			continue
		}
		cost := one.cost(now)
		if candidate.Zone != zone {
			cost += crossZoneCost
		}
		cost *= 0.9 + 0.2*rand.Float64()
		if state == nil || cost < best {
			chosen, best, state = candidate, cost, one
		}
	}
	if state != nil {
		state.inFlight++
		state.instance.RecordSent(now)
	}
	return chosen, state
}

// zoneCost is added, in milliseconds, for another availability zone: the way
// there and back, and the price of its bytes.
const crossZoneCost = 2

// cost is the expected time of a request in milliseconds.
func (s *endpointHealth) cost(now time.Time) float64 {
	const typical = 20 * time.Millisecond
	took := max(s.meanLatency, typical).Seconds() * 1000
	cost := took * float64(1+s.inFlight)
	cost += s.failureRate * failureCost.Seconds() * 1000
	if rest := s.ejectedUntil.Sub(now); rest > 0 {
		cost += 1e6 + rest.Seconds()
	}
	return cost
}

// finish notes an outcome. Unloaded marks requests that tell nothing of the
// endpoint, such as those whose caller left.
func (h *health) finish(id string, s *endpointHealth, how outcome, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.inFlight--
	switch how {
	case outcomeUnknown, outcomeUnused:
		return
	case outcomeGood:
		s.failureRate *= 1 - outcomeWeight
		s.meanLatency += time.Duration(outcomeWeight * float64(took-s.meanLatency))
		if s.failureRate < maxFailureRate/4 {
			s.ejection = 0
		}
		return
	case outcomeFull:
		s.ejectedUntil = time.Now().Add(minEjection / 8)
		return
	}
	s.failureRate += outcomeWeight * (1 - s.failureRate)
	if how == outcomeUnreachable {
		s.failureRate = max(s.failureRate, maxFailureRate)
	}
	if s.failureRate >= maxFailureRate {
		s.ejection = min(max(minEjection, 2*s.ejection), maxEjection)
		s.ejectedUntil = time.Now().Add(s.ejection)
		// It may be back after a new start, before its entry says so.
		s.instance.AssumeCold(lifecycle.Returned, s.ejectedUntil.Add(s.bound.Duration))
		h.log.Info("endpoint rests",
			zap.String("Endpoint", id),
			zap.Float64("Failing", s.failureRate),
			zap.Duration("Rest", s.ejection))
	}
}

// blames tells whether the endpoint failed the request.
func (o outcome) isFailure() bool {
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
