package lifecycle

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Rest is the word of an endpoint that turned a box away: it wants nothing from that box
// until a time. It says nothing to other boxes, and ends with the start that it is of.
type Rest struct {
	Endpoint string
	// Born is the start that asked; 0 means that it does not tell.
	Born  int64
	Until time.Time
}

// MostRest is the longest rest that is taken for meant. An endpoint that asks for more
// would in effect end, which it says in other ways.
const MaxRest = time.Hour

// Rests are what endpoints asked of one box. The zero value is none. It is not safe for
// concurrent use.
type Rests struct {
	byID map[string]Rest
	// sweepAt is the number of rests at which those that are over are dropped.
	sweepThreshold int
}

// sweepLeast is the least number of rests that are looked through for those that are over.
const minSweepThreshold = 64

// Ask notes a rest. A shorter one does not cut a longer one of the same start, and one of
// an earlier start changes nothing. It reports whether the endpoint rests longer now.
func (r *Rests) Add(rest Rest, now time.Time) (longer bool) {
	known, exists := r.byID[rest.Endpoint]
	reported, before := Facts{Born: rest.Born}, Facts{Born: known.Born}
	switch {
	case exists && reported.Outdated(&before):
		return false
	case exists && !reported.Supersedes(&before):
		longer = rest.Until.After(known.Until)
		// Either may not tell its start: the word is then of the one that does.
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

// sweep drops what is over, once there may be much of it.
func (r *Rests) sweep(now time.Time) {
	if len(r.byID) < max(r.sweepThreshold, minSweepThreshold) {
		return
	}
	maps.DeleteFunc(r.byID, func(_ string, rest Rest) bool { return !now.Before(rest.Until) })
	r.sweepThreshold = 2 * len(r.byID)
}

// Until is when the rest of an endpoint's start is over; it is zero or past where there is
// none.
func (r *Rests) Until(endpoint string, born int64) time.Time {
	known, exists := r.byID[endpoint]
	now, asked := Facts{Born: born}, Facts{Born: known.Born}
	if !exists || now.Supersedes(&asked) {
		return time.Time{}
	}
	return known.Until
}

// All are the rests that are not over, by endpoint.
func (r *Rests) All(now time.Time) (rests []Rest) {
	for _, rest := range r.byID {
		if now.Before(rest.Until) {
			rests = append(rests, rest)
		}
	}
	slices.SortFunc(rests, func(a, b Rest) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return rests
}
