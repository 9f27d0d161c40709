package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// Boxes did not read what engines report in responses: engines that had rejected a request and
// asked the box for rest got more requests from it within 100 ms, and an engine that had reported
// that it was leaving got requests as before. A box that reads these reports must also send them
// to the dispatcher, and again to its successor.

// TestWords checks over random fleets, for every way of reporting and with changes of the
// dispatcher: no request reaches an engine that asked for rest or reported that it is leaving; no
// engine is idle while a request waits that it accepts; no request waits that no engine accepts;
// and no RetryAfter ends before the first engine's rest does.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		way := restReporting(rapid.IntRange(int(notReported), int(reportedOnce)).Draw(t, "way"))
		s := newRestSimulation(engines, rapid.IntRange(1, 8).Draw(t, "boxes"), rapid.Uint64().Draw(t, "seed"), way)
		s.draw(s.rand, engines, rapid.Float64Range(0, 1).Draw(t, "full"), rapid.Float64Range(0, 0.5).Draw(t, "leaving"))
		s.callers(float64(engines)*rapid.Float64Range(0.2, 20).Draw(t, "load"), 12*time.Second)
		for range rapid.IntRange(0, 3).Draw(t, "losses") {
			s.at(s.now.Add(time.Duration(rapid.IntRange(1, 11000).Draw(t, "at"))*time.Millisecond), s.takeOver)
		}
		for tick := s.now.Add(time.Millisecond); tick.Before(s.now.Add(13 * time.Second)); tick = tick.Add(52 * time.Millisecond) {
			s.at(tick, func() {
				s.decide()
				if idle := s.idleWhileWaiting(); len(idle) > 0 {
					t.Fatalf("%v are idle while a request waits that they accept", idle)
				}
				for _, req := range s.pool.waiting {
					if !s.pool.hasEligibleEngine(req, s.now) {
						t.Fatalf("a request waits that no engine accepts")
					}
				}
			})
		}
		s.until(s.now.Add(time.Hour))
		if len(s.violations) > 0 {
			t.Fatalf("%d requests reached an engine that had asked for none: %s", len(s.violations), s.violations[0])
		}
		if s.retriedEarly > 0 {
			t.Fatalf("%d callers were told to retry before the first engine's rest ends", s.retriedEarly)
		}
		if len(s.waiting) > 0 {
			t.Fatalf("%d requests were neither granted nor refused", len(s.waiting))
		}
	})
}

// TestRestWays compares the ways of reporting on the same random fleets; QUAYLEAD_FLEETS=60 runs
// 60 of them, and -v prints the figures.
func TestRestWays(t *testing.T) {
	for _, load := range []float64{3, 14} {
		for way, name := range []string{notReported: "not reported", inEachRequest: "in each request", reportedOnce: "reported once"} {
			out := restSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 3 + draw.IntN(10)
				s := newRestSimulation(engines, 8, uint64(seed), restReporting(way))
				s.draw(draw, engines, 0.5, 0.1)
				s.callers(float64(engines)*load, 12*time.Second)
				for range 2 {
					s.at(s.now.Add(time.Duration(1+draw.IntN(11000))*time.Millisecond), s.takeOver)
				}
				s.until(s.now.Add(time.Hour))
				out.requested += s.requested
				out.served += s.served
				out.rejected += s.rejected
				out.handedBack += s.handedBack
				out.refused += s.refused
				out.refusedDespiteRoom += s.refusedDespiteRoom
				out.requestBytes += s.requestBytes
				out.violations = append(out.violations, s.violations...)
			}
			t.Logf("%-30s %2.0f a second and engine: %d requests, %d served, %d rejected by engines, %d handed back, %d refused (%d despite room), %d bytes of exclusions, %d sent to an engine that asked for none",
				name, load, out.requested, out.served, out.rejected, out.handedBack, out.refused, out.refusedDespiteRoom, out.requestBytes, len(out.violations))
			if len(out.violations) > 0 {
				t.Errorf("%s: %d requests reached an engine that had asked for none", name, len(out.violations))
			}
		}
	}
}

// TestWhomRestsBind compares a rest that binds only the box that was rejected with one that
// binds all boxes, on the same random fleets, with engines that reject all boxes and with
// engines that reject one only. QUAYLEAD_FLEETS=60 runs 60 fleets, and -v prints the figures.
func TestWhomRestsBind(t *testing.T) {
	for _, oneBox := range []bool{false, true} {
		for _, bindsAll := range []bool{false, true} {
			out := restSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 3 + draw.IntN(10)
				s := newRestSimulation(engines, 8, uint64(seed), reportedOnce)
				s.bindsAll = bindsAll
				s.draw(draw, engines, 0.5, 0)
				for i := range engines {
					id := fmt.Sprintf("e%d", i)
					full := s.overloads[id]
					if oneBox {
						full.box = s.boxes[draw.IntN(len(s.boxes))]
						s.overloads[id] = full
					}
				}
				s.callers(float64(engines)*20, 12*time.Second)
				s.until(s.now.Add(time.Hour))
				out.requested += s.requested
				out.served += s.served
				out.rejected += s.rejected
				out.refused += s.refused
				out.refusedDespiteRoom += s.refusedDespiteRoom
			}
			t.Logf("engines reject one box only: %t, a rest binds all: %t: %d requests, %d served, %d rejected by engines, %d refused (%d despite room)",
				oneBox, bindsAll, out.requested, out.served, out.rejected, out.refused, out.refusedDespiteRoom)
			if oneBox && !bindsAll && out.refusedDespiteRoom > 0 {
				t.Errorf("%d requests of boxes that no engine rejected were refused despite room", out.refusedDespiteRoom)
			}
		}
	}
}

// TestReturnAfterRest compares two retry times for callers of a box for which all engines rest:
// when the first engine's rest ends, and at once if another box may be served.
// QUAYLEAD_FLEETS=60 runs 60 random fleets, and -v prints the figures.
func TestReturnAfterRest(t *testing.T) {
	for _, retries := range []int{1, 3} {
		for _, retryElsewhere := range []bool{false, true} {
			out := restSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 2 + draw.IntN(4)
				s := newRestSimulation(engines, 8, uint64(seed), reportedOnce)
				s.maxRetries, s.retryElsewhere = retries, retryElsewhere
				s.draw(draw, engines, 1, 0)
				s.callers(float64(engines)*14, 12*time.Second)
				s.until(s.now.Add(time.Hour))
				out.requested += s.requested
				out.served += s.served
				out.rejected += s.rejected
				out.givenUp += s.givenUp
				out.servedRetries += s.servedRetries
				out.waited += s.waited
			}
			t.Logf("%d retries, at once if another box may be served: %t: %d requests, %d served, %d given up, %d rejected by engines; retried requests reached an engine after %s",
				retries, retryElsewhere, out.requested, out.served, out.givenUp, out.rejected, out.waited/time.Duration(max(1, out.servedRetries)))
		}
	}
}

func TestAllowed(t *testing.T) {
	until := start.Add(3 * time.Second)
	requestOf := func(router uint64, number int, now time.Time) *Request {
		req := newRequest(fmt.Sprint(number), "a", now, Part{ID: uint64(number), Tokens: 1000})
		req.Stream = router
		return req
	}
	Convey("An engine's rest binds only the router that was asked for it", t, func() {
		p := newTestPool(2, 0)
		So(p.SetRest(1, lifecycle.Rest{Endpoint: "e0", Until: until}, start), ShouldBeTrue)
		for i := range 4 {
			So(submit(p, requestOf(1, i, start), start)[0].(Grant).Endpoint, ShouldEqual, "e1")
		}
		found := map[string]bool{}
		for i := range 4 {
			found[submit(p, requestOf(2, 10+i, start), start)[0].(Grant).Endpoint] = true
		}
		So(found["e0"], ShouldBeTrue)
	})
	Convey("A rest goes on after the first token of an older request", t, func() {
		p := newTestPool(2, 0)
		first := submit(p, requestOf(1, 1, start), start)[0].(Grant)
		p.SetRest(1, lifecycle.Rest{Endpoint: first.Endpoint, Until: until}, start)
		p.Begin("1", start.Add(time.Second))
		for i := range 4 {
			So(submit(p, requestOf(1, 10+i, start.Add(time.Second)), start.Add(time.Second))[0].(Grant).Endpoint, ShouldNotEqual, first.Endpoint)
		}
	})
	Convey("If all engines rest, a request is refused at once until the first rest ends", t, func() {
		p := newTestPool(2, 0)
		p.SetRest(1, lifecycle.Rest{Endpoint: "e0", Until: until}, start)
		p.SetRest(1, lifecycle.Rest{Endpoint: "e1", Until: until.Add(time.Second)}, start)
		times := map[time.Duration]bool{}
		for i := range 20 {
			refusal := submit(p, requestOf(1, i, start), start)[0].(Refusal)
			So(refusal.NoEligibleEngine, ShouldBeTrue)
			So(refusal.RetryAfter, ShouldBeBetweenOrEqual, 3*time.Second, 3750*time.Millisecond)
			times[refusal.RetryAfter] = true
		}
		So(len(times), ShouldBeGreaterThan, 10)
		So(submit(p, requestOf(2, 100, start), start)[0], ShouldHaveSameTypeAs, Grant{})
	})
	Convey("A request waits for an engine whose rest ends within its maximum wait", t, func() {
		p := newTestPool(1, 0)
		p.SetRest(1, lifecycle.Rest{Endpoint: "e0", Until: start.Add(100 * time.Millisecond)}, start)
		So(submit(p, requestOf(1, 1, start), start), ShouldBeEmpty)
		So(p.Decide(start.Add(100 * time.Millisecond))[0], ShouldHaveSameTypeAs, Grant{})
	})
	Convey("A rest ends with a new instance of the engine, and with its router's stream", t, func() {
		p := newTestPool(1, 0)
		p.SetEndpoints([]route.Endpoint{{ID: "e0", Service: "llm", Slots: 64, Facts: lifecycle.Facts{Born: 5}}}, start)
		p.SetRest(1, lifecycle.Rest{Endpoint: "e0", Born: 5, Until: until}, start)
		So(p.hasEligibleEngine(requestOf(1, 1, start), start), ShouldBeFalse)
		p.SetEndpoints([]route.Endpoint{{ID: "e0", Service: "llm", Slots: 64, Facts: lifecycle.Facts{Born: 6}}}, start)
		So(p.hasEligibleEngine(requestOf(1, 1, start), start), ShouldBeTrue)
		p.SetRest(1, lifecycle.Rest{Endpoint: "e0", Born: 6, Until: until}, start)
		p.DropStream(1, start)
		So(p.hasEligibleEngine(requestOf(1, 1, start), start), ShouldBeTrue)
		So(p.rests, ShouldBeEmpty)
	})
	Convey("Rests of engines that the pool does not have are ignored", t, func() {
		p := newTestPool(1, 0)
		So(p.SetRest(1, lifecycle.Rest{Endpoint: "e9", Until: until}, start), ShouldBeFalse)
		So(p.rests, ShouldBeEmpty)
	})
}
