package lifecycle

import "time"

// Bound is how much a cold endpoint of a service takes.
type Bound struct {
	// For is how long an endpoint stays cold after a start.
	Duration time.Duration
	// Most is the number of requests in any second that all boxes together may send to
	// it; 0 means that there is no bound.
	MaxPerSecond float64
}

// Source is how it is known that an endpoint is cold.
type Source int

const (
	// Told is its own word.
	Reported Source = iota
	// Started endpoints were seen for the first time, or are of a new start.
	Started
	// Returned endpoints are back after failures or silence: they may have started again.
	Returned
	// Restored endpoints are of an availability zone whose evacuation was withdrawn.
	Restored
)

const (
	// usedPart of the bound is used, and countedFor is the time in which what was sent
	// counts. A request reaches its endpoint some milliseconds after it was granted, or
	// some hundred where its router lacks processor time, so that the grants of more than
	// a second may arrive in one. Together they leave 0.74 of the bound where it is of
	// 14 requests.
	usedFraction = 0.9
	sentWindow   = 1150 * time.Millisecond
)

// Life is what one box knows of one start of an endpoint, and how much was sent to it
// there. The zero value is an endpoint of which nothing is known. It is not safe for
// concurrent use.
type State struct {
	Facts
	// concludedUntil is how long the endpoint counts as cold though it has not said so,
	// and source tells why.
	assumedColdUntil time.Time
	source           Source
	// sent are the times of what was sent within countedFor, in order.
	sent []time.Time
}

// Learn takes newer facts of the same start.
func (l *State) Update(facts Facts, bound Bound, now time.Time) {
	if l.Evacuated && !facts.Evacuated {
		l.AssumeCold(Restored, now.Add(bound.Duration))
	}
	l.Facts = facts
}

// Suppose has the endpoint count as cold before it says so itself: its word takes up to
// two heartbeats to come, in which an idle endpoint gets most of all.
func (l *State) AssumeCold(source Source, until time.Time) {
	if until.After(l.assumedColdUntil) {
		l.assumedColdUntil, l.source = until, source
	}
}

// Cold tells whether the endpoint counts as cold, and how that is known.
func (l *State) Cold(now time.Time) (cold bool, source Source) {
	if now.Before(l.ColdUntil) {
		return true, Reported
	}
	return now.Before(l.assumedColdUntil), l.source
}

// NoteSent counts a request on its way to the endpoint.
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

// Takes tells whether one more request may be sent now. Part is the part of the bound
// that is the asking box's to use: the parts of all boxes add up to 1 at most.
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
