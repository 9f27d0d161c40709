package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// work lets a box use a part of its processor for a time, from the one given.
func work(l *load, from time.Time, length time.Duration, part float64) (until time.Time, began bool) {
	until = from.Add(length)
	for at := from; at.Before(until); at = at.Add(useInterval) {
		l.note(time.Duration(part*l.cores*float64(useInterval)), useInterval)
		began = l.judge(at) || began
	}
	return until, began
}

func TestOverloadedBox(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("A box whose processor is used up is not ready until it has caught up", t, func() {
		l := load{cores: 0.2}
		now, began := work(&l, start, 5*time.Second, 0.5)
		So(began, ShouldBeFalse)
		now, began = work(&l, now, 500*time.Millisecond, 1)
		So(began, ShouldBeFalse)
		now, began = work(&l, now, 4*time.Second, 1)
		So(began, ShouldBeTrue)
		So(l.busy(now), ShouldBeTrue)
		now, began = work(&l, now, 2*time.Second, 0.5)
		So(began, ShouldBeFalse)
		So(l.busy(now), ShouldBeTrue)
		now, _ = work(&l, now, 2*time.Second, 0.5)
		So(l.busy(now), ShouldBeFalse)
		_, began = work(&l, now, 4*time.Second, 1)
		So(began, ShouldBeTrue)
	})
	Convey("Callers are asked to open new connections only once the balancer has noticed", t, func() {
		l := load{cores: 0.2}
		now, _ := work(&l, start, 2*time.Second, 1)
		So(l.busy(now), ShouldBeTrue)
		So(l.sheds(now), ShouldBeFalse)
		now, _ = work(&l, now, noticeTime, 1)
		So(l.sheds(now), ShouldBeTrue)
		now, _ = work(&l, now, 10*time.Second, 0.1)
		So(l.sheds(now), ShouldBeFalse)
	})
	Convey("Without a known processor no box is overloaded", t, func() {
		l := load{}
		_, began := work(&l, start, 5*time.Second, 1)
		So(began, ShouldBeFalse)
	})
}
