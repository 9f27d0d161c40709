package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// fakeState is the state of a fakeStore.
type fakeState struct {
	config  []byte
	entries []Entry
	// evacuations are all orders ever written; boxes are the rows of boxes.
	evacuations []Evacuation
	boxes       []ListedBox
	version     epoch.Version
	// keepsBoxes makes the store keep written rows of boxes; announced counts these writes, in
	// units of up to 100 rows.
	keepsBoxes bool
	announced  int
	// failing makes every call fail; historyLost makes the next read of the changes fail with
	// ErrHistoryLost.
	failing, historyLost bool
	// hanging makes calls that wait for changes take a second longer than their timeout and then
	// fail.
	hanging bool
}

// fakeStore is a Store whose state and failures a test sets.
type fakeStore struct {
	mu    sync.Mutex
	state fakeState
}

var errStoreDown = errors.New("the store is down")

func (f *fakeStore) change(modify func(*fakeState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	modify(&f.state)
}

func (f *fakeStore) current() fakeState {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state
	state.entries = slices.Clone(state.entries)
	return state
}

func (s *fakeState) declared() Declared {
	return Declared{Content: s.config, Version: s.version, Evacuations: s.evacuations}
}

func (f *fakeStore) Declared(context.Context) (Declared, error) {
	state := f.current()
	if state.failing {
		return Declared{}, errStoreDown
	}
	return state.declared(), nil
}

func (f *fakeStore) DeclaredSince(ctx context.Context, version epoch.Version, wait time.Duration) (Declared, error) {
	if state := f.current(); state.hanging || state.failing {
		time.Sleep(wait + time.Second)
		return Declared{}, errStoreDown
	}
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		// Both come from the same read: a change must not fall between them.
		state := f.current()
		if state.version > version {
			return state.declared(), nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return Declared{Version: state.version}, nil
		}
	}
}

func (f *fakeStore) DecodeCatalog(content []byte) (*route.Catalog, error) {
	catalog := &route.Catalog{}
	if _, err := fmt.Sscanf(string(content), "version %d", &catalog.Version); err != nil {
		return nil, err
	}
	return catalog, nil
}

func (f *fakeStore) Endpoints(context.Context) ([]Entry, epoch.Version, error) {
	state := f.current()
	if state.failing {
		return nil, 0, errStoreDown
	}
	return state.entries, state.version, nil
}

func (f *fakeStore) EndpointsSince(_ context.Context, version epoch.Version) ([]Entry, epoch.Version, error) {
	state := f.current()
	if state.failing {
		return nil, 0, errStoreDown
	}
	if state.historyLost {
		f.change(func(s *fakeState) { s.historyLost = false })
		return nil, 0, ErrHistoryLost
	}
	var newer []Entry
	for _, entry := range state.entries {
		if entry.Version > version {
			newer = append(newer, entry)
		}
	}
	return newer, state.version, nil
}

func (f *fakeStore) Announce(_ context.Context, boxes ...Box) error {
	if f.current().failing {
		return errStoreDown
	}
	f.change(func(s *fakeState) {
		if !s.keepsBoxes {
			return
		}
		for _, box := range boxes {
			s.boxes = append(slices.Clone(s.boxes), ListedBox{Box: box})
		}
		s.announced += (len(boxes) + 99) / 100
	})
	return nil
}

func (f *fakeStore) AnnounceNew(ctx context.Context, box Box) (isNew bool, err error) {
	isNew = !slices.ContainsFunc(f.current().boxes, func(listed ListedBox) bool { return listed.Name == box.Name })
	return isNew, f.Announce(ctx, box)
}

func (f *fakeStore) ReadQuarantine(context.Context) ([]QuarantinedRequest, error)      { return nil, nil }
func (f *fakeStore) WriteQuarantine(context.Context, []quarantine.StoredRequest) error { return nil }
func (f *fakeStore) Boxes(context.Context, string, int) ([]ListedBox, error) {
	return f.current().boxes, nil
}
func (f *fakeStore) RolloutStatus(context.Context, string) (RolloutStatus, error) {
	return RolloutStatus{}, nil
}
func (f *fakeStore) WriteRolloutStatus(context.Context, RolloutStatus) (bool, error) {
	return true, nil
}
func (f *fakeStore) Close() {}

// endpointIn returns an endpoint of the directory.
func endpointIn(r *Registry, id string) route.Endpoint {
	found, _ := r.Directory().Find(id)
	return found
}

func endpointOf(id string) route.Endpoint {
	return route.Endpoint{ID: id, Service: "llm", Address: "10.0.0.1:1", Zone: "zone-a"}
}

func bornAt(id string, version epoch.Version, born int64) Entry {
	entry := Entry{Endpoint: endpointOf(id), Version: version}
	entry.Born = born
	return entry
}

// order writes or withdraws an evacuation order for a zone.
func (s *fakeState) order(version epoch.Version, zone string, withdrawn bool, problem error) {
	s.version = version
	s.evacuations = append(slices.Clone(s.evacuations), Evacuation{Zone: zone, Version: version, Withdrawn: withdrawn, Problem: problem})
}

func (s *fakeState) put(id string, version epoch.Version) {
	s.set(Entry{Endpoint: endpointOf(id), Version: version})
}

func (s *fakeState) remove(id string, version epoch.Version) {
	s.set(Entry{Endpoint: route.Endpoint{ID: id}, Version: version, Gone: true})
}

func (s *fakeState) set(entry Entry) {
	s.version = entry.Version
	for i := range s.entries {
		if s.entries[i].ID == entry.ID {
			s.entries[i] = entry
			return
		}
	}
	s.entries = append(s.entries, entry)
}

func start(t *testing.T, store *fakeStore, polled func(*Registry), configure ...func(*Registry)) (r *Registry, stop func()) {
	t.Helper()
	r = &Registry{
		Store:               store,
		Log:                 zap.NewNop(),
		Changed:             func() {},
		FoundBoxes:          func([]Box) {},
		CountOtherFollowers: func() int { return 0 },
	}
	r.Polled = func() { polled(r) }
	for _, set := range configure {
		set(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := errgroup.Group{}
	group.Go(func() error { return r.Run(ctx) })
	return r, func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// applyReadNow applies a read of the store that took no time.
func (r *Registry) applyReadNow(entries []Entry, version epoch.Version, full bool, now time.Time) (ignoredOutdated int) {
	return r.applyRead(entries, r.Position(), version, full, now)
}

func has(r *Registry, id string) bool {
	_, ok := r.Directory().Find(id)
	return ok
}

// maxPollDelay is the longest time until the next poll of the endpoints, with one retry.
const maxPollDelay = time.Duration((minPollFraction+pollJitterFraction)*float64(defaultMaxLeavingDelay)) + 2*minRetryDelay

func TestRegistry(t *testing.T) {
	cases := []struct {
		name string
		run  func(*fakeStore, *Registry)
	}{
		{"a removed entry is dropped at once while the store is up", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.remove("a", 2) })
			time.Sleep(maxPollDelay)
			So(has(r, "a"), ShouldBeFalse)
		}},
		{"a lost history is no outage: an entry removed in the gap is dropped at once", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.remove("a", 2) })
			store.change(func(s *fakeState) { s.historyLost = true })
			time.Sleep(maxPollDelay)
			So(has(r, "a"), ShouldBeFalse)
		}},
		{"an entry removed in an outage is used for two more seconds", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.failing = true })
			time.Sleep(5 * time.Second)
			store.change(func(s *fakeState) { s.remove("a", 2) })
			store.change(func(s *fakeState) { s.failing = false })
			time.Sleep(1500 * time.Millisecond)
			So(has(r, "a"), ShouldBeTrue)
			time.Sleep(3 * time.Second)
			So(has(r, "a"), ShouldBeFalse)
		}},
		{"an entry removed after others read the store again is dropped within the delay for leaving", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.failing = true })
			time.Sleep(5 * time.Second)
			store.change(func(s *fakeState) { s.failing = false })
			r.RecordPeerPoll()
			store.change(func(s *fakeState) { s.remove("a", 2) })
			time.Sleep(defaultMaxLeavingDelay)
			So(has(r, "a"), ShouldBeFalse)
		}},
		{"an entry that comes back after an outage stays", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.failing = true })
			time.Sleep(5 * time.Second)
			store.change(func(s *fakeState) { s.remove("a", 2) })
			store.change(func(s *fakeState) { s.failing = false })
			time.Sleep(1500 * time.Millisecond)
			store.change(func(s *fakeState) { s.put("a", 3) })
			time.Sleep(5 * time.Second)
			So(has(r, "a"), ShouldBeTrue)
		}},
		{"an entry that a peer reports as gone is dropped even while the store is out of reach", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.failing = true })
			time.Sleep(2 * time.Second)
			r.OfferEntries([]Entry{{Endpoint: route.Endpoint{ID: "a"}, Version: 2, Gone: true}}, route.Knowledge{Known: 2}, "box-2")
			So(has(r, "a"), ShouldBeFalse)
		}},
		{"an older entry does not replace a newer one", func(store *fakeStore, r *Registry) {
			r.OfferEntries([]Entry{{Endpoint: route.Endpoint{ID: "a"}, Version: 9, Gone: true}}, route.Knowledge{Known: 9}, "box-2")
			store.change(func(s *fakeState) { s.put("a", 5) })
			time.Sleep(2 * time.Second)
			So(has(r, "a"), ShouldBeFalse)
		}},
		{"a malformed entry removes its endpoint, even during an outage; the others stay, and a valid entry brings it back", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) {
				s.put("b", 2)
				s.failing = true
			})
			time.Sleep(5 * time.Second)
			store.change(func(s *fakeState) {
				s.set(Entry{Endpoint: route.Endpoint{ID: "a"}, Version: 3, Problem: errors.New("no address")})
				s.failing = false
			})
			time.Sleep(2 * time.Second)
			So(has(r, "a"), ShouldBeFalse)
			So(has(r, "b"), ShouldBeTrue)
			store.change(func(s *fakeState) { s.put("a", 4) })
			time.Sleep(2 * time.Second)
			So(has(r, "a"), ShouldBeTrue)
		}},
		{"a malformed entry is sent to others as gone, and a later valid one as present", func(store *fakeStore, r *Registry) {
			other := &testBox{Registry: &Registry{Log: zap.NewNop(), Changed: func() {}}}
			follower := &testBox{Registry: r}
			other.receive(follower)
			So(has(other.Registry, "a"), ShouldBeTrue)
			store.change(func(s *fakeState) {
				s.set(Entry{Endpoint: route.Endpoint{ID: "a"}, Version: 2, Problem: errors.New("no address")})
			})
			time.Sleep(2 * time.Second)
			other.receive(follower)
			So(has(other.Registry, "a"), ShouldBeFalse)
			store.change(func(s *fakeState) { s.put("a", 3) })
			time.Sleep(2 * time.Second)
			other.receive(follower)
			So(has(other.Registry, "a"), ShouldBeTrue)
		}},
		{"an entry of an earlier instance is ignored, whatever its version", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.set(bornAt("a", 2, 500)) })
			time.Sleep(2 * time.Second)
			So(endpointIn(r, "a").Born, ShouldEqual, 500)
			store.change(func(s *fakeState) { s.set(bornAt("a", 3, 400)) })
			time.Sleep(2 * time.Second)
			So(endpointIn(r, "a").Born, ShouldEqual, 500)
			store.change(func(s *fakeState) { s.set(bornAt("a", 4, 600)) })
			time.Sleep(2 * time.Second)
			So(endpointIn(r, "a").Born, ShouldEqual, 600)
		}},
		{"the time for which an endpoint states that it stays cold counts from the read", func(store *fakeStore, r *Registry) {
			cold := bornAt("a", 2, 500)
			cold.ColdFor = 3 * time.Second
			began := time.Now()
			store.change(func(s *fakeState) { s.set(cold) })
			time.Sleep(2 * time.Second)
			until := endpointIn(r, "a").ColdUntil
			So(until, ShouldHappenOnOrAfter, began.Add(3*time.Second))
			So(until, ShouldHappenBefore, began.Add(5*time.Second))
		}},
		{"an order evacuates a zone until it is withdrawn, and a malformed one evacuates none", func(store *fakeStore, r *Registry) {
			evacuated := func() bool { return endpointIn(r, "a").Evacuated }
			store.change(func(s *fakeState) { s.order(2, "zone-a", false, nil) })
			time.Sleep(100 * time.Millisecond)
			So(evacuated(), ShouldBeTrue)
			store.change(func(s *fakeState) { s.order(3, "zone-a", true, nil) })
			time.Sleep(100 * time.Millisecond)
			So(evacuated(), ShouldBeFalse)
			store.change(func(s *fakeState) { s.order(4, "zone-a", false, errors.New("no object")) })
			time.Sleep(100 * time.Millisecond)
			So(evacuated(), ShouldBeFalse)
		}},
		{"an order that is missing from a full read was withdrawn, even if only other boxes have it", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.order(2, "zone-a", false, nil) })
			time.Sleep(100 * time.Millisecond)
			fresh, stop := start(t, &fakeStore{state: fakeState{config: []byte("version 1"), version: 9}}, func(*Registry) {})
			time.Sleep(100 * time.Millisecond)
			r.OfferOrders(*fresh.Orders(), "box-2")
			stop()
			So(endpointIn(r, "a").Evacuated, ShouldBeFalse)
		}},
		{"older orders do not replace newer ones", func(store *fakeStore, r *Registry) {
			r.OfferOrders(route.Orders{Version: 9, Evacuated: []string{"zone-a"}}, "box-2")
			r.OfferOrders(route.Orders{Version: 8}, "box-3")
			So(endpointIn(r, "a").Evacuated, ShouldBeTrue)
		}},
		{"a malformed row of a box does not hide the others", func(store *fakeStore, _ *Registry) {
			store.change(func(s *fakeState) {
				s.boxes = []ListedBox{{Box: Box{Name: "bad"}, Version: 1, Problem: errors.New("no address")}, {Box: Box{Name: "good"}, Version: 2}}
			})
			var found atomic.Pointer[[]Box]
			_, stop := start(t, store, func(*Registry) {}, func(r *Registry) {
				r.FoundBoxes = func(boxes []Box) { found.Store(&boxes) }
			})
			time.Sleep(time.Second)
			stop()
			So(*found.Load(), ShouldResemble, []Box{{Name: "good"}})
		}},
		{"a configuration is in force within two seconds after a hanging store is back", func(store *fakeStore, r *Registry) {
			store.change(func(s *fakeState) { s.hanging = true })
			time.Sleep(5 * time.Second)
			store.change(func(s *fakeState) { s.hanging = false })
			// The call that hangs was made during the outage.
			time.Sleep(3 * time.Second)
			store.change(func(s *fakeState) { s.config, s.version = []byte("version 2"), 2 })
			time.Sleep(2 * time.Second)
			So(r.Catalog().Version, ShouldEqual, 2)
		}},
		{"an older or malformed configuration changes nothing", func(store *fakeStore, r *Registry) {
			r.OfferCatalog([]byte("version 7"), "box-2")
			r.OfferCatalog([]byte("version 6"), "box-3")
			r.OfferCatalog([]byte("garbage"), "box-3")
			So(r.Catalog().Version, ShouldEqual, 7)
		}},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				store := &fakeStore{state: fakeState{config: []byte("version 1")}}
				store.change(func(s *fakeState) { s.put("a", 1) })
				r, stop := start(t, store, func(*Registry) {})
				time.Sleep(2 * time.Second)
				So(has(r, "a"), ShouldBeTrue)
				c.run(store, r)
				stop()
			})
		})
	}
}

func TestLooksOfManyBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Boxes that inform each other poll at most a little more often than a single one, and never pause for long", t, func() {
			const boxes = 9
			store := &fakeStore{state: fakeState{config: []byte("version 1")}}
			var mu sync.Mutex
			var polls []time.Time
			var fleet []*Registry
			polled := func(by *Registry) {
				mu.Lock()
				defer mu.Unlock()
				polls = append(polls, time.Now())
				for _, other := range fleet {
					if other != by {
						other.RecordPeerPoll()
					}
				}
			}
			for range boxes {
				r, stop := start(t, store, polled)
				defer stop()
				mu.Lock()
				fleet = append(fleet, r)
				mu.Unlock()
			}
			time.Sleep(10 * time.Minute)
			mu.Lock()
			seen := slices.Clone(polls)
			mu.Unlock()
			for i := 1; i < len(seen); i++ {
				So(seen[i].Sub(seen[i-1]), ShouldBeLessThan, 1500*time.Millisecond)
			}
			So(len(seen), ShouldBeLessThan, 10*60*3)
		})
	})
}

// TestLooksAfterOwnOutage cuts some boxes off from the store, but not another one. That one has to
// find a removal in time all the same, though the others attribute it to their own outage, read
// the store again and inform it.
func TestLooksAfterOwnOutage(t *testing.T) {
	const cutOff, rounds = 3, 20
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			reachable := &fakeStore{}
			reachable.change(func(s *fakeState) { s.put("a", 1) })
			other, stop := start(t, reachable, func(*Registry) {})
			defer stop()
			stores := []*fakeStore{reachable}
			for range cutOff {
				store := &fakeStore{}
				store.change(func(s *fakeState) { s.put("a", 1) })
				_, stop := start(t, store, func(r *Registry) { (&testBox{Registry: other}).receive(&testBox{Registry: r}) })
				defer stop()
				time.Sleep(time.Second)
				store.change(func(s *fakeState) { s.failing = true })
				stores = append(stores, store)
			}
			time.Sleep(5 * time.Second)
			for _, store := range stores {
				store.change(func(s *fakeState) {
					s.remove("a", 2)
					s.failing = false
				})
			}
			time.Sleep(defaultMaxLeavingDelay)
			if has(other, "a") {
				t.Error("the box that was not cut off still uses the endpoint")
			}
		})
	}
}
