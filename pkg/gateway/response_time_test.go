package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWordTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	const shortAim = 100 * time.Millisecond
	Convey("A box that hears late waits longer, also when all words came too late", t, func() {
		w := responseTimes{}
		So(w.timeout(shortAim), ShouldEqual, minResponseTimeout)
		for i := range 50 {
			id := fmt.Sprint(i)
			w.recordTimeout(id, start)
			w.recordLate(id, start.Add(60*time.Millisecond))
		}
		So(w.timeout(shortAim), ShouldBeGreaterThan, 200*time.Millisecond)
		So(w.timedOut, ShouldBeEmpty)
		for range 100 {
			w.record(2 * time.Millisecond)
		}
		So(w.timeout(shortAim), ShouldEqual, minResponseTimeout)
	})
	Convey("A box that hangs gives no late words, so patience stays short", t, func() {
		w := responseTimes{}
		for i := range 5 * maxTimedOut {
			w.recordTimeout(fmt.Sprint(i), start)
		}
		So(w.timeout(shortAim), ShouldEqual, minResponseTimeout)
		So(len(w.timedOut), ShouldBeLessThanOrEqualTo, maxTimedOut)
	})
	Convey("Who has time waits for a box that stands still for more than a tenth of a second", t, func() {
		w := responseTimes{}
		for range 100 {
			w.record(2 * time.Millisecond)
		}
		So(w.timeout(600*time.Millisecond), ShouldEqual, 200*time.Millisecond)
		So(w.timeout(300*time.Millisecond), ShouldEqual, 100*time.Millisecond)
		So(w.timeout(10*time.Second), ShouldEqual, maxResponseTimeout)
	})
	Convey("Patience leaves time to decide alone", t, func() {
		w := responseTimes{}
		for range 100 {
			w.record(time.Minute)
		}
		So(w.timeout(shortAim), ShouldEqual, maxResponseTimeout)
	})
}
