package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// version is a simulated version, by the share of its responses that fail. It is at least that
// of the other versions.
type version struct {
	name string
	// bad returns the share of failing responses, by the time since the order, the version's
	// share of the requests, and the route.
	bad func(passed time.Duration, share float64, route string) float64
}

// oldBad is the share of failing responses of other versions.
const oldBad = 0.02

var (
	// goodVersion fails as often as the other versions.
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

// rule reaches a verdict from counts; Evaluator is one.
type rule interface {
	Evaluate(Counts, time.Time) Verdict
	Verdict() (Verdict, time.Time)
}

// fixedRatio is the simpler rule that Evaluator is compared with: a version is bad once a
// fixed share of its responses is, given a minimum number of them.
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
		if responses := tally.TargetGood + tally.TargetBad; responses >= minRatioResponses && float64(tally.TargetBad) > maxBadRatio*float64(responses) {
			f.Adopt(Halted, now)
		}
	}
	allGood := map[string]Tally{}
	for route, tally := range counts.Routes {
		allGood[route] = Tally{TargetGood: tally.TargetGood + tally.TargetBad, OldGood: tally.OldGood + tally.OldBad}
	}
	return f.Evaluator.Evaluate(Counts{Routes: allGood, OldRunning: counts.OldRunning}, now)
}

// simulationResult is the outcome of one simulated roll-out.
type simulationResult struct {
	verdict Verdict
	after   time.Duration
	// exposed is the share of all requests within the roll-out's time that went to the
	// version, and badResponses counts those of them that failed.
	exposed      float64
	badResponses int
	// lateBad counts the requests sent to the version more than five seconds after the
	// fiftieth bad response.
	lateBad int
}

// simulate runs a roll-out of a version, with a number of requests per second on two routes.
// The rule evaluates the counts twice a second.
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
						got.badResponses++
					} else {
						tally.TargetGood++
					}
					if got.badResponses >= 50 && fiftieth < 0 {
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

// draws is the number of simulated roll-outs of each kind.
const draws = 40

func TestJudge(t *testing.T) {
	Convey("Bad versions are rolled back after at most a tenth of the requests", t, func() {
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
	Convey("Good versions receive all requests in time", t, func() {
		for _, oldFails := range []float64{0, oldBad, 0.2} {
			for seed := range uint64(draws) {
				got := simulate(&Evaluator{Order: testOrder()}, testOrder(), goodVersion, 800, oldFails, rand.New(rand.NewPCG(seed, 2)))
				So(got.verdict, ShouldEqual, Moved)
			}
		}
	})
	Convey("A good version with few requests is approved by those few", t, func() {
		for seed := range uint64(draws) {
			good := simulate(&Evaluator{Order: testOrder()}, testOrder(), goodVersion, 100, 0, rand.New(rand.NewPCG(seed, 3)))
			So(good.verdict, ShouldEqual, Moved)
		}
	})
	Convey("A version without requests is rolled back when the time is over", t, func() {
		evaluator := &Evaluator{Order: testOrder()}
		at := testOrder().SeenAt
		So(evaluator.Evaluate(Counts{}, at.Add(11*time.Second)), ShouldEqual, Proving)
		So(evaluator.Evaluate(Counts{}, at.Add(12*time.Second)), ShouldEqual, Halted)
	})
	Convey("A final verdict does not change", t, func() {
		evaluator := &Evaluator{Order: testOrder()}
		evaluator.Adopt(RolledBack, testOrder().SeenAt)
		evaluator.Adopt(Completed, testOrder().SeenAt)
		So(evaluator.verdict, ShouldEqual, RolledBack)
	})
	Convey("Lower counts, as from a box that takes over, do not change the evidence", t, func() {
		e := &evidence{}
		e.update(Tally{TargetGood: 10, TargetBad: 2, OldGood: 50}, time.Unix(1, 0))
		before := e.logRatio
		So(e.update(Tally{TargetGood: 3}, time.Unix(2, 0)), ShouldBeFalse)
		So(e.logRatio, ShouldEqual, before)
	})
}

// TestRules logs how both rules perform on the same simulations.
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
	Convey("A response several times slower than those of other versions is bad", t, func() {
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
	Convey("A filter admits one version, all others, or any", t, func() {
		So(VersionFilter{}.Admits("v1"), ShouldBeTrue)
		So(VersionFilter{Version: "v2"}.Admits("v1"), ShouldBeFalse)
		So(VersionFilter{Version: "v2"}.Admits("v2"), ShouldBeTrue)
		So(VersionFilter{Version: "v2", Others: true}.Admits("v1"), ShouldBeTrue)
		So(VersionFilter{Version: "v2", Others: true}.Admits("v2"), ShouldBeFalse)
		So(VersionFilter{Version: "v2", Exact: true}.Admits("v2"), ShouldBeTrue)
		So(VersionFilter{Version: "v2", Exact: true}.Admits(""), ShouldBeFalse)
		So(VersionFilter{Exact: true}.Admits(""), ShouldBeTrue)
		So(VersionFilter{Exact: true}.Admits("v2"), ShouldBeFalse)
	})
}
