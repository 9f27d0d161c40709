package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// copiesPerPart returns at how many engines each long shared part was read.
func (s *simulation) copiesPerPart() float64 {
	copies := map[uint64]float64{}
	total := 0.0
	for _, cached := range s.cached {
		for id, part := range cached {
			if id < 1<<40 || part.tokens > 6000 {
				copies[id]++
				total++
			}
		}
	}
	return total / float64(len(copies))
}

// TestColdStart guards against parts that several boxes read at different engines in the first
// seconds, while each of them decides alone.
func TestColdStart(t *testing.T) {
	for _, one := range []struct {
		boxes  int
		factor float64
		// minGain is the least by which the fraction in time may change.
		minGain float64
	}{
		{1, 1, -0.02},
		{1, 1.5, -0.02},
		{4, 1, 0},
		{4, 1.5, 0.02},
		{20, 1, 0},
		{20, 1.5, 0.05},
	} {
		Convey(fmt.Sprintf("Parts are read at about one engine in the first three seconds: %+v", one), t, func() {
			const seeds = 4
			var before, after, copiesBefore, copiesAfter float64
			for seed := range uint64(seeds) {
				for _, cold := range []bool{false, true} {
					s := newAddressSimulation(seed, engineSpeeds{})
					s.pool.Rules.ColdHomes = cold
					if one.boxes > 1 {
						s.decideAlone(one.boxes)
					}
					load := addressCustomer("a", one.factor)
					load[0].skew, load[1].skew = 1.5, 1.5
					s.play(3*time.Second, load...)
					if cold {
						after, copiesAfter = after+s.inTime()/seeds, copiesAfter+s.copiesPerPart()/seeds
					} else {
						before, copiesBefore = before+s.inTime()/seeds, copiesBefore+s.copiesPerPart()/seeds
					}
				}
			}
			t.Logf("%+v: in time %.3f and %.3f, copies %.2f and %.2f", one, before, after, copiesBefore, copiesAfter)
			So(after, ShouldBeGreaterThan, before+one.minGain)
			So(copiesAfter, ShouldBeLessThan, 1.15)
		})
	}
}

func TestColdHomes(t *testing.T) {
	own := func(i uint64) Part { return Part{ID: 100 + i, Tokens: 100} }
	newColdPool := func(engines int) *Pool {
		p := newTestPool(engines, 0)
		p.Rules.ColdHomes = true
		p.Contested = true
		return p
	}
	Convey("A box that dispatches alone chooses among all homes", t, func() {
		p := newColdPool(9)
		p.Contested = false
		first := submit(p, newRequest("1", "a", start, shared(7), own(1)), start)[0].(Grant)
		p.addGrant(newRequest("fill", "b", start, Part{ID: 200, Tokens: 60000}), p.engines[first.Endpoint], start)
		second := submit(p, newRequest("2", "a", start, shared(7), own(2)), start)
		So(second, ShouldHaveLength, 1)
		So(second[0].(Grant).Endpoint, ShouldNotEqual, first.Endpoint)
	})
	Convey("A part is read at one home only, and at the second one with demand after that", t, func() {
		p := newColdPool(9)
		homes := p.homes(newRequest("1", "a", start, shared(7), own(1)), start)
		first := submit(p, newRequest("1", "a", start, shared(7), own(1)), start)[0].(Grant)
		// More than its home reads in time is waiting there, but the other home has not read the
		// part either.
		busy := p.engines[first.Endpoint]
		p.addGrant(newRequest("fill", "b", start, Part{ID: 200, Tokens: 60000}), busy, start)
		So(submit(p, newRequest("2", "a", start, shared(7), own(2)), start), ShouldBeEmpty)
		p.Begin("1", start.Add(time.Millisecond))
		second := p.Decide(start.Add(2 * time.Millisecond))
		So(second, ShouldHaveLength, 1)
		So(second[0].(Grant).Endpoint, ShouldNotEqual, first.Endpoint)
		So(second[0].(Grant).Endpoint, ShouldBeIn, homes[0].ID, homes[1].ID)
	})
	Convey("If the engine that reads it fails, another one does", t, func() {
		p := newColdPool(9)
		first := submit(p, newRequest("1", "a", start, shared(7), own(1)), start)[0].(Grant)
		eject(p, first.Endpoint)
		second := submit(p, newRequest("2", "a", start, shared(7), own(2)), start)
		So(second, ShouldHaveLength, 1)
		So(second[0].(Grant).Endpoint, ShouldNotEqual, first.Endpoint)
	})
	Convey("Boxes that decide beside others begin with the same home", t, func() {
		for id := range uint64(20) {
			p := newColdPool(9)
			p.Routers = 4
			homes := p.homes(newRequest("1", "a", start, shared(id), own(1)), start)
			p.addGrant(newRequest("fill", "b", start, Part{ID: 200, Tokens: 100}), homes[0], start)
			So(submit(p, newRequest("1", "a", start, shared(id), own(1)), start)[0].(Grant).Endpoint, ShouldEqual, homes[0].ID)
		}
	})
	Convey("Among parts that are cached nowhere, that with most waiting requests is read first", t, func() {
		for _, cold := range []bool{false, true} {
			p := newColdPool(1)
			p.Rules.ColdHomes = cold
			p.addGrant(newRequest("fill", "b", start, Part{ID: 200, Tokens: 60000}), p.engines["e0"], start)
			p.Submit(newRequest("single", "a", start, shared(7), own(1)), start)
			p.Submit(newRequest("first", "a", start, shared(8), own(2)), start)
			p.Submit(newRequest("second", "a", start, shared(8), own(3)), start)
			So(p.Decide(start), ShouldBeEmpty)
			p.Begin("fill", start.Add(time.Millisecond))
			granted := p.Decide(start.Add(time.Millisecond))[0].(Grant).Request.ID
			if cold {
				So(granted, ShouldEqual, "first")
			} else {
				So(granted, ShouldEqual, "single")
			}
		}
	})
	Convey("The counts of waiting requests go with the requests", t, func() {
		p := newColdPool(9)
		for i := range uint64(3) {
			p.Submit(newRequest(fmt.Sprint(i), "a", start, shared(7), own(i)), start)
		}
		p.Withdraw("0")
		p.Decide(start)
		p.Decide(start.Add(time.Hour))
		So(p.waitingParts, ShouldBeEmpty)
	})
}
