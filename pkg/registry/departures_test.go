package registry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// These tests guard against requests to an engine that stated in a response that it leaves. It once
// received requests for as long as the store was down, because only its row in the store was used.

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRegistry() *Registry {
	return &Registry{Log: zap.NewNop(), Changed: func() {}}
}

func rowOf(version epoch.Version, born int64, leaving bool) Entry {
	return Entry{Version: version, Endpoint: route.Endpoint{ID: "e", Address: "10.0.0.1:80", Facts: lifecycle.Facts{Born: born, Leaving: leaving}}}
}

// TestDepartureHolds applies rows, removals, statements in responses and reports of other boxes in
// random order. Once a response of an instance stated that it leaves, no directory may admit
// requests to it until a later instance is known.
func TestDepartureHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistry()
		now, version, newest := baseTime, epoch.Version(0), int64(1)
		latestLeaving := int64(0)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			version++
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				born := newest - int64(rapid.IntRange(0, 1).Draw(t, "older"))
				r.applyReadNow([]Entry{rowOf(version, born, rapid.IntRange(0, 3).Draw(t, "leaving") == 0)}, version, false, now)
			case 2:
				newest++
			case 3:
				gone := rowOf(version, newest, false)
				gone.Gone = true
				r.applyReadNow([]Entry{gone}, version, false, now)
			case 4:
				r.recordEndpointsFailure(errStoreDown)
				r.failedAt = now
			case 5:
				if directory := r.Directory(); directory != nil {
					if known, listed := directory.Find("e"); listed {
						r.RecordDeparture(&known, now)
						latestLeaving = max(latestLeaving, known.Born)
					}
				}
			case 6:
				born := newest - int64(rapid.IntRange(0, 1).Draw(t, "late"))
				r.OfferDepartures([]lifecycle.Departure{{Endpoint: "e", Born: born, Age: time.Second}}, "peer", now)
				if known, listed := r.entries.find("e"); !listed || known.Born <= born {
					latestLeaving = max(latestLeaving, born)
				}
			}
			if directory := r.Directory(); directory != nil && latestLeaving > 0 {
				if known, listed := directory.Find("e"); listed && known.Born <= latestLeaving && known.Admits() {
					t.Fatalf("instance %d admits requests though instance %d stated that it leaves", known.Born, latestLeaving)
				}
			}
		}
	})
}

func TestDepartures(t *testing.T) {
	leaving := func(r *Registry) bool { return endpointIn(r, "e").Leaving }
	Convey("An endpoint that states in a response that it leaves counts as leaving, whatever its row says", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{rowOf(1, 0, false)}, 1, true, baseTime)
		known := endpointIn(r, "e")
		So(r.RecordDeparture(&known, baseTime), ShouldBeTrue)
		So(leaving(r), ShouldBeTrue)
		So(r.RecordDeparture(&known, baseTime), ShouldBeFalse)
		r.applyReadNow([]Entry{rowOf(2, 0, false)}, 2, false, baseTime.Add(time.Hour))
		So(leaving(r), ShouldBeTrue)
		r.applyReadNow([]Entry{rowOf(3, 0, false)}, 3, true, baseTime.Add(time.Hour))
		So(leaving(r), ShouldBeTrue)
	})
	Convey("A later instance takes requests, and the departure of an earlier one is not recorded", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{rowOf(1, 5, false)}, 1, true, baseTime)
		known := endpointIn(r, "e")
		r.RecordDeparture(&known, baseTime)
		r.applyReadNow([]Entry{rowOf(2, 6, false)}, 2, false, baseTime)
		So(leaving(r), ShouldBeFalse)
		So(r.OfferDepartures([]lifecycle.Departure{{Endpoint: "e", Born: 5}}, "peer", baseTime), ShouldBeFalse)
		So(leaving(r), ShouldBeFalse)
	})
	Convey("A departure that is reported before the row is read applies to the row", t, func() {
		r := newRegistry()
		So(r.OfferDepartures([]lifecycle.Departure{{Endpoint: "e"}}, "peer", baseTime), ShouldBeTrue)
		r.applyReadNow([]Entry{rowOf(1, 0, false)}, 1, true, baseTime)
		So(leaving(r), ShouldBeTrue)
	})
	Convey("A row of a leaving endpoint that goes in an outage gets no grace period", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{rowOf(1, 0, false)}, 1, true, baseTime)
		known := endpointIn(r, "e")
		r.RecordDeparture(&known, baseTime)
		r.failedAt = baseTime.Add(time.Second)
		r.applyReadNow(nil, 2, true, baseTime.Add(time.Second))
		So(r.Directory().Len(), ShouldEqual, 0)
	})
	Convey("Each departure is sent once to each box, but not to the one that reported it", t, func() {
		r := newRegistry()
		r.OfferDepartures([]lifecycle.Departure{{Endpoint: "a"}}, "box-1", baseTime)
		r.OfferDepartures([]lifecycle.Departure{{Endpoint: "b", Age: time.Minute}}, "", baseTime)
		reported, mark := r.Departures(0, "box-1", baseTime.Add(time.Second))
		So(reported, ShouldResemble, []lifecycle.Departure{{Endpoint: "b", Age: time.Minute + time.Second}})
		reported, _ = r.Departures(0, "box-2", baseTime)
		So(reported, ShouldHaveLength, 2)
		reported, mark = r.Departures(mark, "box-1", baseTime)
		So(reported, ShouldBeEmpty)
		r.OfferDepartures([]lifecycle.Departure{{Endpoint: "c"}}, "box-2", baseTime)
		reported, _ = r.Departures(mark, "box-1", baseTime)
		So(reported, ShouldHaveLength, 1)
	})
	Convey("Departures that no longer apply to an entry expire, and old ones are not recorded again", t, func() {
		r := newRegistry()
		for i := range 1000 {
			r.OfferDepartures([]lifecycle.Departure{{Endpoint: fmt.Sprint(i)}}, "box-1", baseTime)
		}
		later := baseTime.Add(departureTTL + time.Second)
		reported, _ := r.Departures(0, "", later)
		So(reported, ShouldBeEmpty)
		So(r.departures, ShouldBeEmpty)
		So(r.OfferDepartures([]lifecycle.Departure{{Endpoint: "1", Age: departureTTL + time.Second}}, "box-1", later), ShouldBeFalse)
	})
	Convey("The departure of a listed endpoint is kept as long as its entry", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{rowOf(1, 0, false)}, 1, true, baseTime)
		known := endpointIn(r, "e")
		r.RecordDeparture(&known, baseTime)
		reported, _ := r.Departures(0, "", baseTime.Add(24*time.Hour))
		So(reported, ShouldHaveLength, 1)
		r.applyReadNow([]Entry{rowOf(2, 0, false)}, 2, false, baseTime.Add(24*time.Hour))
		So(leaving(r), ShouldBeTrue)
	})
}

// TestLateRowDoesNotUndoLeaving guards against requests to an endpoint that leaves, if an older
// state of it is written after the one that states that it leaves.
func TestLateRowDoesNotUndoLeaving(t *testing.T) {
	Convey("A contradicting row of the same instance changes nothing, and one of a later instance does", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{rowOf(1, 7, false)}, 1, true, baseTime)
		r.applyReadNow([]Entry{rowOf(2, 7, true)}, 2, false, baseTime)
		r.applyReadNow([]Entry{rowOf(3, 7, false)}, 3, false, baseTime)
		So(endpointIn(r, "e").Leaving, ShouldBeTrue)
		reported, _ := r.Departures(0, "", baseTime)
		So(reported, ShouldHaveLength, 1)
		r.applyReadNow([]Entry{rowOf(4, 8, false)}, 4, false, baseTime)
		So(endpointIn(r, "e").Leaving, ShouldBeFalse)
	})
}
