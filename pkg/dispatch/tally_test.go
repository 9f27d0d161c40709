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
		So(p.TakeTallies(), ShouldResemble, []CustomerTally{{Customer: "ward", Tally: Tally{
			Requested: 2 * cost, Granted: 2 * cost, Begun: cost, Completed: cost, Refunded: cost,
		}, Counted: 2 * cost}})
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
			{Customer: "camp", Tally: Tally{Requested: cost, Withdrawn: cost}},
			{Customer: "ward", Tally: Tally{Requested: cost, RefusedAfterWait: cost}},
		})
	})
	Convey("Requests that waited for a busy engine while another one had room are counted apart", t, func() {
		p := newTestPool(2, 0)
		p.addGrant(newRequest("before", "camp", start, shared(1), Part{ID: 2, Tokens: initialRate / 2}), p.engines["e0"], start)
		waiting := req("a", "ward")
		waiting.Parts = append([]Part{shared(1)}, waiting.Parts...)
		So(submit(p, waiting, start), ShouldBeEmpty)
		p.engines["e0"].ejectedUntil, p.engines["e1"].ejectedUntil = start.Add(time.Hour), start.Add(time.Hour)
		So(p.Decide(start.Add(time.Minute)), ShouldHaveLength, 1)
		tally := p.TakeTallies()[0].Tally
		So(tally.Unplaced, ShouldEqual, waiting.Cost())
		So(tally.RefusedAfterWait, ShouldEqual, waiting.Cost())
	})
	Convey("Grants of another pool are not counted here", t, func() {
		p := newTestPool(1, 0)
		p.Adopt(req("a", "ward"), "e0", false, start)
		p.Begin("a", start)
		p.End("a", Done{}, start)
		So(p.TakeTallies(), ShouldBeEmpty)
	})
	Convey("What was granted before a change of the dispatcher and begins after it is counted once", t, func() {
		reported := req("a", "ward")
		reported.Stream = 1
		begun := Tally{Begun: cost, Completed: cost}
		next := newTestPool(1, 0)
		next.Adopt(reported, "e0", false, start)
		next.Begin("a", start)
		next.End("a", Done{}, start)
		So(next.TakeTallies()[0].Tally, ShouldResemble, begun)
		alone := newTestPool(1, 0)
		alone.Adopt(req("a", "ward"), "e0", false, start)
		alone.TakeOver("a")
		alone.Begin("a", start)
		alone.End("a", Done{}, start)
		So(alone.TakeTallies()[0].Tally, ShouldResemble, begun)
	})
}
