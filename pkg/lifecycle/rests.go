package lifecycle

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Rest is the time in which an endpoint asked one box to send it nothing, by the Retry-After
// with which it rejected a request. It does not concern other boxes, and ends with the
// instance that asked.
type Rest struct {
	Endpoint string
	// Born identifies the instance that asked; 0 if unknown.
	Born  int64
	Until time.Time
}

// MaxRest is the longest rest that is accepted. An endpoint that asks for more would in effect
// leave, which it reports in other ways.
const MaxRest = time.Hour

// Rests are the rests that endpoints asked of one box. The zero value is empty. It is not safe
// for concurrent use.
type Rests struct {
	byID map[string]Rest
	// sweepThreshold is the number of rests from which on expired ones are dropped.
	sweepThreshold int
}

// minSweepThreshold is the least sweepThreshold.
const minSweepThreshold = 64

// Add records a rest. It does not shorten a longer one of the same instance, and one of an
// earlier instance is ignored. It reports whether the endpoint now rests longer.
func (r *Rests) Add(rest Rest, now time.Time) (longer bool) {
	known, exists := r.byID[rest.Endpoint]
	reported, before := Facts{Born: rest.Born}, Facts{Born: known.Born}
	switch {
	case exists && reported.IsOutdatedBy(&before):
		return false
	case exists && !reported.Supersedes(&before):
		longer = rest.Until.After(known.Until)
		// If only one of the two is of a known instance, the rest belongs to that one.
		rest.Born = max(rest.Born, known.Born)
		if !longer {
			rest.Until = known.Until
		}
	default:
		longer = true
	}
	if r.byID == nil {
		r.byID = map[string]Rest{}
	}
	r.byID[rest.Endpoint] = rest
	r.sweep(now)
	return longer
}

// sweep drops expired rests once there may be many.
func (r *Rests) sweep(now time.Time) {
	if len(r.byID) < max(r.sweepThreshold, minSweepThreshold) {
		return
	}
	maps.DeleteFunc(r.byID, func(_ string, rest Rest) bool { return !now.Before(rest.Until) })
	r.sweepThreshold = 2 * len(r.byID)
}

// Until returns when the rest of an endpoint's instance ends; zero or a past time if there is
// none.
func (r *Rests) Until(endpoint string, born int64) time.Time {
	known, exists := r.byID[endpoint]
	now, asked := Facts{Born: born}, Facts{Born: known.Born}
	if !exists || now.Supersedes(&asked) {
		return time.Time{}
	}
	return known.Until
}

// All returns the rests that have not expired, ordered by endpoint.
func (r *Rests) All(now time.Time) (rests []Rest) {
	for _, rest := range r.byID {
		if now.Before(rest.Until) {
			rests = append(rests, rest)
		}
	}
	slices.SortFunc(rests, func(a, b Rest) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return rests
}
