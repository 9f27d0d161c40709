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

// health rates the endpoints of plain services by the outcomes of this box's requests.
type health struct {
	log *zap.Logger
	// coldFraction returns the fraction of a cold endpoint's bound that this box may use.
	coldFraction func(endpoint string, now time.Time) float64
	// rests holds until when endpoints asked this box to send them nothing.
	rests *rests

	mu     sync.Mutex
	states map[string]*endpointHealth
}

// endpointHealth is the health of one endpoint.
type endpointHealth struct {
	// instance determines whether and how much may be sent; bound limits it while it is cold.
	instance lifecycle.State
	bound    lifecycle.Bound
	// inFlight counts this box's requests there.
	inFlight int
	// failureRate is a moving average of the outcomes: 0 if all succeeded, 1 if all failed.
	failureRate float64
	// meanLatency is a moving average of the responses' latencies.
	meanLatency time.Duration
	// ejectedUntil is the end of a time without new requests, and ejection its length.
	ejectedUntil time.Time
	ejection     time.Duration
}

const (
	// outcomeWeight is the weight of the newest outcome.
	outcomeWeight = 0.25
	// maxFailureRate is the failure rate from which on an endpoint is ejected: two of the
	// last few requests failed.
	maxFailureRate = 0.4
	// minEjection and maxEjection bound an ejection; it doubles while failures go on.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
	// failureCost is the time that a request loses on average at an endpoint that fails every
	// request; it weighs failures against latency.
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

// isEmpty reports whether no endpoint is known.
func (h *health) isEmpty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.states) == 0
}

// update applies the latest entry of an endpoint. A restarted endpoint gets a new state. initial
// is set for the first entries that this box receives: their endpoints are considered warm,
// because they have already served other boxes.
func (h *health) update(endpoint *route.Endpoint, bound lifecycle.Bound, initial bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.states[endpoint.ID]
	if state == nil || endpoint.Supersedes(&state.instance.Facts) {
		delete(h.states, endpoint.ID)
		state = h.stateOf(endpoint.ID)
		if !initial {
			state.instance.AssumeCold(lifecycle.Started, now.Add(bound.Duration))
		}
	}
	state.bound = bound
	state.instance.Update(endpoint.Facts, bound, now)
}

// remove drops an endpoint that is gone.
func (h *health) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.states, id)
}

// choose picks the endpoint that is likely to respond first, of those that can take a request
// now, and counts the request there. If all of them are ejected, it picks the one whose ejection
// ends first. Endpoints that asked for rest are never picked. The state is nil if there is no
// endpoint.
func (h *health) choose(endpoints []route.Endpoint, excluded []string, zone string) (chosen route.Endpoint, state *endpointHealth) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	best := 0.0
	for _, candidate := range endpoints {
		current := h.stateOf(candidate.ID)
		if slices.Contains(excluded, candidate.ID) || !candidate.Admits() || h.rests.isResting(&candidate, now) || !current.instance.CanSend(current.bound, h.coldFraction(candidate.ID, now), now) {
			continue
		}
		cost := current.cost(now)
		if candidate.Zone != zone {
			cost += crossZoneCost
		}
		cost *= 0.9 + 0.2*rand.Float64()
		if state == nil || cost < best {
			chosen, best, state = candidate, cost, current
		}
	}
	if state != nil {
		state.inFlight++
		state.instance.RecordSent(now)
	}
	return chosen, state
}

// crossZoneCost is added, in milliseconds, for an endpoint in another availability zone: the
// round trip, and the price of the bytes.
const crossZoneCost = 2

// cost returns the expected time of a request in milliseconds. Ejected endpoints cost more than
// any other.
func (s *endpointHealth) cost(now time.Time) float64 {
	const typical = 20 * time.Millisecond
	took := max(s.meanLatency, typical).Seconds() * 1000
	cost := took * float64(1+s.inFlight)
	cost += s.failureRate * failureCost.Seconds() * 1000
	if remaining := s.ejectedUntil.Sub(now); remaining > 0 {
		cost += 1e6 + remaining.Seconds()
	}
	return cost
}

// finish records the outcome of a request. Unknown and unused outcomes say nothing about the
// endpoint; for instance, the caller may have left.
func (h *health) finish(id string, s *endpointHealth, result outcome, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.inFlight--
	switch result {
	case outcomeUnknown, outcomeUnused:
		return
	case outcomeGood:
		s.failureRate *= 1 - outcomeWeight
		s.meanLatency += time.Duration(outcomeWeight * float64(took-s.meanLatency))
		if s.failureRate < maxFailureRate/4 {
			s.ejection = 0
		}
		return
	case outcomeDeclined:
		s.ejectedUntil = time.Now().Add(minEjection / 8)
		return
	}
	s.failureRate += outcomeWeight * (1 - s.failureRate)
	if result == outcomeUnreachable {
		s.failureRate = max(s.failureRate, maxFailureRate)
	}
	if s.failureRate >= maxFailureRate {
		s.ejection = min(max(minEjection, 2*s.ejection), maxEjection)
		s.ejectedUntil = time.Now().Add(s.ejection)
		// It may have restarted by the end of the ejection without a new entry yet.
		s.instance.AssumeCold(lifecycle.Returned, s.ejectedUntil.Add(s.bound.Duration))
		h.log.Info("endpoint rests",
			zap.String("Endpoint", id),
			zap.Float64("Failing", s.failureRate),
			zap.Duration("Rest", s.ejection))
	}
}

// isFailure reports whether the endpoint failed the request.
func (o outcome) isFailure() bool {
	return o == outcomeFailed || o == outcomeEnded || o == outcomeUnreachable
}

// outcome is the result of a request, as a measure of its endpoint.
type outcome int

const (
	outcomeUnknown outcome = iota
	// outcomeUnused: nothing was sent, through no fault of the endpoint.
	outcomeUnused
	outcomeGood
	// outcomeDeclined: the endpoint refused the request and did not run it.
	outcomeDeclined
	// outcomeFailed: the endpoint responded with an error, or its response was truncated or
	// unusable.
	outcomeFailed
	// outcomeEnded: the endpoint ended while it ran the request.
	outcomeEnded
	// outcomeUnreachable: the endpoint could not be connected to.
	outcomeUnreachable
)
