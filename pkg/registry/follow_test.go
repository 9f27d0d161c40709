package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/route"
)

// countingStore counts the calls of a fakeStore.
type countingStore struct {
	*fakeStore
	catalog, endpoints atomic.Int64
}

func (c *countingStore) Declared(ctx context.Context) (Declared, error) {
	c.catalog.Add(1)
	return c.fakeStore.Declared(ctx)
}

func (c *countingStore) Endpoints(ctx context.Context) ([]Entry, epoch.Version, error) {
	c.endpoints.Add(1)
	return c.fakeStore.Endpoints(ctx)
}

func (c *countingStore) EndpointsSince(ctx context.Context, version epoch.Version) ([]Entry, epoch.Version, error) {
	c.endpoints.Add(1)
	return c.fakeStore.EndpointsSince(ctx, version)
}

// TestFollowing checks which boxes call the store, and when.
func TestFollowing(t *testing.T) {
	type box struct {
		*Registry
		store                  *countingStore
		follows, lostElsewhere atomic.Bool
		// lost has room for all reports of a case.
		lost chan bool
	}
	inform := func(b *box) {
		b.OfferCatalog([]byte("version 1"), "box-2")
		b.OfferEntries([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, route.Knowledge{Known: 1, Base: 1, Polls: 1}, "box-2")
	}
	cases := []struct {
		name string
		// before is set if the fleet has run before.
		before bool
		run    func(*box)
	}{
		{"a box that receives the state calls the store only for the list of boxes", false, func(b *box) {
			inform(b)
			time.Sleep(time.Minute)
			So(b.store.catalog.Load()+b.store.endpoints.Load(), ShouldEqual, 0)
		}},
		{"a box that receives nothing reads the store itself", false, func(b *box) {
			time.Sleep(firstStartTimeout + time.Second + 2*followCheckInterval)
			So(b.Catalog(), ShouldNotBeNil)
			So(has(b.Registry, "a"), ShouldBeTrue)
		}},
		{"a box of a fleet that has run before reads at once", true, func(b *box) {
			time.Sleep(10 * time.Millisecond)
			So(b.Catalog(), ShouldNotBeNil)
			So(has(b.Registry, "a"), ShouldBeTrue)
		}},
		{"a box that takes over continues from the version that it received", false, func(b *box) {
			inform(b)
			time.Sleep(time.Minute)
			b.store.change(func(s *fakeState) { s.remove("a", 2) })
			b.follows.Store(true)
			time.Sleep(2 * followCheckInterval)
			So(has(b.Registry, "a"), ShouldBeFalse)
			So(b.Knowledge().Known, ShouldEqual, 2)
		}},
		{"one that takes over from boxes that had lost the store keeps removed entries for a grace period", false, func(b *box) {
			inform(b)
			time.Sleep(time.Minute)
			b.store.change(func(s *fakeState) { s.remove("a", 2) })
			b.lostElsewhere.Store(true)
			b.follows.Store(true)
			time.Sleep(2 * followCheckInterval)
			So(has(b.Registry, "a"), ShouldBeTrue)
			time.Sleep(2 * defaultMaxLeavingDelay)
			So(has(b.Registry, "a"), ShouldBeFalse)
		}},
		{"it reports when its calls fail, and when they succeed again", false, func(b *box) {
			b.follows.Store(true)
			time.Sleep(5 * time.Second)
			b.store.change(func(s *fakeState) { s.failing = true })
			time.Sleep(10 * time.Second)
			b.store.change(func(s *fakeState) { s.failing = false })
			time.Sleep(10 * time.Second)
			So(len(b.lost), ShouldBeGreaterThanOrEqualTo, 2)
			So(<-b.lost, ShouldBeTrue)
			for len(b.lost) > 1 {
				<-b.lost
			}
			So(<-b.lost, ShouldBeFalse)
		}},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				b := &box{lost: make(chan bool, 100), store: &countingStore{fakeStore: &fakeStore{state: fakeState{config: []byte("version 1")}}}}
				b.store.change(func(s *fakeState) { s.put("a", 1) })
				b.Registry = &Registry{
					Store:                b.store,
					Log:                  zap.NewNop(),
					Changed:              func() {},
					FoundBoxes:           func([]Box) {},
					Polled:               func() {},
					CountOtherFollowers:  func() int { return 9 },
					IsFollower:           func() bool { return b.follows.Load() },
					IsStoreLostElsewhere: func() bool { return b.lostElsewhere.Load() },
					StoreLost:            func(lost bool) { b.lost <- lost },
					FirstStart:           !c.before,
				}
				ctx, cancel := context.WithCancel(context.Background())
				group := errgroup.Group{}
				group.Go(func() error { return b.Run(ctx) })
				c.run(b)
				cancel()
				So(group.Wait(), ShouldBeNil)
			})
		})
	}
}

// TestUnservedBoxLooks guards against a box that waits forever for changes that no other box can
// supply. In a fault soak, two of five boxes sent requests for 12 s, until it was over, to
// endpoints that had ended: they did not follow the store, and the state of all the others began
// after the version that these two knew, so that no box could send them the changes in between.
// Reports from which the box could not take the changes were dropped silently, and only a box
// without any state read the store while others followed it. With no other change than that such a
// box reads the store within a second, it finds the new endpoint.
func TestUnservedBoxLooks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A box that lacks changes which no other box can supply reads the store", t, func() {
			store := &countingStore{fakeStore: &fakeStore{state: fakeState{config: []byte("version 1")}}}
			r := &Registry{
				Store: store, Log: zap.NewNop(), FirstStart: true,
				Changed: func() {}, FoundBoxes: func([]Box) {}, Polled: func() {},
				CountOtherFollowers: func() int { return 4 }, IsFollower: func() bool { return false },
				IsStoreLostElsewhere: func() bool { return false },
			}
			ctx, stop := context.WithCancel(context.Background())
			group := errgroup.Group{}
			group.Go(func() error { return r.Run(ctx) })
			r.OfferCatalog([]byte("version 1"), "box-2")
			r.OfferEntries([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, route.Knowledge{Known: 1, Base: 1, Polls: 1}, "box-2")
			time.Sleep(time.Minute)
			store.change(func(s *fakeState) { s.remove("a", 2); s.put("b", 3) })
			// The other box started later, with a full read, and reports its knowledge repeatedly.
			later := route.Knowledge{Known: 3, Base: 3, Polls: 2}
			for range 20 {
				r.ReceiveKnowledge(later, 3)
				time.Sleep(500 * time.Millisecond)
			}
			found := has(r, "b")
			stop()
			So(group.Wait(), ShouldBeNil)
			So(found, ShouldBeTrue)
		})
	})
}
