package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// work has a box wait for its processor for a time, from the one given.
func work(l *load, from time.Time, length, wait time.Duration) (until time.Time, began bool) {
	until = from.Add(length)
	for at := from; at.Before(until); at = at.Add(delayInterval) {
		l.note(wait)
		began = l.judge(at) || began
	}
	return until, began
}

func TestOverloadedBox(t *testing.T) {
	const well, hard = time.Millisecond, 300 * time.Millisecond
	start := time.Unix(1000, 0)
	Convey("A box whose work waits for the processor is not ready until it has caught up", t, func() {
		l := load{}
		now, began := work(&l, start, 5*time.Second, well)
		So(began, ShouldBeFalse)
		now, began = work(&l, now, delayInterval, hard)
		So(began, ShouldBeFalse)
		now, began = work(&l, now, time.Second, hard)
		So(began, ShouldBeTrue)
		So(l.busy(now), ShouldBeTrue)
		now, began = work(&l, now, 2*time.Second, well)
		So(began, ShouldBeFalse)
		So(l.busy(now), ShouldBeTrue)
		now, _ = work(&l, now, 2*time.Second, well)
		So(l.busy(now), ShouldBeFalse)
		_, began = work(&l, now, time.Second, hard)
		So(began, ShouldBeTrue)
	})
	Convey("Callers are asked to open new connections only once the balancer has noticed", t, func() {
		l := load{}
		now, _ := work(&l, start, time.Second, hard)
		So(l.busy(now), ShouldBeTrue)
		So(l.sheds(now), ShouldBeFalse)
		now, _ = work(&l, now, balancerDelay, hard)
		So(l.sheds(now), ShouldBeTrue)
		now, _ = work(&l, now, 10*time.Second, well)
		So(l.sheds(now), ShouldBeFalse)
	})
	Convey("Each byte that a box sends itself is noted, until it stops", t, func() {
		ctx, stop := context.WithTimeout(t.Context(), 3*delayInterval)
		defer stop()
		l := load{}
		So(l.measure(ctx, func() {}), ShouldBeNil)
		So(l.waited(), ShouldBeGreaterThan, 0)
	})
}
