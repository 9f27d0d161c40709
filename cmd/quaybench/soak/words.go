package soak

import (
	"fmt"
	"strconv"
	"time"

	"github.com/quaylead/quaylead/platform/standin"
)

// onTheWay is the time in which what a box sent before it read a word may arrive: the
// users' half a second.
const onTheWay = 500 * time.Millisecond

// depart lets a server leave that says so in its answers alone. It serves on until the end
// of the run, so that work sent to it all the same is seen.
func (w *world) depart(s *server) error {
	if err := w.addServer(s.Service); err != nil {
		return err
	}
	s.SayLeaving()
	return nil
}

// boxLife is one life of a box.
type boxLife struct {
	box  *box
	life int
}

// word is what a server said to one life of a box.
type word struct {
	boxLife
	server string
}

// checkWords holds that no box sends to a server against its word: to none that said in an
// answer which the box passed on that it leaves, in touch or not, and to none that turned it
// away until the rest that it asked for is over, but where the answer may have been lost on
// the way.
func (w *world) checkWords(arrivals []standin.Arrival) (broken []string) {
	byID := map[string]*outcome{}
	for i := range w.outcomes {
		byID[w.outcomes[i].id] = &w.outcomes[i]
	}
	left, rests := map[word]time.Time{}, map[word]span{}
	count := map[string]int{}
	for _, arrival := range arrivals {
		count[arrival.ID]++
	}
	for _, arrival := range arrivals {
		o := byID[arrival.ID]
		if o == nil {
			continue
		}
		key := word{boxLife{o.box, o.life}, arrival.Server}
		if at, said := left[key]; said && o.sent.After(at) {
			broken = append(broken, o.describe(fmt.Sprintf("it was sent to %s, %s after an answer had said that it leaves", arrival.Server, o.sent.Sub(at))))
		}
		if rest := rests[key]; arrival.At.After(rest.from.Add(onTheWay)) && arrival.At.Before(rest.to) && !w.mayBeLost(o.box, rest.from, arrival.At) {
			broken = append(broken, o.describe(fmt.Sprintf("it was sent to %s, %s into a rest of %s", arrival.Server, arrival.At.Sub(rest.from), rest.to.Sub(rest.from))))
		}
		if arrival.Leaving && o.err == nil && count[o.id] == 1 && left[key].IsZero() && o.status < 500 {
			left[key] = o.ended
		}
		if until := restOf(arrival); until.After(rests[key].to) {
			rests[key] = span{from: arrival.At, to: until}
		}
	}
	return broken
}

// mayBeLost tells whether an answer of a server may not have reached a box. The lock is held.
func (w *world) mayBeLost(b *box, from, to time.Time) bool {
	return w.linkTroubles.touch(from, to) || b.troubles.touch(from, to)
}

// restOf is until when a server asked for rest; zero where it did not.
func restOf(arrival standin.Arrival) time.Time {
	seconds, err := strconv.ParseFloat(arrival.RetryAfter, 64)
	if err != nil || !arrival.TurnedAway {
		return time.Time{}
	}
	return arrival.At.Add(time.Duration(seconds * float64(time.Second)))
}
