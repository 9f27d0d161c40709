package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

// TestAdoptWaiting guards against a second grant of a request that waits here and was granted by
// another box: the first grant would be forgotten, and its slot never be free again.
func TestAdoptWaiting(t *testing.T) {
	Convey("A request that was granted elsewhere no longer waits here", t, func() {
		p := newPlainPool(route.Service{Name: "api"}, nil)
		So(grantsOf(p, 12, start, nil), ShouldResemble, map[string]int{"a": 6, "b": 6})
		req := func(stream uint64) *Request {
			return &Request{ID: "r", Customer: "c", Stream: stream, Arrived: start, LatencyTarget: 300 * time.Millisecond, Deadline: start.Add(time.Second)}
		}
		p.Submit(req(1), start)
		p.Adopt(req(2), "a", false, start)
		So(p.IsWaiting("r"), ShouldBeFalse)
		So(p.Waiting(), ShouldEqual, 0)
		for id := range p.grants {
			if id == "r" {
				continue
			}
			p.End(id, Done{}, start.Add(20*time.Millisecond))
		}
		p.Decide(start.Add(20 * time.Millisecond))
		p.End("r", Done{}, start.Add(40*time.Millisecond))
		for _, e := range p.sorted {
			So(e.running, ShouldEqual, 0)
			So(e.slots.Busy(), ShouldEqual, 0)
		}
	})
}
