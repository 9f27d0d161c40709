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

// callsOf counts the calls of a store that fakeStore serves.
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

// TestFollowing holds which boxes call the store, and when.
func TestFollowing(t *testing.T) {
	type box struct {
		*Registry
		store                  *countingStore
		follows, lostElsewhere atomic.Bool
		// lost has room for all that a case is told.
		lost chan bool
	}
	told := func(b *box) {
		b.OfferCatalog([]byte("version 1"), "box-2")
		b.OfferEntries([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, route.Knowledge{Known: 1, Base: 1, Looks: 1}, "box-2")
	}
	cases := []struct {
		name string
		// before is set where the fleet has run before.
		before bool
		run    func(*box)
	}{
		{"a box that is told all calls only to be found", false, func(b *box) {
			told(b)
			time.Sleep(time.Minute)
			So(b.store.catalog.Load()+b.store.endpoints.Load(), ShouldEqual, 0)
		}},
		{"a box that nobody tells anything looks for itself", false, func(b *box) {
			time.Sleep(firstStartTimeout + time.Second + 2*followCheckInterval)
			So(b.Catalog(), ShouldNotBeNil)
			So(has(b.Registry, "a"), ShouldBeTrue)
		}},
		{"a box of a fleet that has run before looks at once", true, func(b *box) {
			time.Sleep(10 * time.Millisecond)
			So(b.Catalog(), ShouldNotBeNil)
			So(has(b.Registry, "a"), ShouldBeTrue)
		}},
		{"a box that takes over reads on from what it was told", false, func(b *box) {
			told(b)
			time.Sleep(time.Minute)
			b.store.change(func(s *fakeState) { s.remove("a", 2) })
			b.follows.Store(true)
			time.Sleep(2 * followCheckInterval)
			So(has(b.Registry, "a"), ShouldBeFalse)
			So(b.Knowledge().Known, ShouldEqual, 2)
		}},
		{"one that takes over from boxes that had lost the store keeps what lapsed there for a while", false, func(b *box) {
			told(b)
			time.Sleep(time.Minute)
			b.store.change(func(s *fakeState) { s.remove("a", 2) })
			b.lostElsewhere.Store(true)
			b.follows.Store(true)
			time.Sleep(2 * followCheckInterval)
			So(has(b.Registry, "a"), ShouldBeTrue)
			time.Sleep(2 * defaultMaxLeavingDelay)
			So(has(b.Registry, "a"), ShouldBeFalse)
		}},
		{"the others are told when its calls fail, and when they work again", false, func(b *box) {
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
					Store:         b.store,
					Log:           zap.NewNop(),
					Changed:       func() {},
					FoundBoxes:    func([]Box) {},
					Polled:        func() {},
					Peers:         func() int { return 9 },
					Follows:       func() bool { return b.follows.Load() },
					LostElsewhere: func() bool { return b.lostElsewhere.Load() },
					StoreLost:     func(lost bool) { b.lost <- lost },
					FirstStart:    !c.before,
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

// What happened in a fault soak: two of five boxes sent requests to endpoints that had ended
// for the 12 s until it was over. They did not follow the store, and all others had started
// after what these two knew, so none of them could tell what went in between. A box whom
// nobody can serve has to look by itself.
//
// The cause: what others told that was of no use was passed over without a trace, and only a
// box that knew nothing at all looked though others follow. The evidence: with nothing else
// changed than that it looks within a second, the endpoint that came is known.
func TestUnservedBoxLooks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A box that the others can not tell what it lacks looks at the store", t, func() {
			store := &countingStore{fakeStore: &fakeStore{state: fakeState{config: []byte("version 1")}}}
			r := &Registry{
				Store: store, Log: zap.NewNop(), FirstStart: true,
				Changed: func() {}, FoundBoxes: func([]Box) {}, Polled: func() {},
				Peers: func() int { return 4 }, Follows: func() bool { return false },
				LostElsewhere: func() bool { return false },
			}
			ctx, stop := context.WithCancel(context.Background())
			group := errgroup.Group{}
			group.Go(func() error { return r.Run(ctx) })
			r.OfferCatalog([]byte("version 1"), "box-2")
			r.OfferEntries([]Entry{{Endpoint: endpointOf("a"), Version: 1}}, route.Knowledge{Known: 1, Base: 1, Looks: 1}, "box-2")
			time.Sleep(time.Minute)
			store.change(func(s *fakeState) { s.remove("a", 2); s.put("b", 3) })
			// It started later, with a whole reading, and tells again and again.
			later := route.Knowledge{Known: 3, Base: 3, Looks: 2}
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
