package fleet_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/cmd/quaybench/fault"
	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/cmd/quaystand/engine"
	"github.com/quaylead/quaylead/cmd/quaystand/platform"
	"github.com/quaylead/quaylead/cmd/quaystand/truth"
	"github.com/quaylead/quaylead/pkg/settings"
)

var (
	modelSource = &load.Source{Customer: "ward"}
	plainSource = &load.Source{Customer: "ward", Plain: true, Keyed: true}
)

// smallPlan returns the plan of a fleet of three routers, two engines and one
// plain service, with a proxy on every link.
func smallPlan() fleet.Plan {
	return fleet.Plan{
		Routers:        3,
		Engines:        2,
		Services:       1,
		Slots:          4,
		DecodeInterval: settings.Duration{Duration: 10 * time.Millisecond},
		PrefillRate:    20000,
		ServiceLatency: settings.Duration{Duration: 20 * time.Millisecond},
		Customers:      map[string]settings.Customer{"ward": {}, "camp": {}},
		Proxied:        true,
		Box:            []string{"Limits.DrainWait=300ms", "Platform.Timeout=500ms"},
	}
}

// withFleet runs a test against a running fleet, and fails if the race detector
// reported a data race in one of its processes.
func withFleet(t *testing.T, plan fleet.Plan, test func(f *fleet.Fleet)) {
	t.Helper()
	bin, err := filepath.Abs("../../../bin/test")
	So(err, ShouldBeNil)
	f := &fleet.Fleet{Plan: plan, Bin: bin, Dir: t.TempDir()}
	So(f.Start(t.Context()), ShouldBeNil)
	defer f.Stop()
	test(f)
	races, err := f.Races()
	So(err, ShouldBeNil)
	So(races, ShouldBeEmpty)
}

// inBackground starts a request and returns a function that waits for its record.
func inBackground(ctx context.Context, caller *load.Runner, arrival load.Arrival) func() load.Record {
	var record load.Record
	group := errgroup.Group{}
	group.Go(func() error {
		record = caller.Call(ctx, arrival)
		return nil
	})
	return func() load.Record {
		So(group.Wait(), ShouldBeNil)
		return record
	}
}

// countEvents counts the events of a kind in the ground truth that match.
func countEvents(f *fleet.Fleet, kind truth.Kind, matches func(truth.Event) bool) (count int) {
	all, err := f.Truth()
	So(err, ShouldBeNil)
	for _, event := range all {
		if event.Kind == kind && matches(event) {
			count++
		}
	}
	return count
}

func ofRequest(id string) func(truth.Event) bool {
	return func(event truth.Event) bool { return event.Request == id }
}

func ofKey(key string) func(truth.Event) bool {
	return func(event truth.Event) bool { return event.Key == key }
}

// awaitEvent waits until the ground truth holds a matching event.
func awaitEvent(t *testing.T, f *fleet.Fleet, kind truth.Kind, matches func(truth.Event) bool) {
	So(fleet.Poll(t.Context(), func() (bool, error) {
		return countEvents(f, kind, matches) > 0, nil
	}), ShouldBeNil)
}

func TestAnswersAreWholeOrVisiblyCut(t *testing.T) {
	Convey("Given a fleet", t, func() {
		withFleet(t, smallPlan(), func(f *fleet.Fleet) {
			caller := f.Caller(20 * time.Second)
			long := load.Arrival{ID: "long", Input: 50, Output: 200, Source: modelSource}

			Convey("an engine killed in the middle of a stream leaves it visibly cut", func() {
				wait := inBackground(t.Context(), caller, long)
				awaitEvent(t, f, truth.First, ofRequest("long"))
				for _, e := range f.Engines {
					e.Kill()
				}
				record := wait()
				So(record.CleanEOF, ShouldBeFalse)
				So(record.Error, ShouldNotBeEmpty)
			})

			Convey("a stream that the network truncates is visibly cut", func() {
				for _, e := range f.Engines {
					So(f.Proxies.Inject(fleet.EndpointLink(e.Name), fault.Toxic{
						Type:       "limit_data",
						Attributes: map[string]int{"bytes": 5000},
					}), ShouldBeNil)
				}
				record := caller.Call(t.Context(), long)
				So(record.Tokens, ShouldBeGreaterThan, 0)
				So(record.CleanEOF, ShouldBeFalse)
				So(record.Crossed, ShouldBeFalse)
			})

			Convey("a caller that cancels its request frees the engine's slot", func() {
				ctx, cancel := context.WithCancel(t.Context())
				wait := inBackground(ctx, caller, long)
				awaitEvent(t, f, truth.First, ofRequest("long"))
				cancel()
				wait()
				awaitEvent(t, f, truth.Cancelled, ofRequest("long"))
			})
		})
	})
}

func TestNotRunIsTrue(t *testing.T) {
	Convey("Given a fleet", t, func() {
		withFleet(t, smallPlan(), func(f *fleet.Fleet) {
			caller := f.Caller(20 * time.Second)

			Convey("with all engines refusing connections, a refusal says not-run, and none ran", func() {
				for _, e := range f.Engines {
					So(f.Proxies.Refuse(fleet.EndpointLink(e.Name)), ShouldBeNil)
				}
				record := caller.Call(t.Context(), load.Arrival{ID: "a", Input: 10, Output: 5, Source: modelSource})
				So(record.Status, ShouldNotEqual, 200)
				So(record.RunStatus, ShouldEqual, "not-run")
				So(countEvents(f, truth.Started, ofRequest("a")), ShouldEqual, 0)
			})

			Convey("when the service's response is lost, a refusal says unknown, and the call is not retried", func() {
				So(f.Proxies.Inject(fleet.EndpointLink(f.Services[0].Name), fault.Toxic{
					Type:       "limit_data",
					Attributes: map[string]int{"bytes": 10},
				}), ShouldBeNil)
				record := caller.Call(t.Context(), load.Arrival{ID: "b", Key: "b", Source: plainSource})
				So(record.Status, ShouldNotEqual, 200)
				So(record.RunStatus, ShouldEqual, "unknown")
				So(countEvents(f, truth.Started, ofKey("b")), ShouldEqual, 1)
				Convey("and neither is a repeated call through another router", func() {
					So(f.Proxies.Heal(fleet.EndpointLink(f.Services[0].Name)), ShouldBeNil)
					record := caller.Call(t.Context(), load.Arrival{ID: "b2", Key: "b", Router: 1, Source: plainSource})
					So(record.Code, ShouldEqual, "outcome_unknown")
					So(record.RunStatus, ShouldEqual, "unknown")
					So(countEvents(f, truth.Started, ofKey("b")), ShouldEqual, 1)
				})
			})
		})
	})
}

func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	Convey("Given a fleet", t, func() {
		withFleet(t, smallPlan(), func(f *fleet.Fleet) {
			caller := f.Caller(20 * time.Second)

			Convey("the same call through all routers at once, with store responses lost, runs once", func() {
				So(f.Platform.Control(platform.Faults{LoseAnswers: 0.5}), ShouldBeNil)
				group := errgroup.Group{}
				for key := range 20 {
					for router := range 3 {
						group.Go(func() error {
							name := fmt.Sprintf("key-%d", key)
							caller.Call(t.Context(), load.Arrival{
								ID: fmt.Sprintf("%s-%d", name, router), Key: name, Router: router, Source: plainSource,
							})
							return nil
						})
					}
				}
				So(group.Wait(), ShouldBeNil)
				for key := range 20 {
					So(countEvents(f, truth.Started, ofKey(fmt.Sprintf("key-%d", key))), ShouldBeLessThanOrEqualTo, 1)
				}
			})

			Convey("a repeated call gets the stored outcome from every router", func() {
				first := caller.Call(t.Context(), load.Arrival{ID: "r0", Key: "r", Source: plainSource})
				So(first.Complete, ShouldBeTrue)
				for router := range 3 {
					repeat := caller.Call(t.Context(), load.Arrival{ID: "again", Key: "r", Router: router, Source: plainSource})
					So(repeat.Status, ShouldEqual, 200)
					So(repeat.Runs, ShouldEqual, 1)
				}
				So(countEvents(f, truth.Started, ofKey("r")), ShouldEqual, 1)
			})

			Convey("with the store down, a keyed call is refused as not run", func() {
				So(f.Platform.Control(platform.Faults{Outage: true}), ShouldBeNil)
				record := caller.Call(t.Context(), load.Arrival{
					ID: "d", Key: "d", Source: plainSource, Timeout: 2 * time.Second,
				})
				So(record.Code, ShouldEqual, "store_unavailable")
				So(record.RunStatus, ShouldEqual, "not-run")
				So(countEvents(f, truth.Started, ofKey("d")), ShouldEqual, 0)
			})

			Convey("a router that is paused while its call is sent does not run it a second time", func() {
				So(f.Proxies.Inject(fleet.EndpointLink(f.Services[0].Name), fault.Toxic{
					Type: "latency", Upstream: true, Attributes: map[string]int{"latency": 500},
				}), ShouldBeNil)
				wait := inBackground(t.Context(), caller, load.Arrival{ID: "p0", Key: "p", Source: plainSource})
				So(fleet.Poll(t.Context(), func() (bool, error) {
					counts, err := f.PlatformCounts()
					return counts.Writes > 0, err
				}), ShouldBeNil)
				So(f.Routers[0].Pause(), ShouldBeNil)
				repeat := caller.Call(t.Context(), load.Arrival{ID: "p1", Key: "p", Router: 1, Source: plainSource})
				So(f.Routers[0].Continue(), ShouldBeNil)
				wait()
				So(countEvents(f, truth.Started, ofKey("p")), ShouldBeLessThanOrEqualTo, 1)
				So(repeat.RunStatus, ShouldBeIn, "unknown", "run")
			})
		})
	})
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	Convey("Given a fleet under load whose platform is down", t, func() {
		withFleet(t, smallPlan(), func(f *fleet.Fleet) {
			So(f.Platform.Control(platform.Faults{Outage: true}), ShouldBeNil)
			caller := f.Caller(20 * time.Second)
			leaving := true
			So(f.Engines[0].Control(engine.Control{Leaving: &leaving}), ShouldBeNil)

			Convey("the other engine responds to the requests, and once routers have learned of the departure, none is sent to the leaving one", func() {
				call := func(id string) {
					record := caller.Call(t.Context(), load.Arrival{ID: id, Input: 10, Output: 3, Source: modelSource})
					So(record.Complete, ShouldBeTrue)
				}
				for i := range 20 {
					call(fmt.Sprintf("early-%d", i))
				}
				refused := countEvents(f, truth.Refused, func(truth.Event) bool { return true })
				for i := range 20 {
					call(fmt.Sprintf("late-%d", i))
				}
				So(countEvents(f, truth.Refused, func(truth.Event) bool { return true }), ShouldEqual, refused)
			})
		})
	})
}

func TestPlannedStopCutsNothing(t *testing.T) {
	Convey("Given a fleet with requests in flight", t, func() {
		withFleet(t, smallPlan(), func(f *fleet.Fleet) {
			caller := f.Caller(20 * time.Second)
			waits := make([]func() load.Record, 0, 6)
			for i := range 6 {
				id := fmt.Sprintf("s%d", i)
				waits = append(waits, inBackground(t.Context(), caller,
					load.Arrival{ID: id, Input: 20, Output: 100, Source: modelSource}))
				awaitEvent(t, f, truth.Started, ofRequest(id))
			}

			Convey("a planned stop finishes all of them and the process exits with status 0", func() {
				So(f.Routers[0].Terminate(), ShouldBeNil)
				for _, wait := range waits {
					So(wait().Complete, ShouldBeTrue)
				}
				So(f.Routers[0].Wait(), ShouldEqual, 0)
			})
		})
	})
}

func TestPlannedStopEndsAtItsLimit(t *testing.T) {
	Convey("Given a fleet whose planned stops may take half a second, and a longer stream", t, func() {
		plan := smallPlan()
		plan.Box = append(plan.Box, "Limits.DrainTimeout=500ms")
		withFleet(t, plan, func(f *fleet.Fleet) {
			wait := inBackground(t.Context(), f.Caller(20*time.Second),
				load.Arrival{ID: "long", Input: 20, Output: 500, Source: modelSource})
			awaitEvent(t, f, truth.First, ofRequest("long"))

			Convey("the process exits with status 1, logs what was left, and the stream is visibly cut", func() {
				So(f.Routers[0].Terminate(), ShouldBeNil)
				So(f.Routers[0].Wait(), ShouldEqual, 1)
				So(f.Routers[0].LogTail(), ShouldContainSubstring, "planned stop passed its limit\" InFlight=1")
				So(wait().CleanEOF, ShouldBeFalse)
			})
		})
	})
}

func TestAcceptedSettingsAreInForceEverywhere(t *testing.T) {
	Convey("Given a fleet", t, func() {
		withFleet(t, smallPlan(), func(f *fleet.Fleet) {
			apply := func(args ...string) (int, string) {
				return f.Quayctl(0, append([]string{"apply", f.TreeFile(), "--wait"}, args...)...)
			}
			status, output := apply("--expect", "0")
			So(output, ShouldContainSubstring, "in force on 3 boxes")
			So(status, ShouldEqual, 0)

			Convey("of concurrent changes exactly one gets the revision, and the others get a conflict", func() {
				results := make([]int, 4)
				group := errgroup.Group{}
				for i := range results {
					group.Go(func() error {
						results[i], _ = apply("--expect", "1")
						return nil
					})
				}
				So(group.Wait(), ShouldBeNil)
				won := 0
				for _, result := range results {
					So(result, ShouldBeIn, 0, 3)
					if result == 0 {
						won++
					}
				}
				So(won, ShouldEqual, 1)
			})

			Convey("after the response to a write is lost, quayctl reads whether the write took effect", func() {
				So(f.Platform.Control(platform.Faults{LoseAnswers: 1}), ShouldBeNil)
				status, output := apply("--expect", "1")
				So(output, ShouldContainSubstring, "in force on 3 boxes")
				So(status, ShouldEqual, 0)
			})

			Convey("a box that starts empty with the store down takes the revision of its peers", func() {
				So(f.Platform.Control(platform.Faults{Outage: true}), ShouldBeNil)
				f.Routers[2].Kill()
				So(f.Routers[2].Start(), ShouldBeNil)
				So(fleet.Poll(t.Context(), func() (bool, error) {
					status, err := f.Routers[2].Status()
					return err == nil && status.Revision == 1, nil
				}), ShouldBeNil)
			})

			Convey("a box cut off from its peers and the store gets the newest revision once it reaches a peer", func() {
				So(f.Partition([]int{2}), ShouldBeNil)
				So(f.Proxies.Cut(fleet.PlatformLink(f.Routers[2].Name)), ShouldBeNil)
				status, output := f.Quayctl(0, "apply", f.TreeFile(), "--expect", "1")
				So(output, ShouldContainSubstring, "2")
				So(status, ShouldEqual, 0)
				cutOff, err := f.Routers[2].Status()
				So(err, ShouldBeNil)
				So(cutOff.Revision, ShouldEqual, 1)
				So(f.Rejoin(), ShouldBeNil)
				So(fleet.Poll(t.Context(), func() (bool, error) {
					status, err := f.Routers[2].Status()
					return err == nil && status.Revision == 2, nil
				}), ShouldBeNil)
			})
		})
	})
}
