package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBusyHomeOfUnderservedCustomer guards against requests that wait for the engine that has their
// shared part cached, while their customer has little and another home of the part has room.
func TestBusyHomeOfUnderservedCustomer(t *testing.T) {
	const cost = 13000 + 100 + 2*50
	setUp := func(refused float64) *Pool {
		p := newTestPool(2, 0)
		busy := newRequest("before", "most", start, shared(1), Part{ID: 2, Tokens: initialRate / 2})
		busy.cost = 100 * cost
		p.account("most").requested.add(busy.cost, start, p.Rules.Window)
		p.addGrant(busy, p.engines["e0"], start)
		p.account("ward").requested.add(refused*cost, start, p.Rules.Window)
		return p
	}
	req := func() *Request { return newRequest("1", "ward", start, shared(1), Part{ID: 3, Tokens: 100}) }
	Convey("It goes to the home that has room", t, func() {
		granted := submit(setUp(underservedSlack+1), req(), start)
		So(granted, ShouldHaveLength, 1)
		So(granted[0].(Grant).Endpoint, ShouldEqual, "e1")
	})
	Convey("It waits if its customer is short by a few requests only", t, func() {
		So(submit(setUp(underservedSlack), req(), start), ShouldBeEmpty)
	})
	Convey("It waits if its customer got most of what is due to it", t, func() {
		p := setUp(20)
		p.account("ward").granted.add(15*cost, start, p.Rules.Window)
		So(submit(p, req(), start), ShouldBeEmpty)
	})
}

// TestRecentTotal guards against amounts that still count in full and are then forgotten at once.
func TestRecentTotal(t *testing.T) {
	const length = 4 * time.Second
	Convey("A steady amount has the total of a whole window", t, func() {
		w := window{}
		for at := start; at.Before(start.Add(2 * length)); at = at.Add(length / windowBuckets) {
			w.add(10, at, length)
		}
		So(w.recentTotal(), ShouldEqual, 10*windowBuckets)
		So(w.recentTotal(), ShouldEqual, w.sum)
	})
	Convey("An amount counts for half of the window, and after a silence nothing does", t, func() {
		w := window{}
		w.add(10, start, length)
		w.advance(start.Add(length/2-length/windowBuckets), length)
		So(w.recentTotal(), ShouldEqual, 20)
		w.advance(start.Add(length/2), length)
		So(w.recentTotal(), ShouldEqual, 0)
		So(w.sum, ShouldEqual, 10)
		w.add(10, start.Add(length/2), length)
		w.advance(start.Add(2*length), length)
		So(w.recentTotal(), ShouldEqual, 0)
		So(w.sum, ShouldEqual, 0)
	})
}
