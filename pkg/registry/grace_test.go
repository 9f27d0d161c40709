package registry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/route"
)

func TestLapseOfSecondRemovalIsTold(t *testing.T) {
	Convey("A box that knew the entry between two removals is told that it is gone", t, func() {
		r, other := newRegistry(), newRegistry()
		now := baseTime
		r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 1, true, now)
		r.failedAt, r.recoveredAt = now, now
		gone := Entry{Endpoint: endpointOf("a"), Version: 5, Gone: true}
		r.applyReadNow([]Entry{gone}, 5, false, now)
		other.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 6}}, 6, true, now)
		gone.Version = 7
		r.applyReadNow([]Entry{gone}, 7, false, now)
		r.update(now.Add(time.Minute), func() bool { return false })
		So(has(r, "a"), ShouldBeFalse)
		entries, then, _ := r.EntriesSince(other.Knowledge().Known)
		other.OfferEntries(valuesOf(entries), then, "r")
		So(has(other, "a"), ShouldBeFalse)
	})
}

func TestLapseIsToldWithWhatWasHeardMeanwhile(t *testing.T) {
	Convey("A box that heard more while an entry lapses tells both, and each box drops it in time", t, func() {
		r, informed, late := newRegistry(), newRegistry(), newRegistry()
		now := time.Now()
		r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 1, true, now)
		r.failedAt, r.recoveredAt = now, now
		r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 5, Gone: true}}, 5, false, now)
		informed.applyReadNow(nil, 9, true, now)
		informed.knowledge.Base = 1
		(&testBox{Registry: r}).receive(&testBox{Registry: informed})
		(&testBox{Registry: late}).receive(&testBox{Registry: r})
		So(late.Knowledge().Known, ShouldEqual, 9)
		So(has(late, "a"), ShouldBeTrue)
		for _, box := range []*Registry{r, late} {
			box.update(now.Add(time.Minute), func() bool { return false })
			So(has(box, "a"), ShouldBeFalse)
		}
	})
}

// TestLapseKeepsTheLaterStart guards against an endpoint that goes back to an earlier start as it lapses.
func TestLapseKeepsTheLaterStart(t *testing.T) {
	Convey("What is known of the endpoint here stays, with the earlier of two ends", t, func() {
		r := newRegistry()
		now := time.Now()
		r.applyReadNow([]Entry{bornAt("a", 5, 8)}, 5, true, now)
		told := bornAt("a", 6, 7)
		told.GraceEnd = now.Add(time.Second)
		r.OfferEntries([]Entry{told}, route.Knowledge{Known: 6, Base: 1}, "peer")
		So(endpointIn(r, "a").Born, ShouldEqual, 8)
		told.Version, told.GraceEnd = 9, now.Add(time.Minute)
		r.OfferEntries([]Entry{told}, route.Knowledge{Known: 9, Base: 1}, "peer")
		r.update(now.Add(2*time.Second), func() bool { return false })
		So(has(r, "a"), ShouldBeFalse)
	})
}

// TestNewsDoesNotWaitForLapses guards against departures that other boxes hear of only when nothing
// counts as lapsed any more.
func TestNewsDoesNotWaitForLapses(t *testing.T) {
	Convey("Others hear at once of an endpoint that leaves while entries lapse one after the other", t, func() {
		r, other := newRegistry(), newRegistry()
		now := time.Now()
		var entries []Entry
		for i := range 6 {
			entries = append(entries, Entry{Endpoint: endpointOf(fmt.Sprint(i)), Version: epoch.Version(i + 1)})
		}
		r.applyReadNow(entries, 6, true, now)
		(&testBox{Registry: other}).receive(&testBox{Registry: r})
		for i := range 5 {
			now = now.Add(time.Second)
			r.recordEndpointsFailure(errStoreDown)
			r.failedAt = now
			r.recordEndpointsRead(now.Add(time.Millisecond))
			version := epoch.Version(10 + i)
			changed := []Entry{{Endpoint: endpointOf(fmt.Sprint(i)), Version: version, Gone: true}}
			if i == 2 {
				leaves := Entry{Endpoint: endpointOf("5"), Version: version}
				leaves.Leaving = true
				changed = append(changed, leaves)
			}
			r.applyReadNow(changed, version, false, now.Add(time.Millisecond))
			(&testBox{Registry: other}).receive(&testBox{Registry: r})
			So(endpointIn(other, "5").Leaving, ShouldEqual, i >= 2)
			So(other.Knowledge().Known, ShouldEqual, version)
		}
	})
}

// TestFailedCallsDoNotProlongLapses guards against endpoints that have left and are used for longer
// with each call of the store that fails.
func TestFailedCallsDoNotProlongLapses(t *testing.T) {
	Convey("What left between two looks, with failed calls in between, is not used beyond the time", t, func() {
		for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
			r := newRegistry()
			looked := time.Now()
			r.recordEndpointsRead(looked)
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 1, true, looked)
			r.failedAt = looked.Add(pause - 50*time.Millisecond)
			back := looked.Add(pause)
			r.recordEndpointsRead(back)
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 2, Gone: true}}, 2, false, back)
			r.update(looked.Add(defaultMaxLeavingDelay), func() bool { return false })
			So(has(r, "a"), ShouldBeFalse)
		}
	})
}

func TestReplacedAccountIsPassedOver(t *testing.T) {
	Convey("An account that comes late from a box does not bring back what has ended since", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 20, true, baseTime)
		r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 30, true, baseTime)
		r.OfferEntries([]Entry{{Endpoint: endpointOf("b"), Version: 22}}, route.Knowledge{Known: 23, Base: 1}, "peer")
		So(has(r, "a"), ShouldBeTrue)
		So(has(r, "b"), ShouldBeFalse)
	})
}
