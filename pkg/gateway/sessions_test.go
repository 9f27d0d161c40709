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

// sessionFleet is a drawn fleet of which only the sessions between boxes that ask and boxes
// that dispatch are played: ten engines a box, and requests by chance.
type sessionFleet struct {
	boxes     int
	perSecond float64
	groups    int
	// dispatchers are the numbers of the boxes that dispatch, by group.
	dispatchers []int
	draw        *rand.Rand
}

// requestTakes is the mean time of a stream, and sessionStays how long a session is kept after
// the last one: until its stream is left, found idle and no contact any more.
const (
	requestTakes = 800 * time.Millisecond
	sessionStays = streamIdleTimeout + idleCheckInterval + 500*time.Millisecond
)

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

// sessions are how many boxes have to other ones of each kind.
type sessions struct {
	// asking is the most at a box that dispatches for nothing, to boxes that it asks, and
	// dispatching the most at one that does, from boxes that ask it.
	asking, dispatching int
}

// standing is where each box keeps a session to the first two boxes of each group.
func (f *sessionFleet) standing() sessions {
	return sessions{asking: 2 * f.groups, dispatching: f.boxes - 1}
}

// onDemand is where a session is opened with a request and left after it.
func (f *sessionFleet) onDemand() (most sessions) {
	return f.play(func(_, group int) int { return f.dispatchers[group] })
}

// throughZone is where a box of each zone asks for the others there, one for each group, drawn
// by hash; it has a standing session to the box that dispatches.
func (f *sessionFleet) throughZone() (most sessions) {
	const zones = 5
	asks := func(zone, group int) int {
		return int(partition.Hash(uint64(zone), uint64(group))%uint64(f.boxes/zones))*zones + zone
	}
	standing := map[int]int{}
	for group, box := range f.dispatchers {
		for zone := range zones {
			standing[asks(zone, group)]++
		}
		standing[box] += zones
	}
	most = f.play(func(from, group int) int { return asks(from%zones, group) })
	for _, count := range standing {
		most.dispatching = max(most.dispatching, count)
	}
	return most
}

// play draws requests, each of which holds a session to the box that is asked for its group.
func (f *sessionFleet) play(asked func(from, group int) int) (most sessions) {
	const length, step = 20 * time.Second, 50 * time.Millisecond
	until := map[[2]int]time.Duration{}
	for passed := time.Duration(0); passed < length; passed += step {
		for range poisson(f.draw, f.perSecond*float64(f.boxes)*step.Seconds()) {
			from := f.draw.IntN(f.boxes)
			to := asked(from, f.draw.IntN(f.groups))
			takes := time.Duration(f.draw.ExpFloat64() * float64(requestTakes))
			until[[2]int{from, to}] = max(until[[2]int{from, to}], passed+takes+sessionStays)
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
			most.asking, most.dispatching = max(most.asking, out[i]), max(most.dispatching, in[i])
		}
	}
	return most
}

// poisson draws how many events there are of a mean number.
func poisson(draw *rand.Rand, mean float64) (count int) {
	for passed := draw.ExpFloat64(); passed < mean; passed += draw.ExpFloat64() {
		count++
	}
	return count
}

// fleetRate is what the callers of a large fleet send to one box, in requests to engines.
const fleetRate = 1.4

// TestSessions holds the sessions of boxes that ask and boxes that dispatch in large fleets.
func TestSessions(t *testing.T) {
	const maxAsking, maxDispatching = 24, 128
	Convey("Sessions go with the requests, not with the boxes or the groups", t, func() {
		for _, boxes := range []int{300, 1000, 2000} {
			f := newSessionFleet(boxes, fleetRate, uint64(boxes))
			most := f.onDemand()
			t.Logf("%d boxes, %d groups: standing %+v, on demand %+v, through a box of the zone %+v", boxes, f.groups, f.standing(), most, f.throughZone())
			So(most.asking, ShouldBeLessThanOrEqualTo, maxAsking)
			So(most.dispatching, ShouldBeLessThanOrEqualTo, maxDispatching)
		}
	})
	Convey("More requests mean more sessions", t, func() {
		for _, rate := range []float64{3, 6, 12, 25, 55} {
			f := newSessionFleet(1000, rate, 7)
			t.Logf("1000 boxes, %.0f requests a second and box: on demand %+v, through a box of the zone %+v", rate, f.onDemand(), f.throughZone())
		}
	})
}

// candidatesOf is a fleet in which one box in twenty is large.
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
