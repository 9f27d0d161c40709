package slot

import (
	"math"
	"time"
)

// failures decides when an endpoint is ejected: after a run of failures that is improbable at the
// failure rate of the whole service. Requests that fail at any endpoint, for example one lookup in
// seven, must not eject endpoints that are as good as the others.
type failures struct {
	// run counts the failures since the last success, and successes the successes since the last
	// failure.
	run, successes int
	// ejectedUntil is the end of a time without new requests, and ejection its length.
	ejectedUntil time.Time
	ejection     time.Duration
}

const (
	// maxRunProbability is the probability of a run of failures up to which it is taken for the
	// endpoint's own. With the failure rate of minFailureRate two failures in a row suffice.
	maxRunProbability = 1e-4
	// minFailureRate and maxFailureRate bound the failure rate of the service.
	minFailureRate, maxFailureRate = 0.01, 0.9
	// failureWeight is the weight of the newest outcome in the failure rate of the service.
	failureWeight = 1.0 / 64
	// minEjection and maxEjection bound an ejection; it doubles while failures go on.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
	// recoveryRun is the number of successes in a row after which the next ejection is short
	// again.
	recoveryRun = 6
)

// recordOutcome updates the failure rate of the service.
func (t *Times) recordOutcome(failed bool) {
	t.failureRate *= 1 - failureWeight
	if failed {
		t.failureRate += failureWeight
	}
}

func (f *failures) recordSuccess() {
	f.run = 0
	if f.successes++; f.successes >= recoveryRun {
		f.ejection = 0
	}
}

// record records a failure at an endpoint of a service with a failure rate; certain is set if it
// alone suffices for an ejection. Failures during an ejection do not lengthen it: a crash breaks
// everything that ran at the endpoint.
func (f *failures) record(certain bool, rate float64, now time.Time) {
	f.run++
	f.successes = 0
	rate = min(max(rate, minFailureRate), maxFailureRate)
	if now.Before(f.ejectedUntil) || (!certain && math.Pow(rate, float64(f.run)) > maxRunProbability) {
		return
	}
	f.ejection = min(max(minEjection, 2*f.ejection), maxEjection)
	f.ejectedUntil = now.Add(f.ejection)
}

// isOnProbation reports whether no success has followed an ejection. The endpoint then gets one
// request at a time.
func (f *failures) isOnProbation() bool { return f.ejection > 0 && f.run > 0 }
