package registry

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/route"
)

// TestMain fixes the seed of the property tests, so that each run has the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// versionedStore keeps the latest change of each entry, as the store's feed returns it.
type versionedStore struct {
	version epoch.Version
	entries map[string]Entry
}

func (s *versionedStore) write(id string, change func(*Entry)) {
	s.version++
	entry := s.entries[id]
	entry.ID = id
	change(&entry)
	entry.Version = s.version
	s.entries[id] = entry
}

func (s *versionedStore) since(version epoch.Version) (changed []Entry) {
	for _, entry := range s.entries {
		if entry.Version > version {
			changed = append(changed, entry)
		}
	}
	return changed
}

// present returns the entries without removed ones, as a full read of the store does.
func (s *versionedStore) present() (present []Entry) {
	for _, entry := range s.entries {
		if !entry.Gone {
			present = append(present, entry)
		}
	}
	return present
}

func (s *versionedStore) endpoints() map[string]route.Endpoint {
	endpoints := map[string]route.Endpoint{}
	for _, entry := range s.present() {
		endpoints[entry.ID] = entry.Endpoint
	}
	return endpoints
}

// testBox is a box that polls the store and informs others.
type testBox struct {
	*Registry
	since epoch.Version
}

func (r *testBox) poll(store *versionedStore, full bool) {
	entries := store.since(r.since)
	if full || r.since == 0 {
		entries = store.present()
	}
	r.applyReadNow(entries, store.version, full || r.since == 0, time.Now())
	r.since = store.version
}

// receive takes the state of another box the way boxes do: it requests entries only if some
// changed.
func (r *testBox) receive(other *testBox) {
	if _, shouldFetch := r.ReceiveKnowledge(other.Knowledge(), other.NewestVersion()); shouldFetch {
		entries, knowledge, _ := other.EntriesSince(r.Position())
		r.OfferEntries(valuesOf(entries), knowledge, "other")
	}
}

func valuesOf(entries []*Entry) (values []Entry) {
	for _, entry := range entries {
		values = append(values, *entry)
	}
	return values
}

// TestPages checks that a box receives a whole table in several pages while the table changes at
// the sender.
func TestPages(t *testing.T) {
	Convey("A box that received all pages has the table of the sender", t, func() {
		newRegistry := func() *Registry {
			return &Registry{Log: zap.NewNop(), Changed: func() {}, Polled: func() {}}
		}
		sender, receiver := newRegistry(), newRegistry()
		const count = 5*maxPageEntries/2 + 3
		var entries []Entry
		for i := range count {
			// Some share a version, as rows written at once do.
			entries = append(entries, Entry{Endpoint: endpointOf(fmt.Sprintf("e-%d", i)), Version: epoch.Version(1 + i/3)})
		}
		sender.applyReadNow(entries, count, true, time.Now())
		since, pages := epoch.Version(0), 0
		var all []Entry
		knowledge := route.Knowledge{}
		for more := true; more; pages++ {
			page, known, hasMore := sender.EntriesSince(since)
			for _, entry := range page {
				since = max(since, entry.Version)
			}
			all, knowledge = append(all, valuesOf(page)...), known
			if more = hasMore; more {
				sender.applyReadNow([]Entry{{Endpoint: endpointOf("e-1"), Version: epoch.Version(count + pages + 1)}}, epoch.Version(count+pages+1), false, time.Now())
			}
		}
		receiver.OfferEntries(all, knowledge, "sender")
		So(pages, ShouldEqual, 3)
		So(receiver.Directory().Len(), ShouldEqual, count)
		So(receiver.Directory().All(), ShouldResemble, sender.Directory().All())
		So(receiver.Knowledge().Known, ShouldEqual, sender.Knowledge().Known)
	})
}

// TestDifferencesAddUp checks that a box that knows all changes up to the store's version, from
// polls of its own or from other boxes, has the same directory as the store.
func TestDifferencesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &versionedStore{entries: map[string]Entry{}}
		var boxes []*testBox
		for range 4 {
			boxes = append(boxes, &testBox{Registry: &Registry{Log: zap.NewNop(), Changed: func() {}}})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("engine-%d", rapid.IntRange(0, 4).Draw(t, "engine"))
			box := boxes[rapid.IntRange(0, 3).Draw(t, "box")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				store.write(id, func(e *Entry) { e.Gone, e.Address = false, fmt.Sprint(store.version) })
			case 1:
				store.write(id, func(e *Entry) { e.Gone, e.Leaving = false, true })
			case 2:
				store.write(id, func(e *Entry) { e.Gone = true })
			case 3:
				// A heartbeat, or a write of another client.
				store.write(id, func(*Entry) {})
			case 4:
				box.poll(store, rapid.Bool().Draw(t, "full"))
			default:
				box.receive(boxes[rapid.IntRange(0, 3).Draw(t, "from")])
			}
			for i, box := range boxes {
				if box.Knowledge().Known != store.version || store.version == 0 {
					continue
				}
				got := map[string]route.Endpoint{}
				for _, endpoint := range box.Directory().All() {
					endpoint.Hash = 0
					got[endpoint.ID] = endpoint
				}
				if !maps.Equal(got, store.endpoints()) {
					t.Fatalf("box %d has %v, the store %v", i, got, store.endpoints())
				}
			}
		}
	})
}

// TestLapsesAreTold has one box follow the store for another one. An entry that is removed during
// an outage and not written again has to be dropped by both within MaxLeavingDelay.
func TestLapsesAreTold(t *testing.T) {
	const rounds = 20
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.change(func(s *fakeState) { s.put("a", 1) })
			follower, stop := start(t, store, func(*Registry) {})
			defer stop()
			other := &testBox{Registry: &Registry{Log: zap.NewNop(), Changed: func() {}}}
			advance := func(length time.Duration) {
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					other.receive(&testBox{Registry: follower})
					other.update(time.Now(), func() bool { return false })
				}
			}
			advance(time.Second)
			if !has(other.Registry, "a") {
				t.Fatal("the other box did not receive the endpoint")
			}
			store.change(func(s *fakeState) { s.failing = true })
			advance(5 * time.Second)
			store.change(func(s *fakeState) {
				s.remove("a", 2)
				s.failing = false
			})
			advance(gracePeriod / 2)
			if !has(other.Registry, "a") {
				t.Error("the endpoint was dropped though it may come back")
			}
			// The longest delay after a failure, the grace period, and a check whether it is over.
			advance(maxRetryDelay*5/4 + defaultMaxLeavingDelay - graceMargin + 2*expiryCheckInterval - gracePeriod/2)
			if has(other.Registry, "a") {
				t.Error("the other box still uses the endpoint")
			}
		})
	}
}

// TestRestartedTellerHidesNoRemoval guards against endpoints that stay in use forever if the box
// that reported changes restarts before they are requested from it.
func TestRestartedTellerHidesNoRemoval(t *testing.T) {
	Convey("A box that the sender can no longer bring up to date reads the store itself", t, func() {
		store := &versionedStore{entries: map[string]Entry{}}
		store.write("left", func(e *Entry) { e.Endpoint = endpointOf("left") })
		box, sender := &testBox{Registry: newRegistry()}, &testBox{Registry: newRegistry()}
		box.poll(store, true)
		sender.poll(store, true)
		store.write("joined", func(e *Entry) { e.Endpoint = endpointOf("joined") })
		sender.poll(store, false)
		_, shouldFetch := box.ReceiveKnowledge(sender.Knowledge(), sender.NewestVersion())
		So(shouldFetch, ShouldBeTrue)

		store.write("left", func(e *Entry) { e.Gone = true })
		sender = &testBox{Registry: newRegistry()}
		sender.poll(store, true)
		entries, knowledge, _ := sender.EntriesSince(box.Position())
		box.OfferEntries(valuesOf(entries), knowledge, "sender")
		So(has(box.Registry, "joined"), ShouldBeTrue)
		So(box.Knowledge().Known, ShouldBeLessThan, store.version)
		So(box.isMissingUpdates(time.Now().Add(defaultMaxLeavingDelay)), ShouldBeTrue)

		box.poll(store, false)
		So(has(box.Registry, "left"), ShouldBeFalse)
		So(box.isMissingUpdates(time.Now().Add(time.Minute)), ShouldBeFalse)
	})
}
