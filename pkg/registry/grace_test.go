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
	Convey("A box that knew the entry between two removals learns that it is gone", t, func() {
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
		entries, knowledge, _ := r.EntriesSince(other.Knowledge().Known)
		other.OfferEntries(valuesOf(entries), knowledge, "r")
		So(has(other, "a"), ShouldBeFalse)
	})
}

func TestLapseIsToldWithWhatWasHeardMeanwhile(t *testing.T) {
	Convey("A box that receives more during a grace period forwards both, and each box drops the entry in time", t, func() {
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

// TestLapseKeepsTheLaterStart guards against an endpoint that falls back to an earlier instance as
// its grace period begins.
func TestLapseKeepsTheLaterStart(t *testing.T) {
	Convey("The known state of the endpoint stays, with the earlier of two ends of the grace period", t, func() {
		r := newRegistry()
		now := time.Now()
		r.applyReadNow([]Entry{bornAt("a", 5, 8)}, 5, true, now)
		reported := bornAt("a", 6, 7)
		reported.GraceEnd = now.Add(time.Second)
		r.OfferEntries([]Entry{reported}, route.Knowledge{Known: 6, Base: 1}, "peer")
		So(endpointIn(r, "a").Born, ShouldEqual, 8)
		reported.Version, reported.GraceEnd = 9, now.Add(time.Minute)
		r.OfferEntries([]Entry{reported}, route.Knowledge{Known: 9, Base: 1}, "peer")
		r.update(now.Add(2*time.Second), func() bool { return false })
		So(has(r, "a"), ShouldBeFalse)
	})
}

// TestNewsDoesNotWaitForLapses guards against departures that reach other boxes only when no entry
// is in its grace period any more.
func TestNewsDoesNotWaitForLapses(t *testing.T) {
	Convey("Others learn at once of an endpoint that leaves while one grace period follows the other", t, func() {
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
				leavingEntry := Entry{Endpoint: endpointOf("5"), Version: version}
				leavingEntry.Leaving = true
				changed = append(changed, leavingEntry)
			}
			r.applyReadNow(changed, version, false, now.Add(time.Millisecond))
			(&testBox{Registry: other}).receive(&testBox{Registry: r})
			So(endpointIn(other, "5").Leaving, ShouldEqual, i >= 2)
			So(other.Knowledge().Known, ShouldEqual, version)
		}
	})
}

// TestFailedCallsDoNotProlongLapses guards against endpoints that have left and are used for
// longer with each failed call of the store.
func TestFailedCallsDoNotProlongLapses(t *testing.T) {
	Convey("An endpoint that left between two polls, with failed calls in between, is not used for too long", t, func() {
		for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
			r := newRegistry()
			polledAt := time.Now()
			r.recordEndpointsRead(polledAt)
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 1, true, polledAt)
			r.failedAt = polledAt.Add(pause - 50*time.Millisecond)
			recoveredAt := polledAt.Add(pause)
			r.recordEndpointsRead(recoveredAt)
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 2, Gone: true}}, 2, false, recoveredAt)
			r.update(polledAt.Add(defaultMaxLeavingDelay), func() bool { return false })
			So(has(r, "a"), ShouldBeFalse)
		}
	})
}

func TestReplacedAccountIsPassedOver(t *testing.T) {
	Convey("A late entry from a box does not bring back an endpoint that has ended since", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 20, true, baseTime)
		r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, 30, true, baseTime)
		r.OfferEntries([]Entry{{Endpoint: endpointOf("b"), Version: 22}}, route.Knowledge{Known: 23, Base: 1}, "peer")
		So(has(r, "a"), ShouldBeTrue)
		So(has(r, "b"), ShouldBeFalse)
	})
}
