package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDivergenceEnds guards against endpoints that a box uses forever though the store does not
// list them, whatever the cause.
func TestDivergenceEnds(t *testing.T) {
	Convey("Of boxes that know the same version", t, func() {
		now := time.Now()
		right, wrong := newRegistry(), newRegistry()
		listed := []Entry{{Endpoint: endpointOf("a"), Version: 1}, {Endpoint: endpointOf("b"), Version: 4}}
		for _, box := range []*Registry{right, wrong} {
			box.applyReadNow(listed, 9, true, now)
		}
		exchange := func() {
			right.ReceiveKnowledge(wrong.Knowledge(), wrong.NewestVersion())
			wrong.ReceiveKnowledge(right.Knowledge(), right.NewestVersion())
		}
		exchange()
		So(right.needsOwnRead(now.Add(time.Minute)), ShouldBeFalse)
		So(wrong.needsOwnRead(now.Add(time.Minute)), ShouldBeFalse)
		wrong.update(now, func() bool {
			wrong.put(Entry{Endpoint: endpointOf("left"), Version: 3})
			return true
		})
		exchange()
		Convey("the wrong one finds out by a full read, within the delay for leaving", func() {
			So(wrong.isDivergent(now.Add(defaultMaxLeavingDelay)), ShouldBeTrue)
			wrong.applyReadNow(listed, 9, true, now)
			So(has(wrong, "left"), ShouldBeFalse)
			exchange()
			So(wrong.needsOwnRead(now.Add(time.Minute)), ShouldBeFalse)
		})
		Convey("the wrong one does not retry at once while the store is down", func() {
			wrong.recordEndpointsFailure(errStoreDown)
			So(wrong.needsOwnRead(time.Now().Add(minDivergenceBackoff/2)), ShouldBeFalse)
			So(wrong.needsOwnRead(time.Now().Add(minDivergenceBackoff+time.Second)), ShouldBeTrue)
		})
		Convey("the other one does a full read as well, and then ever less often", func() {
			for minBackoff := minDivergenceBackoff; minBackoff < maxDivergenceBackoff; minBackoff *= 2 {
				So(right.isDivergent(now.Add(time.Hour)), ShouldBeTrue)
				right.applyReadNow(listed, 9, true, time.Now())
				So(right.divergence.backoff, ShouldBeGreaterThanOrEqualTo, minBackoff)
				exchange()
				So(right.isDivergent(now.Add(time.Hour)), ShouldBeFalse)
				right.divergence.ignoredUntil = time.Time{}
				exchange()
			}
		})
	})
}
