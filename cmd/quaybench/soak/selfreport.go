package soak

import (
	"fmt"
	"strconv"
	"time"

	"github.com/quaylead/quaylead/platform/standin"
)

// onTheWay is the time in which what a box sent before it read a word may arrive: the
// users' half a second.
const inFlightDelay = 500 * time.Millisecond

// depart lets a server leave that says so in its answers alone. It serves on until the end
// of the run, so that work sent to it all the same is seen.
func (w *world) leaveByResponses(s *server) error {
	if err := w.addServer(s.Service); err != nil {
		return err
	}
	s.AnnounceLeaving()
	return nil
}

// boxLife is one life of a box.
type boxIncarnation struct {
	box         *box
	incarnation int
}

// word is what a server said to one life of a box.
type boxServer struct {
	boxIncarnation
	server string
}

// checkWords holds that no box sends to a server against its word: to none that said in an
// answer which the box passed on that it leaves, in touch or not, and to none that turned it
// away until the rest that it asked for is over, but where the answer may have been lost on
// the way.
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
		if at, said := left[key]; said && o.sent.After(at) {
			violations = append(violations, o.describe(fmt.Sprintf("it was sent to %s, %s after an answer had said that it leaves", arrival.Server, o.sent.Sub(at))))
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

// mayBeLost tells whether an answer of a server may not have reached a box. The lock is held.
func (w *world) mayHaveLostResponse(b *box, from, to time.Time) bool {
	return w.linkFaultTimes.overlaps(from, to) || b.faultTimes.overlaps(from, to)
}

// restOf is until when a server asked for rest; zero where it did not.
func restEnd(arrival standin.Arrival) time.Time {
	seconds, err := strconv.ParseFloat(arrival.RetryAfter, 64)
	if err != nil || !arrival.Refused {
		return time.Time{}
	}
	return arrival.At.Add(time.Duration(seconds * float64(time.Second)))
}
