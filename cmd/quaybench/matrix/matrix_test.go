package matrix_test

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/cmd/quaybench/matrix"
)

// TestReducedMatrix runs the faults that are most likely to reveal an error.
// `quaybench matrix` runs all.
func TestReducedMatrix(t *testing.T) {
	Convey("Every cell of the reduced matrix passes", t, func() {
		bin, err := filepath.Abs("../../../bin/test")
		So(err, ShouldBeNil)
		faults := matrix.FaultsNamed([]string{"answers truncated", "router killed", "store answers lost", "requests stalled"})
		So(len(faults), ShouldEqual, 4)
		m := &matrix.Matrix{Bin: bin, Dir: t.TempDir(), Faults: faults}
		cells, err := m.Run(t.Context())
		So(err, ShouldBeNil)
		So(len(cells), ShouldEqual, 8)
		for _, cell := range cells {
			SoMsg(cell.Fault+" "+string(cell.Moment), cell.Failures, ShouldBeEmpty)
		}
	})
}
