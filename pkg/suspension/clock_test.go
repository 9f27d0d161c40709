package suspension

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClock(t *testing.T) {
	Convey("Suspensions are noticed once, from the first look on, and short ones together", t, func() {
		total, problem := time.Hour, error(nil)
		clock := &Clock{Total: func() (time.Duration, error) { return total, problem }}
		look := func(more time.Duration) time.Duration {
			total += more
			length, err := clock.Look()
			So(err, ShouldEqual, problem)
			return length
		}
		So(look(0), ShouldEqual, 0)
		So(look(Least-1), ShouldEqual, 0)
		So(look(1), ShouldEqual, Least)
		So(look(3*time.Second), ShouldEqual, 3*time.Second)
		So(look(0), ShouldEqual, 0)
		problem = errors.New("no such clock")
		So(look(time.Second), ShouldEqual, 0)
		problem = nil
		So(look(0), ShouldEqual, time.Second)
		So(clock.Noticed(), ShouldEqual, Least+4*time.Second)
	})
}
