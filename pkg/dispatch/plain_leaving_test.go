package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

func TestPlainEndpointLeaves(t *testing.T) {
	Convey("An endpoint of a plain service that is first heard of when it leaves gets nothing", t, func() {
		p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(1, 2))}
		p.Configure(route.Service{Name: "api"}, 0)
		p.SetLeaving([]route.Endpoint{{ID: "e1", Service: "api", Slots: 6}}, start)
		p.SetEndpoints([]route.Endpoint{{ID: "e2", Service: "api", Slots: 6}}, start)
		p.Submit(&Request{ID: "r", LatencyTarget: time.Second, Arrived: start, Deadline: start.Add(time.Minute)}, start)
		decisions := p.Decide(start)
		So(decisions, ShouldHaveLength, 1)
		So(decisions[0].(Grant).Endpoint, ShouldEqual, "e2")
		So(p.CachedParts(), ShouldBeEmpty)
	})
}
