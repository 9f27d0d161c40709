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

// TestMain fixes the seed of the properties, so that a run gives the same verdict
// each time.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// versionedStore keeps all changes of entries, as the store's feed gives them.
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

// whole leaves out what is gone, as the store does.
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

// reader is a box that looks at the store and tells others.
type testBox struct {
	*Registry
	since epoch.Version
}

func (r *testBox) poll(store *versionedStore, whole bool) {
	entries := store.since(r.since)
	if whole || r.since == 0 {
		entries = store.present()
	}
	r.applyReadNow(entries, store.version, whole || r.since == 0, time.Now())
	r.since = store.version
}

// hear takes what another box tells, as boxes do: what changed is asked for.
func (r *testBox) receive(other *testBox) {
	if _, ask := r.ReceiveKnowledge(other.Knowledge(), other.NewestVersion()); ask {
		entries, then, _ := other.EntriesSince(r.Position())
		r.OfferEntries(valuesOf(entries), then, "other")
	}
}

func valuesOf(entries []*Entry) (values []Entry) {
	for _, entry := range entries {
		values = append(values, *entry)
	}
	return values
}

// TestPages has a box take a table from another one in parts, while it changes there.
func TestPages(t *testing.T) {
	Convey("A box that took all parts has the table of the one that told them", t, func() {
		newRegistry := func() *Registry {
			return &Registry{Log: zap.NewNop(), Changed: func() {}, Polled: func() {}}
		}
		teller, taker := newRegistry(), newRegistry()
		const count = 5*maxPageEntries/2 + 3
		var entries []Entry
		for i := range count {
			// Some share a version, as rows written at once do.
			entries = append(entries, Entry{Endpoint: endpointOf(fmt.Sprintf("e-%d", i)), Version: epoch.Version(1 + i/3)})
		}
		teller.applyReadNow(entries, count, true, time.Now())
		since, parts := epoch.Version(0), 0
		var all []Entry
		then := route.Knowledge{}
		for more := true; more; parts++ {
			told, known, rest := teller.EntriesSince(since)
			for _, entry := range told {
				since = max(since, entry.Version)
			}
			all, then = append(all, valuesOf(told)...), known
			if more = rest; more {
				teller.applyReadNow([]Entry{{Endpoint: endpointOf("e-1"), Version: epoch.Version(count + parts + 1)}}, epoch.Version(count+parts+1), false, time.Now())
			}
		}
		taker.OfferEntries(all, then, "teller")
		So(parts, ShouldEqual, 3)
		So(taker.Directory().Len(), ShouldEqual, count)
		So(taker.Directory().All(), ShouldResemble, teller.Directory().All())
		So(taker.Knowledge().Known, ShouldEqual, teller.Knowledge().Known)
	})
}

// TestDifferencesAddUp holds that a box that knows all up to the store's version, by
// looks of its own or by differences from others, has the directory that the store has.
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
				// A sign of life, or something that others wrote.
				store.write(id, func(*Entry) {})
			case 4:
				box.poll(store, rapid.Bool().Draw(t, "whole"))
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

// TestLapsesAreTold has one box follow the store for another one. What went during an
// outage, and does not come back, has to be dropped by both in the time for leaving.
func TestLapsesAreTold(t *testing.T) {
	const rounds = 20
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.change(func(s *fakeState) { s.put("a", 1) })
			follower, stop := start(t, store, func(*Registry) {})
			defer stop()
			other := &testBox{Registry: &Registry{Log: zap.NewNop(), Changed: func() {}}}
			pass := func(length time.Duration) {
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					other.receive(&testBox{Registry: follower})
					other.update(time.Now(), func() bool { return false })
				}
			}
			pass(time.Second)
			if !has(other.Registry, "a") {
				t.Fatal("the other box was not told of the endpoint")
			}
			store.change(func(s *fakeState) { s.failing = true })
			pass(5 * time.Second)
			store.change(func(s *fakeState) {
				s.remove("a", 2)
				s.failing = false
			})
			pass(gracePeriod / 2)
			if !has(other.Registry, "a") {
				t.Error("the endpoint was dropped though it may come back")
			}
			// The longest wait after a failure, the grace, and a look whether it is over.
			pass(maxRetryDelay*5/4 + defaultMaxLeavingDelay - graceMargin + 2*expiryCheckInterval - gracePeriod/2)
			if has(other.Registry, "a") {
				t.Error("the other box still uses the endpoint")
			}
		})
	}
}

// TestRestartedTellerHidesNoRemoval guards against endpoints that stay in use for ever where the box
// that told of news starts again before it is asked.
func TestRestartedTellerHidesNoRemoval(t *testing.T) {
	Convey("A box that the teller can no longer serve looks for itself", t, func() {
		store := &versionedStore{entries: map[string]Entry{}}
		store.write("left", func(e *Entry) { e.Endpoint = endpointOf("left") })
		box, teller := &testBox{Registry: newRegistry()}, &testBox{Registry: newRegistry()}
		box.poll(store, true)
		teller.poll(store, true)
		store.write("joined", func(e *Entry) { e.Endpoint = endpointOf("joined") })
		teller.poll(store, false)
		_, ask := box.ReceiveKnowledge(teller.Knowledge(), teller.NewestVersion())
		So(ask, ShouldBeTrue)

		store.write("left", func(e *Entry) { e.Gone = true })
		teller = &testBox{Registry: newRegistry()}
		teller.poll(store, true)
		entries, then, _ := teller.EntriesSince(box.Position())
		box.OfferEntries(valuesOf(entries), then, "teller")
		So(has(box.Registry, "joined"), ShouldBeTrue)
		So(box.Knowledge().Known, ShouldBeLessThan, store.version)
		So(box.isMissingUpdates(time.Now().Add(defaultMaxLeavingDelay)), ShouldBeTrue)

		box.poll(store, false)
		So(has(box.Registry, "left"), ShouldBeFalse)
		So(box.isMissingUpdates(time.Now().Add(time.Minute)), ShouldBeFalse)
	})
}
