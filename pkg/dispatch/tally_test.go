package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTallies(t *testing.T) {
	const own, output = 1000, 100
	cost := float64(own + 2*output)
	req := func(id, customer string) *Request {
		a := newRequest(id, customer, start, Part{ID: uint64(len(id)) + uint64(id[0])<<8, Tokens: own})
		a.MaxOutput, a.HintOutput = output, output
		return a
	}
	Convey("The outcome of each request is counted once, and taking the tallies resets them", t, func() {
		p := newTestPool(1, 0)
		So(submit(p, req("a", "ward"), start), ShouldHaveLength, 1)
		So(submit(p, req("b", "ward"), start), ShouldHaveLength, 1)
		p.Begin("a", start)
		p.Begin("a", start)
		p.End("a", Done{}, start)
		p.End("b", Unused{}, start)
		So(p.TakeTallies(), ShouldResemble, []CustomerTally{{"ward", Tally{
			Requested: 2 * cost, Granted: 2 * cost, Begun: cost, Completed: cost, Refunded: cost,
		}}})
		So(p.TakeTallies(), ShouldBeEmpty)
	})
	Convey("Requests that are not granted are counted by how they left the queue", t, func() {
		p := newTestPool(1, 0)
		eject(p, "e0")
		p.Submit(req("a", "ward"), start)
		p.Submit(req("b", "camp"), start)
		So(p.Withdraw("b"), ShouldBeTrue)
		So(p.Decide(start.Add(time.Minute)), ShouldHaveLength, 1)
		So(p.TakeTallies(), ShouldResemble, []CustomerTally{
			{"camp", Tally{Requested: cost, Withdrawn: cost}},
			{"ward", Tally{Requested: cost, RefusedAfterWait: cost}},
		})
	})
	Convey("Grants of another pool are not counted here", t, func() {
		p := newTestPool(1, 0)
		p.Adopt(req("a", "ward"), "e0", false, start)
		p.Begin("a", start)
		p.End("a", Done{}, start)
		So(p.TakeTallies(), ShouldBeEmpty)
	})
}
