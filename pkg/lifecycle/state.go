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

// Source is the reason for which an endpoint counts as cold.
type Source int

const (
	// Reported: the endpoint reports it.
	Reported Source = iota
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

// State is what one box knows of one instance of an endpoint, and how much was sent to it
// there. The zero value is an endpoint of which nothing is known. It is not safe for
// concurrent use.
type State struct {
	Facts
	// assumedColdUntil is until when the endpoint counts as cold without having reported it,
	// and source the reason.
	assumedColdUntil time.Time
	source           Source
	// sent are the times of the requests sent within sentWindow, in order.
	sent []time.Time
}

// Update applies newer facts of the same instance.
func (l *State) Update(facts Facts, bound Bound, now time.Time) {
	if l.Evacuated && !facts.Evacuated {
		l.AssumeCold(Restored, now.Add(bound.Duration))
	}
	l.Facts = facts
}

// AssumeCold makes the endpoint count as cold before it reports it: its report takes up to two
// heartbeats, in which an idle endpoint gets the most requests.
func (l *State) AssumeCold(source Source, until time.Time) {
	if until.After(l.assumedColdUntil) {
		l.assumedColdUntil, l.source = until, source
	}
}

// Cold reports whether the endpoint counts as cold, and why.
func (l *State) Cold(now time.Time) (cold bool, source Source) {
	if now.Before(l.ColdUntil) {
		return true, Reported
	}
	return now.Before(l.assumedColdUntil), l.source
}

// RecordSent counts a request sent to the endpoint.
func (l *State) RecordSent(now time.Time) {
	l.dropExpired(now)
	l.sent = append(l.sent, now)
}

func (l *State) dropExpired(now time.Time) {
	first := 0
	for first < len(l.sent) && now.Sub(l.sent[first]) >= sentWindow {
		first++
	}
	if first > 0 {
		l.sent = append(l.sent[:0], l.sent[first:]...)
	}
}

// CanSend reports whether one more request may be sent now. The fraction is what this box may
// use of the bound: the fractions of all boxes add up to 1 at most.
func (l *State) CanSend(bound Bound, fraction float64, now time.Time) bool {
	if !l.Admits() {
		return false
	}
	if cold, _ := l.Cold(now); !cold || bound.MaxPerSecond <= 0 {
		return true
	}
	l.dropExpired(now)
	return float64(len(l.sent)+1) <= bound.MaxPerSecond*usedFraction*fraction
}
