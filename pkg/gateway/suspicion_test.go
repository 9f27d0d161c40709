package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSuspicion(t *testing.T) {
	Convey("A box that fails repeatedly is asked less often; the time is reset after it has worked for a while", t, func() {
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

// TestAbsences guards against boxes that stop asking a dispatcher only because many simultaneous
// requests are affected by one change of the endpoints that it has not received yet.
func TestAbsences(t *testing.T) {
	Convey("Many grants of absent engines make a box unfit once they continue for minAbsentTime", t, func() {
		now := time.Unix(0, 0)
		a := absentGrants{}
		for range 10 * minAbsentGrants {
			So(a.record(now), ShouldBeFalse)
		}
		So(a.record(now.Add(minAbsentTime)), ShouldBeTrue)
	})
	Convey("Two such grants do not, however far apart", t, func() {
		now := time.Unix(0, 0)
		a := absentGrants{}
		So(a.record(now), ShouldBeFalse)
		So(a.record(now.Add(time.Hour)), ShouldBeFalse)
	})
}
