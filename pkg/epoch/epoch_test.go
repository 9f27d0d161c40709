package epoch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestVersions(t *testing.T) {
	Convey("Versions are ordered by epoch first, and return their epoch and counter", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			epochs, counters := rapid.Uint64Range(0, MaxEpoch), rapid.Uint64Range(0, MaxCounter)
			e, c := epochs.Draw(t, "epoch"), counters.Draw(t, "counter")
			f, d := epochs.Draw(t, "another epoch"), counters.Draw(t, "another counter")
			a, b := Join(e, c), Join(f, d)
			if a.Epoch() != e || a.Counter() != c {
				t.Fatalf("%d, %d became %s", e, c, a)
			}
			if (a < b) != (e < f || (e == f && c < d)) || a.HasEarlierEpochThan(b) != (e < f) {
				t.Fatalf("%s and %s are in the wrong order", a, b)
			}
		})
	})
	Convey("In epoch 0, a version equals the counter", t, func() {
		So(Join(0, 14), ShouldEqual, 14)
		So(Join(0, 14).String(), ShouldEqual, "14")
		So(Join(2, 14).String(), ShouldEqual, "2:14")
	})
}
