package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

// These tests guard against state of model engines that stays behind when an accepted catalog makes
// their service a plain one.
func TestEnginesBecomePlain(t *testing.T) {
	plain := route.Service{Name: "llm"}
	Convey("A pool with running streams decides once its engines are plain endpoints", t, func() {
		p := newUnevenPool()
		running := newRequest("1", "a", start, Part{ID: 1, Tokens: 100})
		running.GapTarget = 300 * time.Millisecond
		p.Submit(running, start)
		So(p.Decide(start), ShouldHaveLength, 1)
		p.Begin("1", start.Add(50*time.Millisecond))
		p.Configure(plain, 0)
		p.Submit(&Request{ID: "2", Customer: "a", LatencyTarget: time.Second, Arrived: start, Deadline: start.Add(time.Minute)}, start)
		So(func() { p.Decide(start.Add(60 * time.Millisecond)) }, ShouldNotPanic)
	})
}

func TestStreamsEndAtPlainEndpoints(t *testing.T) {
	Convey("A request that was granted before its engine became a plain endpoint leaves nothing behind", t, func() {
		p := newTestPool(1, 0)
		req := newRequest("1", "a", start, Part{ID: 1, Tokens: 100})
		req.GapTarget = 300 * time.Millisecond
		p.Submit(req, start)
		So(p.Decide(start), ShouldHaveLength, 1)
		p.Configure(route.Service{Name: "llm"}, 0)
		p.End("1", Done{}, start.Add(100*time.Millisecond))
		e := p.engines["e0"]
		So(e.pending, ShouldBeEmpty)
		So(e.shortestGap(), ShouldEqual, 0)
		So(e.running, ShouldEqual, 0)
		So(p.isUsable(e, start.Add(time.Minute)), ShouldBeTrue)
	})
}
