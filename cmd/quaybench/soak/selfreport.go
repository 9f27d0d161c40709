package soak

import (
	"fmt"
	"strconv"
	"time"

	"github.com/quaylead/quaylead/platform/standin"
)

// inFlightDelay is how long after a refusal a server may still receive requests that the box had
// sent before it read the refusal. The users allow half a second.
const inFlightDelay = 500 * time.Millisecond

// leaveByResponses makes a server leave and announce this only in its responses. It serves on until
// the end of the run, so that wrongly sent work is recorded.
func (w *world) leaveByResponses(s *server) error {
	if err := w.addServer(s.Service); err != nil {
		return err
	}
	s.AnnounceLeaving()
	return nil
}

// boxIncarnation is one process of a box, from one start to the next.
type boxIncarnation struct {
	box         *box
	incarnation int
}

// boxServer is one process of a box together with a server that sent it a response.
type boxServer struct {
	boxIncarnation
	server string
}

// checkSelfReports checks that boxes follow what servers report in their responses. Once a box has
// forwarded a response that announced that the server leaves, it must not send to this server
// again, even while it is cut off. After a refusal it must not send until the rest that the server
// asked for is over, unless the refusal may have been lost.
func (w *world) checkSelfReports(arrivals []standin.Arrival) (violations []string) {
	byID := map[string]*outcome{}
	for i := range w.outcomes {
		byID[w.outcomes[i].id] = &w.outcomes[i]
	}
	left, rests := map[boxServer]time.Time{}, map[boxServer]span{}
	count := map[string]int{}
	for _, arrival := range arrivals {
		count[arrival.ID]++
	}
	for _, arrival := range arrivals {
		o := byID[arrival.ID]
		if o == nil {
			continue
		}
		key := boxServer{boxIncarnation{o.box, o.incarnation}, arrival.Server}
		if at, announced := left[key]; announced && o.sent.After(at) {
			violations = append(violations, o.describe(fmt.Sprintf("it was sent to %s, %s after a response had announced that it leaves", arrival.Server, o.sent.Sub(at))))
		}
		if rest := rests[key]; arrival.At.After(rest.from.Add(inFlightDelay)) && arrival.At.Before(rest.to) && !w.mayHaveLostResponse(o.box, rest.from, arrival.At) {
			violations = append(violations, o.describe(fmt.Sprintf("it was sent to %s, %s into a rest of %s", arrival.Server, arrival.At.Sub(rest.from), rest.to.Sub(rest.from))))
		}
		if arrival.Leaving && o.err == nil && count[o.id] == 1 && left[key].IsZero() && o.status < 500 {
			left[key] = o.ended
		}
		if until := restEnd(arrival); until.After(rests[key].to) {
			rests[key] = span{from: arrival.At, to: until}
		}
	}
	return violations
}

// mayHaveLostResponse reports whether a response of a server may not have reached a box. The
// caller holds the lock.
func (w *world) mayHaveLostResponse(b *box, from, to time.Time) bool {
	return w.linkFaultTimes.overlaps(from, to) || b.faultTimes.overlaps(from, to)
}

// restEnd returns the end of the rest (Retry-After) that a server asked for; zero if it did not
// ask.
func restEnd(arrival standin.Arrival) time.Time {
	seconds, err := strconv.ParseFloat(arrival.RetryAfter, 64)
	if err != nil || !arrival.Refused {
		return time.Time{}
	}
	return arrival.At.Add(time.Duration(seconds * float64(time.Second)))
}
