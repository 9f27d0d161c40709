package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

// queueingStore decodes catalogs with a plain service that is queued in odd versions.
type queueingStore struct {
	catalogStore
}

func (queueingStore) DecodeCatalog(content []byte) (*route.Catalog, error) {
	version := uint64(content[0] - '0')
	timeout := 2 * time.Second
	if version%2 == 0 {
		timeout = time.Second
	}
	catalog := &route.Catalog{
		Version:  version,
		Routes:   []route.Route{{Name: "look", Targets: []route.Target{{Service: "api", Weight: 1}}, Timeout: timeout, LatencyTarget: 150 * time.Millisecond}},
		Services: map[string]route.Service{"api": {Name: "api"}},
	}
	catalog.Index()
	return catalog, nil
}

// newQueueingBox returns a box that knows a version of the catalog and some plain endpoints.
func newQueueingBox(t *testing.T, catalog string) *Gateway {
	g := newTestBox(t, 0)
	g.Store = queueingStore{}
	g.registry.Store = g.Store
	g.offerEndpoints(0, 256, 1)
	g.registry.OfferCatalog([]byte(catalog), "box-1")
	return g
}

func TestPlainQueueSwitch(t *testing.T) {
	newCall := func(g *Gateway) *call {
		catalog := g.registry.Catalog()
		return &call{requestFacts: requestFacts{gateway: g, route: &catalog.Routes[0], service: catalog.Services["api"], queuesPlain: catalog.QueuesPlain("api")}}
	}
	Convey("Without a route that allows it, nothing is queued: the box chooses as before", t, func() {
		g := newQueueingBox(t, "2")
		So(g.pool("api"), ShouldBeNil)
		c := newCall(g)
		So(c.isDispatched(), ShouldBeFalse)
		to, refusal := c.acquirePlain()
		So(refusal, ShouldBeNil)
		So(to.granted, ShouldResemble, verdict{})
		So(to.grantedAt.IsZero(), ShouldBeTrue)
		So(g.health.stateOf(to.ID).inFlight, ShouldEqual, 1)
		to.finishTimed(outcomeGood, time.Millisecond)
		So(g.health.stateOf(to.ID).inFlight, ShouldEqual, 0)
	})
	Convey("A new configuration turns the queue on and off, and sessions are kept only while it is on", t, func() {
		g := newQueueingBox(t, "2")
		g.registry.OfferCatalog([]byte("3"), "box-1")
		p := g.pool("api")
		So(p, ShouldNotBeNil)
		So(newCall(g).isDispatched(), ShouldBeTrue)
		So(len(p.groups), ShouldEqual, 1)
		So(p.isPersistent(), ShouldBeTrue)
		So(len(p.groups[0].pool.Endpoints()), ShouldEqual, 4)
		g.registry.OfferCatalog([]byte("4"), "box-1")
		So(newCall(g).isDispatched(), ShouldBeFalse)
		So(p.isPersistent(), ShouldBeFalse)
		g.registry.OfferCatalog([]byte("5"), "box-1")
		So(newCall(g).isDispatched(), ShouldBeTrue)
		So(p.isPersistent(), ShouldBeTrue)
	})
}

func TestSlotTimeout(t *testing.T) {
	Convey("Two dispatchers that do not respond leave more than half of a latency target of 150 ms", t, func() {
		target := 150 * time.Millisecond
		So(maxDispatchersAsked*slotTimeout(target), ShouldBeLessThan, target/2)
		So(slotTimeout(time.Second), ShouldEqual, maxSlotTimeout)
		So(slotTimeout(10*time.Millisecond), ShouldEqual, minSlotTimeout)
	})
}
