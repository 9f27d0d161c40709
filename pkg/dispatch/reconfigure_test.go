package dispatch

import (
	"math/rand/v2"
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

// TestPlainEndpointsBecomeEngines guards against engines whose cache is taken for empty and without
// capacity, which run one request at a time.
func TestPlainEndpointsBecomeEngines(t *testing.T) {
	Convey("Plain endpoints that become engines have the cache capacity of the new configuration", t, func() {
		p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(1, 2))}
		p.Configure(route.Service{Name: "llm"}, 0)
		endpoints := []route.Endpoint{{ID: "e0", Service: "llm", Slots: 64}}
		p.SetEndpoints(endpoints, start)
		p.Configure(route.Service{Name: "llm", Engine: &route.Engine{Slots: 64, CacheTokens: 500000}}, 0)
		p.SetEndpoints(endpoints, start)
		for _, id := range []string{"1", "2"} {
			p.Submit(newRequest(id, "a", start, Part{ID: 1, Tokens: 100}), start)
		}
		decisions := p.Decide(start)
		So(decisions, ShouldHaveLength, 2)
		for _, d := range decisions {
			So(d, ShouldHaveSameTypeAs, Grant{})
		}
	})
}
