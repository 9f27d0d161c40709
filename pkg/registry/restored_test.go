package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/route"
)

// restorableStore is a store that can be restored from a snapshot. Its rows are those of random
// servers, which write lost rows again.
type restorableStore struct {
	versionedStore
	// servers are the states of the servers that have not ended.
	servers map[string]route.Endpoint
	// dueWrites are the pending writes.
	dueWrites []dueWrite
}

type dueWrite struct {
	at    time.Time
	write func()
}

// rowTTL is how long after its server's last heartbeat a row is removed.
const rowTTL = 3600 * time.Millisecond

func (s *restorableStore) schedule(after time.Duration, write func()) {
	s.dueWrites = append(s.dueWrites, dueWrite{at: time.Now().Add(after), write: write})
}

// writeState has a server write its state if it has not ended.
func (s *restorableStore) writeState(id string) {
	if server, running := s.servers[id]; running {
		s.write(id, func(e *Entry) { e.Gone, e.Endpoint = false, server })
	}
}

func (s *restorableStore) remove(id string) {
	if _, listed := s.entries[id]; listed {
		s.write(id, func(e *Entry) { e.Gone = true })
	}
}

func (s *restorableStore) advance(length time.Duration) {
	time.Sleep(length)
	due := s.dueWrites
	s.dueWrites = nil
	for _, w := range due {
		if time.Now().Before(w.at) {
			s.dueWrites = append(s.dueWrites, w)
			continue
		}
		w.write()
	}
}

// snapshot returns a copy of the store for restore.
func (s *restorableStore) snapshot() versionedStore {
	return versionedStore{version: s.version, entries: maps.Clone(s.entries)}
}

// restore goes back to a snapshot. Live servers write their rows again after a time, and the rows
// of ended ones are removed.
func (s *restorableStore) restore(from versionedStore, rewriteDelay func() time.Duration) {
	at := s.version.Epoch() + 1
	s.version = epoch.Join(at, from.version.Counter())
	s.entries = map[string]Entry{}
	for _, id := range slices.Sorted(maps.Keys(from.entries)) {
		entry := from.entries[id]
		entry.Version = epoch.Join(at, entry.Version.Counter())
		s.entries[id] = entry
		if _, running := s.servers[id]; !running && !entry.Gone {
			s.schedule(rowTTL, func() { s.remove(id) })
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		entry, listed := s.entries[id]
		if !listed || entry.Gone || entry.Endpoint != s.servers[id] {
			s.schedule(rewriteDelay(), func() { s.writeState(id) })
		}
	}
}

// restoredBox reads a restorableStore as the platform's adapter does.
type restoredBox struct {
	*Registry
	// departed are the endpoints that this box has known to leave or to be gone.
	departed map[string]bool
}

func newRestoredBox() *restoredBox {
	return &restoredBox{Registry: &Registry{Log: zap.NewNop(), Changed: func() {}}, departed: map[string]bool{}}
}

func (b *restoredBox) poll(store *restorableStore) {
	since := b.Position()
	if since == 0 || since.Epoch() != store.version.Epoch() || since > store.version {
		b.recordEndpointsRead(time.Now())
		b.applyReadNow(store.present(), store.version, true, time.Now())
		return
	}
	b.applyReadNow(store.since(since), store.version, false, time.Now())
}

func (b *restoredBox) receive(other *restoredBox) {
	reported, _ := other.Departures(0, "", time.Now())
	b.OfferDepartures(reported, "other", time.Now())
	if _, shouldFetch := b.ReceiveKnowledge(other.Knowledge(), other.NewestVersion()); shouldFetch {
		entries, knowledge, _ := other.EntriesSince(b.Position())
		b.OfferEntries(valuesOf(entries), knowledge, "other")
	}
}

// exchange has some boxes poll the store and all boxes inform each other.
func exchange(boxes []*restoredBox, store *restorableStore, pollers ...int) {
	for _, poller := range pollers {
		boxes[poller].poll(store)
	}
	for range boxes {
		for i, box := range boxes {
			box.receive(boxes[(i+1)%len(boxes)])
			box.receive(boxes[(i+len(boxes)-1)%len(boxes)])
			if box.isMissingUpdates(time.Now()) {
				box.poll(store)
			}
			box.update(time.Now(), func() bool { return false })
		}
	}
}

// readmitted returns an endpoint that a box sends to again though it has known that the endpoint
// leaves or has ended.
func (b *restoredBox) readmitted(store *restorableStore) string {
	if b.Directory() == nil {
		return ""
	}
	admitted := map[string]bool{}
	for _, endpoint := range b.Directory().All() {
		admitted[endpoint.ID] = endpoint.Admits()
	}
	for _, id := range slices.Sorted(maps.Keys(store.entries)) {
		server, running := store.servers[id]
		if running && !server.Leaving {
			continue
		}
		entry, known := b.entries.find(id)
		row := store.entries[id]
		if known && (entry.Leaving || (row.Gone && entry.Gone && entry.Version >= row.Version)) {
			b.departed[id] = true
		}
		if b.departed[id] && admitted[id] {
			return id
		}
	}
	return ""
}

// noDeadline hides the deadline of a test, as there is none in a synctest bubble.
type noDeadline struct{ *testing.T }

func (noDeadline) Deadline() (deadline time.Time, ok bool) { return deadline, false }

func TestRestoredHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			store := &restorableStore{versionedStore: versionedStore{entries: map[string]Entry{}}, servers: map[string]route.Endpoint{}}
			boxes := []*restoredBox{newRestoredBox(), newRestoredBox(), newRestoredBox(), newRestoredBox()}
			copies := []versionedStore{store.snapshot()}
			rewriteDelay := func() time.Duration {
				return time.Duration(rapid.IntRange(0, 1500).Draw(t, "rewrite delay")) * time.Millisecond
			}
			check := func() {
				for i, box := range boxes {
					if id := box.readmitted(store); id != "" {
						t.Fatalf("box %d sends to %s again after it left", i, id)
					}
				}
			}
			nextID := 0
			drawServer := func() string {
				if len(store.servers) == 0 {
					return ""
				}
				return rapid.SampledFrom(slices.Sorted(maps.Keys(store.servers))).Draw(t, "server")
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch rapid.IntRange(0, 9).Draw(t, "what") {
				case 0, 1:
					id := fmt.Sprintf("e-%d", nextID)
					nextID++
					store.servers[id] = route.Endpoint{ID: id, Service: "llm", Address: "10.0.0.1:80", Zone: "zone-a"}
					store.writeState(id)
				case 2:
					if id := drawServer(); id != "" {
						server := store.servers[id]
						server.Leaving = true
						store.servers[id] = server
						store.writeState(id)
					}
				case 3:
					if id := drawServer(); id != "" {
						delete(store.servers, id)
						store.remove(id)
					}
				case 4:
					// The heartbeats of a server are late.
					if id := drawServer(); id != "" {
						store.remove(id)
						store.schedule(rewriteDelay(), func() { store.writeState(id) })
					}
				case 5:
					copies = append(copies, store.snapshot())
				case 6:
					store.restore(copies[max(0, len(copies)-1-rapid.IntRange(0, 2).Draw(t, "older"))], rewriteDelay)
					copies = copies[:1]
				case 7:
					boxes[rapid.IntRange(0, len(boxes)-1).Draw(t, "box")] = newRestoredBox()
				default:
					// Writes of other clients.
					for range rapid.IntRange(1, 20).Draw(t, "writes") {
						store.version++
					}
				}
				store.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
				exchange(boxes, store, rapid.IntRange(0, len(boxes)-1).Draw(t, "poller"))
				check()
			}
			for end := time.Now().Add(restoreHoldDelay + rowTTL + time.Second); time.Now().Before(end); {
				store.advance(time.Second)
				exchange(boxes, store, 0)
				check()
			}
			for i, box := range boxes {
				got := map[string]route.Endpoint{}
				for _, endpoint := range box.Directory().All() {
					endpoint.Hash = 0
					got[endpoint.ID] = endpoint
				}
				if !maps.Equal(got, store.servers) {
					t.Fatalf("box %d has %v, the servers are %v", i, got, store.servers)
				}
			}
		})
	})
}

func TestRestoredRows(t *testing.T) {
	at := func(epochs, counter uint64) epoch.Version { return epoch.Join(epochs, counter) }
	Convey("An entry that the copy lacks is used for as long as its server may take to write it again", t, func() {
		for _, rewritten := range []bool{true, false} {
			r := newRegistry()
			now := time.Now().Add(-time.Minute)
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: at(1, 5)}, {Endpoint: endpointOf("b"), Version: at(1, 9)}}, at(1, 9), true, now)
			now = now.Add(time.Minute)
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: at(2, 5)}}, at(2, 6), true, now)
			So(has(r, "b"), ShouldBeTrue)
			So(r.Knowledge().Known, ShouldEqual, at(2, 6))
			receiver := newRegistry()
			entries, knowledge, _ := r.EntriesSince(0)
			receiver.OfferEntries(valuesOf(entries), knowledge, "sender")
			So(has(receiver, "b"), ShouldBeTrue)
			if rewritten {
				r.applyReadNow([]Entry{{Endpoint: endpointOf("b"), Version: at(2, 7)}}, at(2, 7), false, now.Add(time.Second))
			}
			receiver.update(now.Add(defaultMaxLeavingDelay-graceMargin), func() bool { return false })
			So(has(receiver, "b"), ShouldBeFalse)
			r.update(now.Add(defaultMaxLeavingDelay-graceMargin), func() bool { return false })
			So(has(r, "b"), ShouldEqual, rewritten)
			So(r.Knowledge().Known.Epoch(), ShouldEqual, 2)
		}
	})
	Convey("An entry that is gone stays so for a while, or until it is written again", t, func() {
		for _, rewritten := range []bool{true, false} {
			r := newRegistry()
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: at(1, 5)}}, at(1, 5), true, baseTime)
			gone := Entry{Endpoint: endpointOf("a"), Version: at(1, 9), Gone: true}
			r.applyReadNow([]Entry{gone}, at(1, 9), false, baseTime)
			r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: at(2, 5)}}, at(2, 6), true, baseTime)
			So(has(r, "a"), ShouldBeFalse)
			receiver := newRegistry()
			entries, knowledge, _ := r.EntriesSince(0)
			receiver.OfferEntries(valuesOf(entries), knowledge, "sender")
			So(has(receiver, "a"), ShouldBeFalse)
			So(receiver.hasHolds(), ShouldBeTrue)
			if rewritten {
				r.applyReadNow([]Entry{{Endpoint: endpointOf("a"), Version: at(2, 10)}}, at(2, 10), false, baseTime)
				So(has(r, "a"), ShouldBeTrue)
			}
			r.update(baseTime.Add(restoreHoldDelay), func() bool { return false })
			So(has(r, "a"), ShouldBeTrue)
			So(r.hasHolds(), ShouldBeFalse)
		}
	})
	Convey("A later instance is used at once, and an earlier one ignored", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{rowOf(at(1, 5), 7, true)}, at(1, 5), true, baseTime)
		r.applyReadNow([]Entry{rowOf(at(2, 3), 6, false)}, at(2, 4), true, baseTime)
		So(endpointIn(r, "e").Leaving, ShouldBeTrue)
		r.applyReadNow([]Entry{rowOf(at(2, 5), 8, false)}, at(2, 5), false, baseTime)
		So(endpointIn(r, "e").Leaving, ShouldBeFalse)
	})
	Convey("A late departure of the previous epoch counts", t, func() {
		r := newRegistry()
		r.applyReadNow([]Entry{rowOf(at(2, 3), 0, false)}, at(2, 3), true, baseTime)
		r.applyReadNow([]Entry{rowOf(at(1, 9), 0, true)}, at(1, 9), false, baseTime)
		So(endpointIn(r, "e").Leaving, ShouldBeTrue)
		So(r.Knowledge().Known, ShouldEqual, at(2, 3))
	})
}

func TestKeptOrdersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An order that is not written again ends after a time", t, func() {
			store := &fakeStore{}
			store.change(func(s *fakeState) {
				s.config = []byte("version 1")
				s.put("a", 1)
			})
			r, stop := start(t, store, func(*Registry) {})
			defer stop()
			time.Sleep(time.Second)
			r.OfferOrders(route.Orders{Version: epoch.Join(1, 9), Evacuated: []string{"zone-a"}}, "peer")
			So(endpointIn(r, "a").Evacuated, ShouldBeTrue)
			r.OfferOrders(route.Orders{Version: epoch.Join(2, 5)}, "peer")
			So(endpointIn(r, "a").Evacuated, ShouldBeTrue)
			time.Sleep(restoreHoldDelay + 2*expiryCheckInterval)
			So(endpointIn(r, "a").Evacuated, ShouldBeFalse)
		})
	})
}

// TestRowsOfBoxesAreWrittenAgain has the store lose rows of boxes that are all known to the boxes
// that read it.
func TestRowsOfBoxesAreWrittenAgain(t *testing.T) {
	const followers = 20
	for _, boxes := range []int{300, 1000} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("The rows of %d boxes are back after few calls", boxes), t, func() {
				var all []Box
				for i := range boxes {
					all = append(all, Box{Name: fmt.Sprintf("box-%d", i), Zone: "zone-a", PeerAddress: "10.0.0.1:1"})
				}
				store := &fakeStore{}
				store.change(func(s *fakeState) {
					s.config, s.keepsBoxes = []byte("version 1"), true
					s.put("a", epoch.Join(1, 30))
				})
				for i := range followers {
					_, stop := start(t, store, func(*Registry) {}, func(r *Registry) {
						r.Self = all[i]
						r.LiveBoxes = func() []Box { return all }
						r.CountOtherFollowers = func() int { return followers - 1 }
					})
					defer stop()
				}
				time.Sleep(10 * time.Second)
				store.change(func(s *fakeState) {
					s.boxes = nil
					for _, box := range all[:boxes/3] {
						s.boxes = append(s.boxes, ListedBox{Box: box})
					}
					s.entries, s.announced = nil, 0
					s.put("a", epoch.Join(2, 10))
					s.failing = true
				})
				time.Sleep(time.Second)
				store.change(func(s *fakeState) { s.failing = false })
				time.Sleep(maxFleetRetryDelay + maxRewriteDelay + 2*time.Second)
				state := store.current()
				names := map[string]int{}
				for _, row := range state.boxes {
					names[row.Name]++
				}
				So(names, ShouldHaveLength, boxes)
				So(state.announced, ShouldBeLessThanOrEqualTo, 2*(boxes/100+1))
			})
		})
	}
}
