package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSuspicion(t *testing.T) {
	Convey("A box that fails again and again is asked less often, one that was well again is not", t, func() {
		now := time.Unix(1000, 0)
		known := suspicion{}
		var lengths []time.Duration
		for range 5 {
			known = known.again(now)
			lengths = append(lengths, known.length)
			now = known.until.Add(100 * time.Millisecond)
		}
		So(lengths, ShouldResemble, []time.Duration{
			suspectFor, 2 * suspectFor, 4 * suspectFor, suspectLongest, suspectLongest,
		})
		So(known.again(known.until.Add(suspectMemory)).length, ShouldEqual, suspectFor)
	})
}
