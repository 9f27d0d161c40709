package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDecisionDelay guards against a dispatcher that spends its processor time on decisions while
// the messages of routers wait.
func TestDecisionDelay(t *testing.T) {
	Convey("Short decisions follow each other at the usual interval", t, func() {
		So(decisionDelayAfter(0), ShouldEqual, decisionInterval)
		So(decisionDelayAfter(decisionInterval/8), ShouldEqual, decisionInterval)
	})
	Convey("Long ones take a quarter of the time", t, func() {
		So(decisionDelayAfter(3*time.Millisecond), ShouldEqual, 12*time.Millisecond)
	})
	Convey("A decision during which the box had no processor time delays the next one only a little", t, func() {
		So(decisionDelayAfter(time.Second), ShouldEqual, maxDecisionDelay)
	})
}
