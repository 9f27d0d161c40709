package gateway

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

// TestStreamGoesOnAtItsService guards against streams that go on at another service of a route
// whose requests are split.
func TestStreamGoesOnAtItsService(t *testing.T) {
	split := &route.Route{Streaming: true, Resumable: true, Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	Convey("A stream that is taken up goes to the service that began it, and the split is as ordered", t, func() {
		drawn, moved := map[string]int{}, 0
		const streams = 4000
		for i := range streams {
			began := &call{requestFacts: requestFacts{route: split, RequestInfo: RequestInfo{ID: fmt.Sprintf("%016x", i)}}}
			taken := &call{requestFacts: requestFacts{route: split, RequestInfo: RequestInfo{ID: fmt.Sprintf("%016x", i+streams), LastEvent: "3", Resumes: began.ID}}}
			service := began.drawService()
			drawn[service]++
			if taken.drawService() != service {
				moved++
			}
		}
		So(moved, ShouldEqual, 0)
		So(drawn["b"], ShouldBeBetween, streams/10-100, streams/10+100)
	})
}
