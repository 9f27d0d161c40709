package suspension

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClock(t *testing.T) {
	Convey("Suspensions since the first call are returned once, and short ones are added up", t, func() {
		total, problem := time.Hour, error(nil)
		clock := &Clock{Total: func() (time.Duration, error) { return total, problem }}
		measure := func(more time.Duration) time.Duration {
			total += more
			length, err := clock.Measure()
			So(err, ShouldEqual, problem)
			return length
		}
		So(measure(0), ShouldEqual, 0)
		So(measure(MinLength-1), ShouldEqual, 0)
		So(measure(1), ShouldEqual, MinLength)
		So(measure(3*time.Second), ShouldEqual, 3*time.Second)
		So(measure(0), ShouldEqual, 0)
		problem = errors.New("no such clock")
		So(measure(time.Second), ShouldEqual, 0)
		problem = nil
		So(measure(0), ShouldEqual, time.Second)
		So(clock.Detected(), ShouldEqual, MinLength+4*time.Second)
	})
}
