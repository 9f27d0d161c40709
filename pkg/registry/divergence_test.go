package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDivergenceEnds guards against endpoints that a box uses for ever though the store does not list
// them, whatever the cause.
func TestDivergenceEnds(t *testing.T) {
	Convey("Of boxes that know the same version", t, func() {
		now := time.Now()
		right, wrong := newRegistry(), newRegistry()
		listed := []Entry{{Endpoint: endpointOf("a"), Version: 1}, {Endpoint: endpointOf("b"), Version: 4}}
		for _, box := range []*Registry{right, wrong} {
			box.takeRead(listed, 9, true, now)
		}
		hear := func() {
			right.HeardKnowledge(wrong.Knowledge(), wrong.Newest())
			wrong.HeardKnowledge(right.Knowledge(), right.Newest())
		}
		hear()
		So(right.lacks(now.Add(time.Minute)), ShouldBeFalse)
		So(wrong.lacks(now.Add(time.Minute)), ShouldBeFalse)
		wrong.update(now, func() bool {
			wrong.put(Entry{Endpoint: endpointOf("left"), Version: 3})
			return true
		})
		hear()
		Convey("the one that is wrong finds out by a reading of all, in the time for leaving", func() {
			So(wrong.isDivergent(now.Add(defaultLeavingTime)), ShouldBeTrue)
			wrong.takeRead(listed, 9, true, now)
			So(has(wrong, "left"), ShouldBeFalse)
			hear()
			So(wrong.lacks(now.Add(time.Minute)), ShouldBeFalse)
		})
		Convey("nor does it try again at once where the store is lost", func() {
			wrong.endpointsFailed(errStoreDown)
			So(wrong.lacks(time.Now().Add(divergenceRest/2)), ShouldBeFalse)
			So(wrong.lacks(time.Now().Add(divergenceRest+time.Second)), ShouldBeTrue)
		})
		Convey("the other one reads all as well, and then ever more seldom", func() {
			for rest := divergenceRest; rest < divergenceRestMost; rest *= 2 {
				So(right.isDivergent(now.Add(time.Hour)), ShouldBeTrue)
				right.takeRead(listed, 9, true, time.Now())
				So(right.divergence.rest, ShouldBeGreaterThanOrEqualTo, rest)
				hear()
				So(right.isDivergent(now.Add(time.Hour)), ShouldBeFalse)
				right.divergence.restUntil = time.Time{}
				hear()
			}
		})
	})
}
