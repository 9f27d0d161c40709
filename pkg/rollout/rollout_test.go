package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// version is a drawn one: how its answers fail, where those of the others do not fail more.
type version struct {
	name string
	// bad is the part of its answers that fail, by the time since the order, the part of
	// the requests that it gets, and the route.
	bad func(passed time.Duration, share float64, route string) float64
}

// oldBad is the part of the answers of other versions that fail.
const oldBad = 0.02

var (
	// goodVersion fails as the others do.
	goodVersion = version{"good", func(time.Duration, float64, string) float64 { return 0 }}
	badVersions = []version{
		{"from the start", func(time.Duration, float64, string) float64 { return 0.3 }},
		{"wholly", func(time.Duration, float64, string) float64 { return 1 }},
		{"later", func(passed time.Duration, _ float64, _ string) float64 {
			if passed > 7*time.Second {
				return 0.3
			}
			return oldBad
		}},
		{"under load", func(_ time.Duration, share float64, _ string) float64 {
			if share > 0.3 {
				return 0.3
			}
			return oldBad
		}},
		{"on one route", func(_ time.Duration, _ float64, route string) float64 {
			if route == "a" {
				return 0.4
			}
			return oldBad
		}},
	}
)

// rule decides by counts; Judge is one.
type rule interface {
	Evaluate(Counts, time.Time) Verdict
	Verdict() (Verdict, time.Time)
}

// fixedRatio is the rule that was weighed against Judge: a version is bad once a fixed part
// of a least number of its answers is.
type fixedRatio struct {
	Evaluator
}

const (
	maxBadRatio       = 0.1
	minRatioResponses = 20
)

func (f *fixedRatio) Evaluate(counts Counts, now time.Time) Verdict {
	all := Tally{}
	for _, tally := range counts.Routes {
		all.Add(tally)
		if answered := tally.TargetGood + tally.TargetBad; answered >= minRatioResponses && float64(tally.TargetBad) > maxBadRatio*float64(answered) {
			f.Adopt(Halted, now)
		}
	}
	quiet := map[string]Tally{}
	for route, tally := range counts.Routes {
		quiet[route] = Tally{TargetGood: tally.TargetGood + tally.TargetBad, OldGood: tally.OldGood + tally.OldBad}
	}
	return f.Evaluator.Evaluate(Counts{Routes: quiet, OldRunning: counts.OldRunning}, now)
}

// played is what came of one drawn roll-out.
type simulationResult struct {
	verdict Verdict
	after   time.Duration
	// exposed is the part of all requests up to the end of the time that went to the
	// version, and badAnswers those of them that failed.
	exposed    float64
	badAnswers int
	// lateBad are the requests sent there more than five seconds after the fiftieth bad
	// answer.
	lateBad int
}

// play has a rule decide on a drawn version, told twice a second, with some requests a
// second on two routes.
func simulate(r rule, order Order, v version, perSecond int, oldFails float64, draw *rand.Rand) (got simulationResult) {
	const step, evaluateInterval = 20 * time.Millisecond, 500 * time.Millisecond
	counts := Counts{Routes: map[string]Tally{}}
	total, target := 0, 0
	fiftieth := time.Duration(-1)
	for passed := time.Duration(0); passed <= order.Within; passed += step {
		now := order.SeenAt.Add(passed)
		if passed%evaluateInterval == 0 {
			if before, _ := r.Verdict(); before < Moved && r.Evaluate(counts, now) >= Moved {
				got.after = passed
			}
		}
		verdict, since := r.Verdict()
		if since.IsZero() {
			since = order.SeenAt
		}
		share := order.Share(verdict, since, now)
		for _, route := range []string{"a", "b"} {
			for range perSecond * int(step/time.Millisecond) / 2000 {
				total++
				tally := counts.Routes[route]
				if draw.Float64() >= share {
					if draw.Float64() < oldFails {
						tally.OldBad++
					} else {
						tally.OldGood++
					}
				} else {
					target++
					if fiftieth >= 0 && passed > fiftieth+5*time.Second {
						got.lateBad++
					}
					if draw.Float64() < max(v.bad(passed, share, route), oldFails) {
						tally.TargetBad++
						got.badAnswers++
					} else {
						tally.TargetGood++
					}
					if got.badAnswers >= 50 && fiftieth < 0 {
						fiftieth = passed
					}
				}
				counts.Routes[route] = tally
			}
		}
	}
	got.verdict, _ = r.Verdict()
	got.exposed = float64(target) / float64(total)
	return got
}

func testOrder() Order {
	return Order{Service: "llm", Target: "v2", Version: 7, Within: 12 * time.Second, SeenAt: time.Unix(1000, 0)}
}

// draws is the number of drawn roll-outs of each kind.
const draws = 40

func TestJudge(t *testing.T) {
	Convey("Bad versions are rolled back, with a tenth of the requests at the most", t, func() {
		for _, v := range badVersions {
			for _, perSecond := range []int{200, 800} {
				for seed := range uint64(draws) {
					got := simulate(&Evaluator{Order: testOrder()}, testOrder(), v, perSecond, oldBad, rand.New(rand.NewPCG(seed, 1)))
					So(fmt.Sprintf("%s, seed %d: %s", v.name, seed, got.verdict), ShouldEqual, fmt.Sprintf("%s, seed %d: %s", v.name, seed, Halted))
					So(got.exposed, ShouldBeLessThan, 0.1)
					So(got.lateBad, ShouldEqual, 0)
				}
			}
		}
	})
	Convey("Good versions have all requests in time", t, func() {
		for _, oldFails := range []float64{0, oldBad, 0.2} {
			for seed := range uint64(draws) {
				got := simulate(&Evaluator{Order: testOrder()}, testOrder(), goodVersion, 800, oldFails, rand.New(rand.NewPCG(seed, 2)))
				So(got.verdict, ShouldEqual, Moved)
			}
		}
	})
	Convey("One that all but few requests pass by is decided on by those few", t, func() {
		for seed := range uint64(draws) {
			good := simulate(&Evaluator{Order: testOrder()}, testOrder(), goodVersion, 100, 0, rand.New(rand.NewPCG(seed, 3)))
			So(good.verdict, ShouldEqual, Moved)
		}
	})
	Convey("One that gets no requests is rolled back when the time is over", t, func() {
		evaluator := &Evaluator{Order: testOrder()}
		at := testOrder().SeenAt
		So(evaluator.Evaluate(Counts{}, at.Add(11*time.Second)), ShouldEqual, Proving)
		So(evaluator.Evaluate(Counts{}, at.Add(12*time.Second)), ShouldEqual, Halted)
	})
	Convey("What is final stays", t, func() {
		evaluator := &Evaluator{Order: testOrder()}
		evaluator.Adopt(RolledBack, testOrder().SeenAt)
		evaluator.Adopt(Completed, testOrder().SeenAt)
		So(evaluator.verdict, ShouldEqual, RolledBack)
	})
	Convey("A box that takes over and knows less takes nothing back", t, func() {
		e := &evidence{}
		e.update(Tally{TargetGood: 10, TargetBad: 2, OldGood: 50}, time.Unix(1, 0))
		before := e.logRatio
		So(e.update(Tally{TargetGood: 3}, time.Unix(2, 0)), ShouldBeFalse)
		So(e.logRatio, ShouldEqual, before)
	})
}

// TestRules prints what both rules come to on the same draws.
func TestRules(t *testing.T) {
	kinds := append([]version{goodVersion}, badVersions...)
	for _, oldFails := range []float64{oldBad, 0.2} {
		for _, v := range kinds {
			for _, name := range []string{"sequential", "fixed ratio"} {
				right, after, exposed, late := 0, time.Duration(0), 0.0, 0
				for seed := range uint64(draws) {
					var r rule = &Evaluator{Order: testOrder()}
					if name == "fixed ratio" {
						r = &fixedRatio{Evaluator{Order: testOrder()}}
					}
					got := simulate(r, testOrder(), v, 800, oldFails, rand.New(rand.NewPCG(seed, 4)))
					if (got.verdict == Moved) == (v.name == goodVersion.name) {
						right++
					}
					after += got.after / draws
					exposed += got.exposed / draws
					late += got.lateBad
				}
				t.Logf("others fail %.2f, %-14s %-11s right %d/%d, decided after %s, exposed %.3f, late %d", oldFails, v.name, name, right, draws, after.Round(100*time.Millisecond), exposed, late)
			}
		}
	}
}

func TestAnswers(t *testing.T) {
	Convey("An answer several times slower than those of other versions is bad", t, func() {
		a := ResponseStats{}
		for range 20 {
			a.Record("r", false, false, 50*time.Millisecond)
		}
		a.Record("r", true, false, 60*time.Millisecond)
		a.Record("r", true, false, 400*time.Millisecond)
		a.Record("r", true, true, time.Millisecond)
		So(a.Tallies()["r"], ShouldResemble, Tally{TargetGood: 1, TargetBad: 2, OldGood: 20})
	})
}

func TestSide(t *testing.T) {
	Convey("A side admits one version, all others, or any", t, func() {
		So(VersionFilter{}.Admits("v1"), ShouldBeTrue)
		So(VersionFilter{Version: "v2"}.Admits("v1"), ShouldBeFalse)
		So(VersionFilter{Version: "v2"}.Admits("v2"), ShouldBeTrue)
		So(VersionFilter{Version: "v2", Others: true}.Admits("v1"), ShouldBeTrue)
		So(VersionFilter{Version: "v2", Others: true}.Admits("v2"), ShouldBeFalse)
	})
}
