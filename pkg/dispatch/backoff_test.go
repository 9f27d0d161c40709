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

// Engines that had turned a box away and asked it for rest got more from it within 100 ms, and
// one that had said in an answer that it leaves got requests as before: what they said in
// answers was not read. Once it is, the box that grants does not know it, or is lost with it.

// TestWords holds over drawn fleets, whichever way and whoever dispatches: nothing reaches an
// engine against its word; no engine is idle that takes work which waits; nothing waits that
// none takes; and callers come back when the first engine does, or later.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		way := backoffReporting(rapid.IntRange(int(notReported), int(reportedOnce)).Draw(t, "way"))
		s := newWordSimulation(engines, rapid.IntRange(1, 8).Draw(t, "boxes"), rapid.Uint64().Draw(t, "seed"), way)
		s.draw(s.rand, engines, rapid.Float64Range(0, 1).Draw(t, "full"), rapid.Float64Range(0, 0.5).Draw(t, "leaving"))
		s.callers(float64(engines)*rapid.Float64Range(0.2, 20).Draw(t, "load"), 12*time.Second)
		for range rapid.IntRange(0, 3).Draw(t, "losses") {
			s.at(s.now.Add(time.Duration(rapid.IntRange(1, 11000).Draw(t, "at"))*time.Millisecond), s.takeOver)
		}
		for tick := s.now.Add(time.Millisecond); tick.Before(s.now.Add(13 * time.Second)); tick = tick.Add(52 * time.Millisecond) {
			s.at(tick, func() {
				s.decide()
				if idle := s.idleWhileWaiting(); len(idle) > 0 {
					t.Fatalf("%v are idle while what they take waits", idle)
				}
				for _, req := range s.pool.waiting {
					if !s.pool.hasEligibleEngine(req, s.now) {
						t.Fatalf("a request waits that no engine takes")
					}
				}
			})
		}
		s.until(s.now.Add(time.Hour))
		if len(s.violations) > 0 {
			t.Fatalf("%d requests against an engine's word: %s", len(s.violations), s.violations[0])
		}
		if s.retriedEarly > 0 {
			t.Fatalf("%d callers were told to come back before the first engine does", s.retriedEarly)
		}
		if len(s.waiting) > 0 {
			t.Fatalf("%d requests were neither granted nor refused", len(s.waiting))
		}
	})
}

// TestRestWays compares the ways on the same drawn fleets, 60 of them with QUAYLEAD_FLEETS=60;
// -v prints the figures.
func TestRestWays(t *testing.T) {
	for _, load := range []float64{3, 14} {
		for way, name := range []string{notReported: "checked by the box that sends", inEachRequest: "named by each ask", reportedOnce: "told once"} {
			out := backoffSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 3 + draw.IntN(10)
				s := newWordSimulation(engines, 8, uint64(seed), backoffReporting(way))
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
			t.Logf("%-30s %2.0f a second and engine: %d asked, %d served, %d turned away by engines, %d handed back, %d refused (%d with room elsewhere), %d bytes in asks, %d against a word",
				name, load, out.requested, out.served, out.rejected, out.handedBack, out.refused, out.refusedDespiteRoom, out.requestBytes, len(out.violations))
			if len(out.violations) > 0 {
				t.Errorf("%s: %d requests against an engine's word", name, len(out.violations))
			}
		}
	}
}

// TestWhomRestsBind compares a rest that binds the box that was turned away with one that binds
// all, on the same drawn fleets, where engines turn all boxes away and where they turn away one
// only; 60 of them with QUAYLEAD_FLEETS=60; -v prints the figures.
func TestWhomRestsBind(t *testing.T) {
	for _, oneBox := range []bool{false, true} {
		for _, bindsAll := range []bool{false, true} {
			out := backoffSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 3 + draw.IntN(10)
				s := newWordSimulation(engines, 8, uint64(seed), reportedOnce)
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
			t.Logf("engines turn one box away: %t, a rest binds all: %t: %d asked, %d served, %d turned away by engines, %d refused (%d with room)",
				oneBox, bindsAll, out.requested, out.served, out.rejected, out.refused, out.refusedDespiteRoom)
			if oneBox && !bindsAll && out.refusedDespiteRoom > 0 {
				t.Errorf("%d requests of boxes that no engine turned away were refused with room", out.refusedDespiteRoom)
			}
		}
	}
}

// TestReturnAfterRest compares, for callers whose box rests from all engines, to come back when
// the first engine returns to that box, and to come back at once where another box may be
// served; 60 drawn fleets with QUAYLEAD_FLEETS=60; -v prints the figures.
func TestReturnAfterRest(t *testing.T) {
	for _, retries := range []int{1, 3} {
		for _, soonElsewhere := range []bool{false, true} {
			out := backoffSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 2 + draw.IntN(4)
				s := newWordSimulation(engines, 8, uint64(seed), reportedOnce)
				s.retries, s.retryElsewhere = retries, soonElsewhere
				s.draw(draw, engines, 1, 0)
				s.callers(float64(engines)*14, 12*time.Second)
				s.until(s.now.Add(time.Hour))
				out.requested += s.requested
				out.served += s.served
				out.rejected += s.rejected
				out.givenUp += s.givenUp
				out.cameBack += s.cameBack
				out.waited += s.waited
			}
			t.Logf("%d retries, at once where another box may be served: %t: %d asked, %d served, %d given up, %d turned away by engines; who came back was sent to an engine after %s",
				retries, soonElsewhere, out.requested, out.served, out.givenUp, out.rejected, out.waited/time.Duration(max(1, out.cameBack)))
		}
	}
}

func TestAllowed(t *testing.T) {
	until := start.Add(3 * time.Second)
	of := func(router uint64, number int, now time.Time) *Request {
		req := newRequest(fmt.Sprint(number), "a", now, Part{ID: uint64(number), Tokens: 1000})
		req.Stream = router
		return req
	}
	Convey("An engine's rest binds the router that it asked, and no other", t, func() {
		p := newTestPool(2, 0)
		So(p.SetBackoff(1, lifecycle.Rest{Endpoint: "e0", Until: until}, start), ShouldBeTrue)
		for i := range 4 {
			So(submit(p, of(1, i, start), start)[0].(Grant).Endpoint, ShouldEqual, "e1")
		}
		found := map[string]bool{}
		for i := range 4 {
			found[submit(p, of(2, 10+i, start), start)[0].(Grant).Endpoint] = true
		}
		So(found["e0"], ShouldBeTrue)
	})
	Convey("An engine that begins an older request rests on", t, func() {
		p := newTestPool(2, 0)
		first := submit(p, of(1, 1, start), start)[0].(Grant)
		p.SetBackoff(1, lifecycle.Rest{Endpoint: first.Endpoint, Until: until}, start)
		p.Begin("1", start.Add(time.Second))
		for i := range 4 {
			So(submit(p, of(1, 10+i, start.Add(time.Second)), start.Add(time.Second))[0].(Grant).Endpoint, ShouldNotEqual, first.Endpoint)
		}
	})
	Convey("Where all rest, a request is refused at once, until the first of them returns", t, func() {
		p := newTestPool(2, 0)
		p.SetBackoff(1, lifecycle.Rest{Endpoint: "e0", Until: until}, start)
		p.SetBackoff(1, lifecycle.Rest{Endpoint: "e1", Until: until.Add(time.Second)}, start)
		times := map[time.Duration]bool{}
		for i := range 20 {
			turn := submit(p, of(1, i, start), start)[0].(Refusal)
			So(turn.NoEligibleEngine, ShouldBeTrue)
			So(turn.RetryAfter, ShouldBeBetweenOrEqual, 3*time.Second, 3750*time.Millisecond)
			times[turn.RetryAfter] = true
		}
		So(len(times), ShouldBeGreaterThan, 10)
		So(submit(p, of(2, 100, start), start)[0], ShouldHaveSameTypeAs, Grant{})
	})
	Convey("One that returns while a request may wait is waited for", t, func() {
		p := newTestPool(1, 0)
		p.SetBackoff(1, lifecycle.Rest{Endpoint: "e0", Until: start.Add(100 * time.Millisecond)}, start)
		So(submit(p, of(1, 1, start), start), ShouldBeEmpty)
		So(p.Decide(start.Add(100 * time.Millisecond))[0], ShouldHaveSameTypeAs, Grant{})
	})
	Convey("A later start ends a rest, and so does the end of its router's stream", t, func() {
		p := newTestPool(1, 0)
		p.SetEndpoints([]route.Endpoint{{ID: "e0", Service: "llm", Slots: 64, Facts: lifecycle.Facts{Born: 5}}}, start)
		p.SetBackoff(1, lifecycle.Rest{Endpoint: "e0", Born: 5, Until: until}, start)
		So(p.hasEligibleEngine(of(1, 1, start), start), ShouldBeFalse)
		p.SetEndpoints([]route.Endpoint{{ID: "e0", Service: "llm", Slots: 64, Facts: lifecycle.Facts{Born: 6}}}, start)
		So(p.hasEligibleEngine(of(1, 1, start), start), ShouldBeTrue)
		p.SetBackoff(1, lifecycle.Rest{Endpoint: "e0", Born: 6, Until: until}, start)
		p.DropStream(1, start)
		So(p.hasEligibleEngine(of(1, 1, start), start), ShouldBeTrue)
		So(p.backoffs, ShouldBeEmpty)
	})
	Convey("Rests of engines that the pool does not have are not kept", t, func() {
		p := newTestPool(1, 0)
		So(p.SetBackoff(1, lifecycle.Rest{Endpoint: "e9", Until: until}, start), ShouldBeFalse)
		So(p.backoffs, ShouldBeEmpty)
	})
}
