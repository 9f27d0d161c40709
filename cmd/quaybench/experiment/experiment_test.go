package experiment_test

import (
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/cmd/quaybench/experiment"
	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/pkg/settings"
)

// bin returns the folder into which `make test` builds the programs.
func bin(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs("../../../bin/test")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// TestWholePath sends model requests and bookings through real processes, without
// faults, and expects a complete response to each.
func TestWholePath(t *testing.T) {
	Convey("Given a small fleet and a light load", t, func() {
		e := experiment.Default()
		e.Title = "whole path"
		e.Length = settings.Duration{Duration: 2 * time.Second}
		e.Fleet.Routers = 3
		e.Fleet.Engines = 2
		e.Fleet.Services = 1
		e.Sources = []load.Source{
			{Customer: "ward", Rate: 20, InputTokens: [2]int{20, 50}, OutputTokens: [2]int{5, 20}},
			{Customer: "camp", Rate: 20, InputTokens: [2]int{20, 50}, OutputTokens: [2]int{5, 20}},
			{Customer: "desk", Rate: 20, Plain: true, Keyed: true},
		}
		run := &experiment.Run{Experiment: e, Seed: 7, Bin: bin(t), Dir: t.TempDir()}
		result, err := run.Do(t.Context())
		So(err, ShouldBeNil)
		Convey("every caller gets its complete response, and every count is zero", func() {
			So(result.Requests, ShouldBeGreaterThan, 0)
			So(result.Whole, ShouldEqual, result.Requests)
			So(result.Passed(), ShouldBeTrue)
		})
	})
}
