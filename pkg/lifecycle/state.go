package lifecycle

import "time"

// Bound limits what may be sent to a cold endpoint of a service.
type Bound struct {
	// Duration is how long an endpoint stays cold after its start.
	Duration time.Duration
	// MaxPerSecond is the number of requests in any second that all boxes together may send
	// to it; 0 means that there is no bound.
	MaxPerSecond float64
}

// ColdReason is the reason for which an endpoint counts as cold.
type ColdReason int

const (
	// Reported: the endpoint reports it.
	Reported ColdReason = iota
	// Started: the endpoint was seen for the first time, or restarted.
	Started
	// Returned: the endpoint is back after failures or silence, and may have restarted.
	Returned
	// Restored: the evacuation of the endpoint's availability zone was withdrawn.
	Restored
)

const (
	// usedFraction is the fraction of the bound that is used, and sentWindow the time for
	// which a sent request counts. A request reaches its endpoint some milliseconds after it
	// was granted, or some hundred if its router lacks processor time, so that the grants of
	// more than a second may arrive within one. Together they leave 0.74 of a bound of 14
	// requests.
	usedFraction = 0.9
	sentWindow   = 1150 * time.Millisecond
)

// State holds what is known at one box of one instance of an endpoint, and the requests that
// were recently sent to it from there. The zero value is an endpoint of which nothing is known.
// It is not safe for concurrent use.
type State struct {
	Facts
	// assumedColdUntil is until when the endpoint counts as cold without having reported it,
	// and coldReason the reason.
	assumedColdUntil time.Time
	coldReason       ColdReason
	// sent are the times of the requests sent within sentWindow, in order.
	sent []time.Time
}

// Update applies newer facts of the same instance.
func (s *State) Update(facts Facts, bound Bound, now time.Time) {
	if s.Evacuated && !facts.Evacuated {
		s.AssumeCold(Restored, now.Add(bound.Duration))
	}
	s.Facts = facts
}

// AssumeCold makes the endpoint count as cold before it reports it: its report takes up to two
// heartbeats, in which an idle endpoint gets the most requests.
func (s *State) AssumeCold(source ColdReason, until time.Time) {
	if until.After(s.assumedColdUntil) {
		s.assumedColdUntil, s.coldReason = until, source
	}
}

// Cold reports whether the endpoint counts as cold, and why.
func (s *State) Cold(now time.Time) (cold bool, source ColdReason) {
	if now.Before(s.ColdUntil) {
		return true, Reported
	}
	return now.Before(s.assumedColdUntil), s.coldReason
}

// RecordSent counts a request sent to the endpoint.
func (s *State) RecordSent(now time.Time) {
	s.dropExpired(now)
	s.sent = append(s.sent, now)
}

func (s *State) dropExpired(now time.Time) {
	first := 0
	for first < len(s.sent) && now.Sub(s.sent[first]) >= sentWindow {
		first++
	}
	if first > 0 {
		s.sent = append(s.sent[:0], s.sent[first:]...)
	}
}

// CanSend reports whether one more request may be sent now. The fraction is what this box may
// use of the bound: the fractions of all boxes add up to 1 at most.
func (s *State) CanSend(bound Bound, fraction float64, now time.Time) bool {
	if !s.Admits() {
		return false
	}
	if cold, _ := s.Cold(now); !cold || bound.MaxPerSecond <= 0 {
		return true
	}
	s.dropExpired(now)
	return float64(len(s.sent)+1) <= bound.MaxPerSecond*usedFraction*fraction
}
