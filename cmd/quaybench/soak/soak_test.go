package soak_test

import (
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/cmd/quaybench/soak"
)

// TestShortSoak runs the soak for a short time; `quaybench soak` runs longer ones.
func TestShortSoak(t *testing.T) {
	Convey("A fleet of processes keeps its guarantees through some seconds of faults", t, func() {
		bin, err := filepath.Abs("../../../bin/test")
		So(err, ShouldBeNil)
		run := &soak.Soak{
			Bin: bin, Dir: t.TempDir(), Seed: 1, Length: 8 * time.Second,
			Boxes: 3, Callers: 8, Progress: t.Output(),
		}
		verdict, err := run.Run(t.Context())
		So(err, ShouldBeNil)
		So(verdict.Violations, ShouldBeEmpty)
		So(verdict.Faults, ShouldBeGreaterThan, 0)
		So(verdict.Completed, ShouldBeGreaterThan, 0)
	})
}
