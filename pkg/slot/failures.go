package slot

import "time"

// failures decides when an endpoint is ejected. The rules are those by which a router ejects
// plain endpoints without a dispatcher.
type failures struct {
	// rate is a moving average of the outcomes: 0 if all succeeded, 1 if all failed.
	rate float64
	// ejectedUntil is the end of a time without new requests, and ejection its length.
	ejectedUntil time.Time
	ejection     time.Duration
}

const (
	// failureWeight is the weight of the newest outcome.
	failureWeight = 0.25
	// maxFailureRate is the rate from which on an endpoint is ejected: two of the last few
	// requests failed.
	maxFailureRate = 0.4
	// minEjection and maxEjection bound an ejection; it doubles while failures go on.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
)

func (f *failures) recordSuccess() {
	f.rate *= 1 - failureWeight
	if f.rate < maxFailureRate/4 {
		f.ejection = 0
	}
}

// record records a failure; certain is set if it alone suffices for an ejection. Failures during
// an ejection do not lengthen it: a crash breaks everything that ran at the endpoint.
func (f *failures) record(certain bool, now time.Time) {
	f.rate += failureWeight * (1 - f.rate)
	if certain {
		f.rate = max(f.rate, maxFailureRate)
	}
	if f.rate < maxFailureRate || now.Before(f.ejectedUntil) {
		return
	}
	f.ejection = min(max(minEjection, 2*f.ejection), maxEjection)
	f.ejectedUntil = now.Add(f.ejection)
}

// isOnProbation reports whether no success has followed an ejection. The endpoint then gets one
// request at a time.
func (f *failures) isOnProbation() bool { return f.ejection > 0 && f.rate >= maxFailureRate }
