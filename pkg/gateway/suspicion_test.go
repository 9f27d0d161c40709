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
			known = known.next(now)
			lengths = append(lengths, known.duration)
			now = known.until.Add(100 * time.Millisecond)
		}
		So(lengths, ShouldResemble, []time.Duration{
			minSuspectTime, 2 * minSuspectTime, 4 * minSuspectTime, maxSuspectTime, maxSuspectTime,
		})
		So(known.next(known.until.Add(suspectResetDelay)).duration, ShouldEqual, minSuspectTime)
	})
}

// TestAbsences guards against boxes that part, as some requests at once meet one change of the
// endpoints that the box that dispatches has not heard of yet.
func TestAbsences(t *testing.T) {
	Convey("Many grants of engines that are not there make a box unfit once they go on", t, func() {
		now := time.Unix(0, 0)
		a := absentGrants{}
		for range 10 * minAbsentGrants {
			So(a.record(now), ShouldBeFalse)
		}
		So(a.record(now.Add(minAbsentTime)), ShouldBeTrue)
	})
	Convey("Two do not, however far apart", t, func() {
		now := time.Unix(0, 0)
		a := absentGrants{}
		So(a.record(now), ShouldBeFalse)
		So(a.record(now.Add(time.Hour)), ShouldBeFalse)
	})
}
