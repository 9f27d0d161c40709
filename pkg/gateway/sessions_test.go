package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/membership"
	"github.com/quaylead/quaylead/pkg/partition"
)

// sessionFleet simulates the sessions between routers and dispatchers of a fleet with ten engines
// a box, under random requests.
type sessionFleet struct {
	boxes     int
	perSecond float64
	groups    int
	// dispatchers are the numbers of the boxes that dispatch, by group.
	dispatchers []int
	draw        *rand.Rand
}

// meanRequestTime is the mean time of a stream of events, and sessionTTL how long a session is
// kept after the last one: until the stream to the dispatcher has been idle, the check has
// detected that, and the dispatcher is no longer a contact.
const (
	meanRequestTime = 800 * time.Millisecond
	sessionTTL      = streamIdleTimeout + idleCheckInterval + 500*time.Millisecond
)

// newSessionFleet returns a fleet whose boxes each send perSecond requests.
func newSessionFleet(boxes int, perSecond float64, seed uint64) *sessionFleet {
	f := &sessionFleet{boxes: boxes, perSecond: perSecond, groups: partition.Count(10 * boxes), draw: rand.New(rand.NewPCG(seed, 9))}
	fleet := candidatesOf(boxes)
	numbers := map[string]int{}
	for i := range fleet {
		numbers[fleet[i].Name] = i
	}
	shared := partition.Assignment{}
	for group := range f.groups {
		f.dispatchers = append(f.dispatchers, numbers[shared.BoxFor("llm", group, f.groups, fleet[0], fleet[1:])])
	}
	return f
}

// sessions holds maximum numbers of sessions of one box.
type sessions struct {
	// asking counts the sessions of a box to the dispatchers that it asks, and dispatching those
	// of a dispatcher from the boxes that ask it.
	asking, dispatching int
}

// persistent returns the sessions if each box keeps one to the first two boxes of each group.
func (f *sessionFleet) persistent() sessions {
	return sessions{asking: 2 * f.groups, dispatching: f.boxes - 1}
}

// onDemand returns the sessions if one is opened for a request and closed when idle.
func (f *sessionFleet) onDemand() (peak sessions) {
	return f.simulate(func(_, group int) int { return f.dispatchers[group] })
}

// throughZone returns the sessions if, for each group, one box of each availability zone,
// selected by hash, asks on behalf of the others; it has a persistent session to the
// dispatcher.
func (f *sessionFleet) throughZone() (peak sessions) {
	const zones = 5
	askerOf := func(zone, group int) int {
		return int(partition.Hash(uint64(zone), uint64(group))%uint64(f.boxes/zones))*zones + zone
	}
	persistent := map[int]int{}
	for group, box := range f.dispatchers {
		for zone := range zones {
			persistent[askerOf(zone, group)]++
		}
		persistent[box] += zones
	}
	peak = f.simulate(func(from, group int) int { return askerOf(from%zones, group) })
	for _, count := range persistent {
		peak.dispatching = max(peak.dispatching, count)
	}
	return peak
}

// simulate simulates random requests, each of which holds a session to the box that is asked for
// its group.
func (f *sessionFleet) simulate(dispatcherOf func(from, group int) int) (peak sessions) {
	const length, step = 20 * time.Second, 50 * time.Millisecond
	until := map[[2]int]time.Duration{}
	for passed := time.Duration(0); passed < length; passed += step {
		for range poisson(f.draw, f.perSecond*float64(f.boxes)*step.Seconds()) {
			from := f.draw.IntN(f.boxes)
			to := dispatcherOf(from, f.draw.IntN(f.groups))
			takes := time.Duration(f.draw.ExpFloat64() * float64(meanRequestTime))
			until[[2]int{from, to}] = max(until[[2]int{from, to}], passed+takes+sessionTTL)
		}
		out, in := make([]int, f.boxes), make([]int, f.boxes)
		for pair, end := range until {
			if end < passed {
				delete(until, pair)
				continue
			}
			out[pair[0]]++
			in[pair[1]]++
		}
		for i := range f.boxes {
			peak.asking, peak.dispatching = max(peak.asking, out[i]), max(peak.dispatching, in[i])
		}
	}
	return peak
}

// poisson returns a random number of events with the given mean.
func poisson(draw *rand.Rand, mean float64) (count int) {
	for passed := draw.ExpFloat64(); passed < mean; passed += draw.ExpFloat64() {
		count++
	}
	return count
}

// fleetRate is the number of requests to engines that callers send to one box of a large fleet
// in a second.
const fleetRate = 1.4

// TestSessions checks the number of sessions between routers and dispatchers in large fleets.
func TestSessions(t *testing.T) {
	const maxAsking, maxDispatching = 24, 128
	Convey("Sessions grow with the requests, not with the boxes or the groups", t, func() {
		for _, boxes := range []int{300, 1000, 2000} {
			f := newSessionFleet(boxes, fleetRate, uint64(boxes))
			peak := f.onDemand()
			t.Logf("%d boxes, %d groups: standing %+v, on demand %+v, through a box of the zone %+v", boxes, f.groups, f.persistent(), peak, f.throughZone())
			So(peak.asking, ShouldBeLessThanOrEqualTo, maxAsking)
			So(peak.dispatching, ShouldBeLessThanOrEqualTo, maxDispatching)
		}
	})
	Convey("More requests mean more sessions", t, func() {
		for _, rate := range []float64{3, 6, 12, 25, 55} {
			f := newSessionFleet(1000, rate, 7)
			t.Logf("1000 boxes, %.0f requests a second and box: on demand %+v, through a box of the zone %+v", rate, f.onDemand(), f.throughZone())
		}
	})
}

// candidatesOf returns a fleet in which one box in twenty is large.
func candidatesOf(boxes int) (found []membership.Candidate) {
	for i := range boxes {
		cores := 0.192
		if i%20 == 0 {
			cores = 1.6
		}
		found = append(found, membership.Candidate{Name: fmt.Sprintf("box-%d", i), Hash: uint64(i) * 0x9e3779b97f4a7c15, Cores: cores, Alive: true})
	}
	return found
}
