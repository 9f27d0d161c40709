package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQueuesPlain(t *testing.T) {
	newCatalog := func(one Route) *Catalog {
		one.Targets = []Target{{Service: "api", Weight: 1}}
		c := &Catalog{
			Routes:   []Route{one},
			Services: map[string]Service{"api": {Name: "api"}, "llm": {Name: "llm", Engine: &Engine{}}},
		}
		c.Index()
		return c
	}
	Convey("A plain service is queued if one of its routes may be held well beyond its latency target", t, func() {
		So(newCatalog(Route{LatencyTarget: 200 * time.Millisecond, Timeout: 1200 * time.Millisecond}).QueuesPlain("api"), ShouldBeTrue)
	})
	Convey("Without that, requests are not held: no time limit, a short one, no target, or a stream", t, func() {
		for _, one := range []Route{
			{LatencyTarget: 200 * time.Millisecond},
			{LatencyTarget: 300 * time.Millisecond, Timeout: 800 * time.Millisecond},
			{Timeout: 5 * time.Second},
			{LatencyTarget: 200 * time.Millisecond, Timeout: 5 * time.Second, Streaming: true},
		} {
			So(newCatalog(one).QueuesPlain("api"), ShouldBeFalse)
		}
	})
	Convey("Services with engines have the queue of their pool", t, func() {
		c := newCatalog(Route{LatencyTarget: time.Second, Timeout: time.Minute})
		c.Routes[0].Targets[0].Service = "llm"
		c.Index()
		So(c.QueuesPlain("llm"), ShouldBeFalse)
	})
}

func TestHasCompactCache(t *testing.T) {
	Convey("Copies are cheap only if the cache of a token is known and small", t, func() {
		So((*Engine)(nil).HasCompactCache(), ShouldBeFalse)
		So((&Engine{}).HasCompactCache(), ShouldBeFalse)
		So((&Engine{TokenBytes: 18432}).HasCompactCache(), ShouldBeTrue)
		So((&Engine{TokenBytes: 163840}).HasCompactCache(), ShouldBeFalse)
	})
}
