package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1700000000, 0)

// learn makes an endpoint complete requests that each take so long.
func learn(e *Endpoint, route string, took time.Duration) {
	for i := range 100 {
		id := fmt.Sprint("learn", i)
		e.Grant(id, route, true, start)
		e.End(id, Completed{}, start.Add(took))
	}
}

// fill grants requests until there is no room, and returns their number.
func fill(e *Endpoint, now time.Time) (granted int) {
	for e.HasRoom(now) && granted < 100 {
		e.Grant(fmt.Sprint("fill", granted), "r", true, now)
		granted++
	}
	return granted
}

func TestRoom(t *testing.T) {
	// The number beyond the slots covers the turnaround, and is small: what waits at an endpoint
	// waits in no fair order.
	for took, want := range map[time.Duration]int{
		200 * time.Millisecond: 6,
		60 * time.Millisecond:  7,
		30 * time.Millisecond:  8,
		5 * time.Millisecond:   12,
	} {
		Convey(fmt.Sprintf("An endpoint of six slots gets %d requests of %s", want, took), t, func() {
			e := &Endpoint{Slots: 6, Times: &Times{}}
			learn(e, "r", took)
			So(fill(e, start), ShouldEqual, want)
			So(e.HasFreeSlot(start), ShouldBeFalse)
		})
	}
	Convey("An endpoint that refuses what is beyond its slots gets no more than these for a while", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		learn(e, "r", 60*time.Millisecond)
		fill(e, start)
		e.End("fill6", Refused{}, start)
		So(e.HasRoom(start), ShouldBeFalse)
		e.End("fill0", Completed{}, start)
		So(fill(e, start), ShouldEqual, 1)
		So(e.HasRoom(start.Add(minUnqueuedTime)), ShouldBeTrue)
	})
	Convey("An endpoint that refuses although it has a free slot gets nothing for a moment", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		e.Grant("a", "r", true, start)
		e.End("a", Refused{}, start)
		So(e.HasRoom(start), ShouldBeFalse)
		So(e.HasFreeSlot(start.Add(refusalPause)), ShouldBeTrue)
	})
	Convey("Ends of unknown requests, and repeated ones, change nothing", t, func() {
		e := &Endpoint{Slots: 2, Times: &Times{}}
		e.Grant("a", "r", true, start)
		e.End("b", Unreachable{}, start)
		e.End("a", Completed{}, start)
		e.End("a", Unreachable{}, start)
		So(e.Busy(), ShouldEqual, 0)
		So(e.IsEjected(start), ShouldBeFalse)
	})
}

func TestTimes(t *testing.T) {
	Convey("The time in the endpoint's queue is no part of the time in the slot", t, func() {
		e := &Endpoint{Slots: 1, Times: &Times{}}
		now := start
		e.Grant("0", "r", true, now)
		for i := range 200 {
			e.Grant(fmt.Sprint(i+1), "r", true, now)
			now = now.Add(40 * time.Millisecond)
			e.End(fmt.Sprint(i), Completed{}, now)
		}
		So(e.Expected("r", now), ShouldBeBetween, 38*time.Millisecond, 42*time.Millisecond)
	})
	Convey("Routes are estimated apart, and an unknown one by the mean", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		learn(e, "short", 10*time.Millisecond)
		learn(e, "long", 100*time.Millisecond)
		So(e.Times.Expected("short"), ShouldBeLessThan, 15*time.Millisecond)
		So(e.Times.Expected("long"), ShouldBeGreaterThan, 80*time.Millisecond)
		So(e.Times.Expected("other"), ShouldBeBetween, 15*time.Millisecond, 100*time.Millisecond)
	})
	Convey("A slow endpoint is known as such, and does not make the others seem slow", t, func() {
		times := &Times{}
		slow, usual := &Endpoint{Slots: 6, Times: times}, &Endpoint{Slots: 6, Times: times}
		end := start.Add(60 * time.Millisecond)
		for range 5 {
			learn(usual, "r", 20*time.Millisecond)
			slow.Grant("x", "r", true, start)
			slow.End("x", Completed{}, start.Add(60*time.Millisecond))
		}
		So(slow.Expected("r", end), ShouldBeGreaterThan, 5*usual.Expected("r", end)/4)
		So(usual.Expected("r", end), ShouldBeBetween, 18*time.Millisecond, 24*time.Millisecond)
		// It would never be chosen, and measured, again while another endpoint has free slots.
		later := end.Add(5 * slownessTTL)
		So(slow.Expected("r", later), ShouldAlmostEqual, usual.Expected("r", later), time.Millisecond)
	})
	Convey("Requests that another box granted are no samples", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		e.Grant("a", "r", false, start)
		e.End("a", Completed{}, start.Add(time.Second))
		So(e.Expected("r", start), ShouldEqual, initialTime)
	})
}

func TestFailures(t *testing.T) {
	fail := func(e *Endpoint, outcome Outcome, now time.Time) {
		e.Grant("f", "r", true, now)
		e.End("f", outcome, now)
	}
	Convey("An endpoint that accepts no connection is ejected at once, then for twice as long", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		fail(e, Unreachable{}, start)
		So(e.IsEjected(start.Add(minEjection-1)), ShouldBeTrue)
		back := start.Add(minEjection)
		So(e.IsEjected(back), ShouldBeFalse)
		fail(e, Unreachable{}, back)
		So(e.EjectedUntil(), ShouldEqual, back.Add(2*minEjection))
	})
	Convey("One broken response ejects no endpoint, and the failures of one crash count once", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		fail(e, Broken{}, start)
		So(e.IsEjected(start), ShouldBeFalse)
		for range 6 {
			fail(e, Broken{}, start)
		}
		So(e.EjectedUntil(), ShouldEqual, start.Add(minEjection))
	})
	Convey("After an ejection an endpoint gets one request at a time until one succeeds", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		fail(e, Unreachable{}, start)
		back := start.Add(minEjection)
		So(fill(e, back), ShouldEqual, 1)
		e.End("fill0", Completed{}, back)
		So(fill(e, back), ShouldBeGreaterThanOrEqualTo, 6)
	})
	Convey("A request that was not sent says nothing about the endpoint", t, func() {
		e := &Endpoint{Slots: 6, Times: &Times{}}
		for range 10 {
			fail(e, Unused{}, start)
		}
		So(e.IsEjected(start), ShouldBeFalse)
		So(e.HasFreeSlot(start), ShouldBeTrue)
	})
}

func TestFailuresOfTheService(t *testing.T) {
	Convey("Requests of which one in seven fails at any endpoint eject no endpoint for long", t, func() {
		draw := rand.New(rand.NewPCG(1, 2))
		times := &Times{}
		endpoints := make([]*Endpoint, 4)
		for i := range endpoints {
			endpoints[i] = &Endpoint{Slots: 6, Times: times}
		}
		now, ejected := start, 0
		const requests = 20000
		for i := range requests {
			now = now.Add(5 * time.Millisecond)
			e := endpoints[i%len(endpoints)]
			if e.IsEjected(now) {
				ejected++
				continue
			}
			id := fmt.Sprint(i)
			e.Grant(id, "lookup", true, now)
			if draw.IntN(7) == 0 {
				e.End(id, Broken{}, now.Add(time.Millisecond))
			} else {
				e.End(id, Completed{}, now.Add(time.Millisecond))
			}
		}
		So(ejected, ShouldBeLessThan, requests/100)
	})
	Convey("An endpoint that fails all while the others fail few is ejected within ten requests", t, func() {
		times := &Times{failureRate: 0.15}
		e := &Endpoint{Slots: 6, Times: times}
		requests := 0
		for ; !e.IsEjected(start); requests++ {
			id := fmt.Sprint(requests)
			e.Grant(id, "lookup", true, start)
			e.End(id, Broken{}, start)
		}
		So(requests, ShouldBeLessThanOrEqualTo, 10)
	})
}
