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

// TestAbsences guards against boxes that part, as some requests at once meet one change of the
// endpoints that the box that dispatches has not heard of yet.
func TestAbsences(t *testing.T) {
	Convey("Many grants of engines that are not there make a box unfit once they go on", t, func() {
		now := time.Unix(0, 0)
		a := absences{}
		for range 10 * mostAbsent {
			So(a.note(now), ShouldBeFalse)
		}
		So(a.note(now.Add(absentFor)), ShouldBeTrue)
	})
	Convey("Two do not, however far apart", t, func() {
		now := time.Unix(0, 0)
		a := absences{}
		So(a.note(now), ShouldBeFalse)
		So(a.note(now.Add(time.Hour)), ShouldBeFalse)
	})
}
