package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

func endpointsNamed(ids ...string) (endpoints []route.Endpoint) {
	for _, id := range ids {
		endpoints = append(endpoints, route.Endpoint{ID: id, Service: "api", Slots: 6})
	}
	return endpoints
}

func TestPlainRests(t *testing.T) {
	endpoints := endpointsNamed("a", "b")
	newHealth := func() *health {
		return &health{log: zap.NewNop(), rests: &rests{}, coldFraction: func(string, time.Time) float64 { return 1 }}
	}
	now := time.Now()
	Convey("An endpoint that asked for rest is not chosen, even if it is the last one", t, func() {
		h := newHealth()
		h.rests.record(lifecycle.Rest{Endpoint: "a", Until: now.Add(time.Minute)}, now)
		for range 20 {
			chosen, state := h.choose(endpoints, nil, "")
			So(state, ShouldNotBeNil)
			So(chosen.ID, ShouldEqual, "b")
		}
		_, state := h.choose(endpoints, []string{"b"}, "")
		So(state, ShouldBeNil)
	})
	Convey("An endpoint that is only ejected after failures is chosen if there is no other", t, func() {
		h := newHealth()
		for range 5 {
			chosen, state := h.choose(endpoints[:1], nil, "")
			So(state, ShouldNotBeNil)
			h.finish(chosen.ID, state, outcomeUnreachable, 0)
		}
	})
	Convey("The first end of a rest counts only endpoints that otherwise take requests", t, func() {
		h := newHealth()
		leaving := route.Endpoint{ID: "c", Facts: lifecycle.Facts{Leaving: true}}
		So(h.rests.firstEnd(append(endpoints, leaving), now).IsZero(), ShouldBeTrue)
		for id, length := range map[string]time.Duration{"a": 3 * time.Second, "b": 2 * time.Second, "c": time.Second} {
			h.rests.record(lifecycle.Rest{Endpoint: id, Until: now.Add(length)}, now)
		}
		So(h.rests.firstEnd(append(endpoints, leaving), now), ShouldEqual, now.Add(2*time.Second))
	})
	Convey("Callers retry once the first rest has ended, and not all at the same time", t, func() {
		times := map[time.Duration]bool{}
		for range 20 {
			after := dispatch.RetryAfterRest(2*time.Second, rand.Float64())
			So(after, ShouldBeBetweenOrEqual, 2*time.Second, 2500*time.Millisecond)
			times[after] = true
		}
		So(len(times), ShouldBeGreaterThan, 10)
	})
}

// countTakes takes retries until the budget is spent and returns their number.
func countTakes(b *retryBudget) (count int) {
	for {
		if _, ok := b.take("api"); !ok {
			return count
		}
		count++
	}
}

func TestBudgetGivenBack(t *testing.T) {
	Convey("A retry that is not sent costs the budget nothing, however often", t, func() {
		b := &retryBudget{settings: Settings{RetryRatio: 0.2, RetryExtra: 4, RetryWindow: time.Hour}, peers: func() int { return 0 }}
		for range 50 {
			taken, ok := b.take("api")
			So(ok, ShouldBeTrue)
			b.refund("api", taken)
		}
		So(countTakes(b), ShouldEqual, 2)
	})
	Convey("A retry is returned to the budget only once", t, func() {
		b := &retryBudget{settings: Settings{RetryRatio: 0.2, RetryExtra: 2, RetryWindow: time.Hour}, peers: func() int { return 0 }}
		taken, _ := b.take("api")
		c := &call{requestFacts: requestFacts{gateway: &Gateway{budget: b}}, attemptRecord: attemptRecord{reserved: taken}}
		c.service.Name = "api"
		c.releaseRetry()
		c.releaseRetry()
		So(countTakes(b), ShouldEqual, 1)
	})
}

func TestRestOf(t *testing.T) {
	Convey("A rest is accepted up to an hour; a longer one, or one that can not be parsed, is ignored", t, func() {
		for _, taken := range []time.Duration{0, time.Millisecond, lifecycle.MaxRest} {
			length, problem := restOf(ResponseInfo{Rest: taken})
			So(problem, ShouldBeNil)
			So(length, ShouldEqual, taken)
		}
		for _, info := range []ResponseInfo{{Rest: lifecycle.MaxRest + 1}, {RestProblem: errRestTooLong}} {
			length, problem := restOf(info)
			So(problem, ShouldNotBeNil)
			So(length, ShouldEqual, 0)
		}
	})
}
