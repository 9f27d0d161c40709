package registry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/epoch"
)

// pagedStore takes a time for the whole table, and may turn its box away.
type slowStore struct {
	*countingStore
	readTime time.Duration
	refuses  bool
}

func (s *slowStore) Endpoints(ctx context.Context) ([]Entry, epoch.Version, error) {
	if s.refuses {
		s.endpoints.Add(1)
		return nil, 0, errStoreDown
	}
	time.Sleep(s.readTime)
	return s.countingStore.Endpoints(ctx)
}

// restarted is a fleet whose boxes all start at once, though it has run before.
type restartedFleet struct {
	boxes  []*Registry
	stores []*slowStore
}

const (
	restartedBoxes = 100
	// hop is how long it takes until a box that knows all has told another one.
	hopDelay = 150 * time.Millisecond
)

func newRestartedFleet(state *fakeStore, turnedAway int) *restartedFleet {
	f := &restartedFleet{}
	for i := range restartedBoxes {
		store := &slowStore{countingStore: &countingStore{fakeStore: state}, readTime: 200 * time.Millisecond, refuses: i < turnedAway}
		f.stores = append(f.stores, store)
		f.boxes = append(f.boxes, &Registry{
			Store: store, Log: zap.NewNop(),
			Changed: func() {}, FoundBoxes: func([]Box) {}, Polled: func() {}, StoreLost: func(bool) {},
			Peers:   func() int { return restartedBoxes - 1 },
			Follows: func() bool { return i < 2 }, LostElsewhere: func() bool { return false },
			StartRank: func() int { return i },
		})
	}
	return f
}

// spread has each box that knows all tell a few others, hop by hop.
func (f *restartedFleet) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		var know []*Registry
		for _, box := range f.boxes {
			if box.Directory() != nil && box.Catalog() != nil {
				know = append(know, box)
			}
		}
		told := 0
		for _, box := range f.boxes {
			if told < 6*len(know) && box.Directory() == nil {
				from := know[told%len(know)]
				entries, then, _ := from.EntriesSince(0)
				_, content := from.Content()
				box.OfferCatalog(content, "other")
				box.OfferEntries(valuesOf(entries), then, "other")
				told++
			}
		}
		time.Sleep(hopDelay)
	}
}

// play runs the fleet until all know, and tells how long that took and how many read the table.
func (f *restartedFleet) run() (took time.Duration, readers int) {
	ctx, cancel := context.WithCancel(context.Background())
	group := errgroup.Group{}
	began := time.Now()
	for _, box := range f.boxes {
		group.Go(func() error { return box.Run(ctx) })
	}
	group.Go(func() error {
		f.gossip(ctx)
		return nil
	})
	for f.isIncomplete() && time.Since(began) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	took = time.Since(began)
	cancel()
	So(group.Wait(), ShouldBeNil)
	for _, store := range f.stores {
		if store.endpoints.Load() > 0 {
			readers++
		}
	}
	return took, readers
}

func (f *restartedFleet) isIncomplete() bool {
	for _, box := range f.boxes {
		if box.isUninitialized() {
			return true
		}
	}
	return false
}

// TestTurns holds how many boxes read the store where all start at once.
func TestTurns(t *testing.T) {
	newState := func() *fakeStore {
		state := &fakeStore{state: fakeState{config: []byte("version 1")}}
		state.change(func(s *fakeState) { s.put("a", 1) })
		return state
	}
	for _, c := range []struct {
		name       string
		turnedAway int
		most       int
	}{
		{"the first ones read, and the others are told", 0, maxStartReaders},
		{"where the store turns the first ones away, the next ones read", maxStartReaders, 2 * maxStartReaders},
		{"and those after them", 2 * maxStartReaders, 3 * maxStartReaders},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				took, readers := newRestartedFleet(newState(), c.turnedAway).run()
				So(readers, ShouldBeLessThanOrEqualTo, c.most)
				So(took, ShouldBeLessThan, 2*time.Second+time.Duration(c.turnedAway/maxStartReaders)*minTurnInterval)
			})
		})
	}
}

// TestTurnsOfSlowStore guards against boxes that read for themselves as those before them are
// slow, which slows the store for all.
func TestTurnsOfSlowStore(t *testing.T) {
	for _, c := range []struct {
		name string
		// takes is the time of a reading, and lost how many of the first boxes are alive and
		// turned away.
		takes time.Duration
		lost  int
		most  int
	}{
		{"the others wait for the first ones, however slow", 20 * time.Second, 0, maxStartReaders},
		{"others stand in for those that the store turns away", 5 * time.Second, 3, maxStartReaders + 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				state := &fakeStore{state: fakeState{config: []byte("version 1")}}
				state.change(func(s *fakeState) { s.put("a", 1) })
				f := newRestartedFleet(state, c.lost)
				for i, box := range f.boxes {
					f.stores[i].readTime = c.takes
					box.LiveAhead = func() int { return max(0, i-c.lost) }
				}
				took, readers := f.run()
				So(readers, ShouldBeLessThanOrEqualTo, c.most)
				So(took, ShouldBeLessThan, c.takes+3*time.Second)
			})
		})
	}
}
