package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWordTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	const shortTarget = 100 * time.Millisecond
	Convey("A box that reads responses late waits longer, even if all of them came too late", t, func() {
		r := responseTimes{}
		So(r.timeout(shortTarget), ShouldEqual, minResponseTimeout)
		for i := range 50 {
			id := fmt.Sprint(i)
			r.recordTimeout(id, start)
			r.recordLate(id, start.Add(60*time.Millisecond))
		}
		So(r.timeout(shortTarget), ShouldBeGreaterThan, 200*time.Millisecond)
		So(r.timedOut, ShouldBeEmpty)
		for range 100 {
			r.record(2 * time.Millisecond)
		}
		So(r.timeout(shortTarget), ShouldEqual, minResponseTimeout)
	})
	Convey("A dispatcher that hangs sends no late responses, so the timeout stays short", t, func() {
		r := responseTimes{}
		for i := range 5 * maxTimedOut {
			r.recordTimeout(fmt.Sprint(i), start)
		}
		So(r.timeout(shortTarget), ShouldEqual, minResponseTimeout)
		So(len(r.timedOut), ShouldBeLessThanOrEqualTo, maxTimedOut)
	})
	Convey("A request with a long latency target waits for a dispatcher that is stopped for more than a tenth of a second", t, func() {
		r := responseTimes{}
		for range 100 {
			r.record(2 * time.Millisecond)
		}
		So(r.timeout(600*time.Millisecond), ShouldEqual, 200*time.Millisecond)
		So(r.timeout(300*time.Millisecond), ShouldEqual, 100*time.Millisecond)
		So(r.timeout(10*time.Second), ShouldEqual, maxResponseTimeout)
	})
	Convey("The timeout leaves time to decide locally", t, func() {
		r := responseTimes{}
		for range 100 {
			r.record(time.Minute)
		}
		So(r.timeout(shortTarget), ShouldEqual, maxResponseTimeout)
	})
}
