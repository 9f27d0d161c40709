package gateway

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/partition"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/registry"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/settings"
)

// catalogStore decodes every catalog to one with a service of engines and a plain service.
type catalogStore struct {
	registry.Store
}

func (catalogStore) DecodeCatalog([]byte) (*route.Catalog, error) {
	catalog := &route.Catalog{Version: 1, Services: map[string]route.Service{
		"llm": {Name: "llm", Engine: &route.Engine{Slots: 16, CacheTokens: 400000}},
		"api": {Name: "api"},
	}}
	catalog.Index()
	return catalog, nil
}

// newTestBox returns a box without a network that has received the given number of endpoints.
func newTestBox(t testing.TB, endpoints int) *Gateway {
	g := &Gateway{
		Settings: Settings{Name: "box-0", Zone: "zone-a", Cores: 0.2},
		Store:    catalogStore{},
		Logs:     logflags.Logs{Settings: settings.Log{Level: "error"}}.Cached(),
	}
	g.prepare()
	g.work = &errgroup.Group{}
	g.workContext, g.cancelWork = context.WithCancelCause(context.Background())
	t.Cleanup(func() {
		g.cancelWork(nil)
		if err := g.work.Wait(); err != nil {
			t.Error(err)
		}
	})
	g.registry.OfferCatalog([]byte("1"), "box-1")
	g.offerEndpoints(0, endpoints, 1)
	return g
}

// offerEndpoints gives a box entries of endpoints, as a peer does.
func (g *Gateway) offerEndpoints(from, count int, version epoch.Version) {
	entries := make([]registry.Entry, 0, count)
	for i := range count {
		entry := registry.Entry{Version: version + epoch.Version(i)}
		entry.ID = fmt.Sprintf("i-%08x", 7919*(from+i))
		entry.Address = fmt.Sprintf("10.%d.%d.%d:8080", (from+i)>>16, (from+i)>>8&255, (from+i)&255)
		entry.Zone, entry.Service, entry.Slots = "zone-"+string(rune('a'+i%5)), "llm", 16
		if i%64 == 0 {
			entry.Service = "api"
		}
		entries = append(entries, entry)
	}
	last := version + epoch.Version(count) - 1
	g.registry.OfferEntries(entries, route.Knowledge{Known: last, Base: 1, Polls: uint64(last)}, "box-1")
}

// heapInUse returns the bytes of the heap that are in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// allocated returns how many bytes a call allocates.
func allocated(call func()) uint64 {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

const (
	// fewEndpoints and manyEndpoints are the numbers of endpoints of fleets of 100 and of 1,000
	// boxes.
	fewEndpoints, manyEndpoints = 1000, 10000
	// maxHeldBytes bounds the memory of manyEndpoints on a box that uses none of them, and
	// maxBytesPerEndpoint that of each.
	maxHeldBytes        = 6 << 20
	maxBytesPerEndpoint = 400
)

// TestBoxHoldsLittle checks that a box without requests keeps only a table of the endpoints. When
// it kept a pool of engines for each group, it used 12.8 MB with 10,000 endpoints.
func TestBoxHoldsLittle(t *testing.T) {
	Convey("A box keeps only a small row of each endpoint that it does not use", t, func() {
		empty := heapInUse()
		g := newTestBox(t, manyEndpoints)
		held := heapInUse() - empty
		runtime.KeepAlive(g)
		t.Logf("%d bytes for %d endpoints", held, manyEndpoints)
		So(held, ShouldBeLessThan, maxHeldBytes)
		So(held/manyEndpoints, ShouldBeLessThan, maxBytesPerEndpoint)
	})
}

// TestChangeCostsAlike checks that a change of one endpoint costs the same with ten times as
// many endpoints.
func TestChangeCostsAlike(t *testing.T) {
	Convey("A change of one endpoint allocates about the same with few and with many endpoints", t, func() {
		cost := map[int]uint64{}
		for _, count := range []int{fewEndpoints, manyEndpoints} {
			g := newTestBox(t, count)
			version := epoch.Version(count + 1)
			const changes = 50
			all := allocated(func() {
				for range changes {
					g.offerEndpoints(count, 1, version)
					version++
				}
			})
			cost[count] = all / changes
		}
		t.Logf("%v bytes", cost)
		So(cost[manyEndpoints], ShouldBeLessThan, 2*cost[fewEndpoints])
	})
}

const (
	// maxResentBytes bounds the bytes that one box sends another one to report all endpoints, and
	// maxReloadAllocation those that the receiver allocates.
	maxResentBytes      = 768 << 10
	maxReloadAllocation = 16 << 20
)

// TestRestoreIsToldOnce gives all rows a later epoch, as a restore of the store does that changes
// none of them: they are sent once and do not change the directory.
func TestRestoreIsToldOnce(t *testing.T) {
	Convey("Another box receives all rows once, in parts, and its directory does not change", t, func() {
		sender, receiver := newTestBox(t, manyEndpoints), newTestBox(t, manyEndpoints)
		before := receiver.registry.Directory()
		restored := epoch.Join(1, 1)
		sender.offerEndpoints(0, manyEndpoints, restored)
		sent, parts := 0, 0
		took := allocated(func() {
			all := &peerpb.Directory{}
			since := receiver.knownVersion()
			for more := true; more; parts++ {
				directory := sender.Directory(since)
				sent += proto.Size(directory)
				for _, message := range directory.Endpoints {
					since = max(since, message.Version)
				}
				all.Endpoints = append(all.Endpoints, directory.Endpoints...)
				all.Knowledge, more = directory.Knowledge, directory.More
			}
			receiver.registry.OfferEntries(decodeEntries(all), peer.DecodeKnowledge(all.Knowledge), "teller")
		})
		t.Logf("%d bytes in %d parts, %d allocated", sent, parts, took)
		So(receiver.knownVersion(), ShouldEqual, sender.knownVersion())
		So(receiver.registry.Directory(), ShouldEqual, before)
		So(sent, ShouldBeLessThan, maxResentBytes)
		So(took, ShouldBeLessThan, maxReloadAllocation)
		So(sender.Directory(receiver.knownVersion()).Endpoints, ShouldBeEmpty)
	})
}

// TestGroupsComeAndGo checks that a box keeps groups of engines only while its requests use
// them.
func TestGroupsComeAndGo(t *testing.T) {
	Convey("A large pool creates the groups that prompts use, and drops idle ones", t, func() {
		g := newTestBox(t, manyEndpoints)
		p := g.pool("llm")
		So(p.activeGroups(), ShouldBeEmpty)
		engines := 0
		for _, weight := range p.weights {
			engines += weight
		}
		So(engines, ShouldEqual, p.engines)
		req := &dispatch.Request{ID: "r", Prompt: dispatch.Prompt{Parts: []dispatch.Part{{ID: 1, Tokens: 2000}, {ID: 2, Tokens: 10}}}}
		used := p.groupFor(req)
		So(p.groupFor(req), ShouldEqual, used)
		So(p.activeGroups(), ShouldHaveLength, 1)
		So(len(used.endpoints), ShouldBeBetween, partition.MaxGroupEngines/2, 2*partition.MaxGroupEngines)
		p.dropIdleGroups(used.usedAt.Add(groupIdleTimeout / 2))
		So(p.activeGroups(), ShouldHaveLength, 1)
		p.dropIdleGroups(used.usedAt.Add(groupIdleTimeout))
		So(p.activeGroups(), ShouldBeEmpty)
	})
	Convey("A small pool has all of its groups at all times", t, func() {
		g := newTestBox(t, 2*partition.MaxGroupEngines)
		p := g.pool("llm")
		So(p.activeGroups(), ShouldHaveLength, 2)
		p.dropIdleGroups(p.groups[0].usedAt.Add(groupIdleTimeout))
		So(p.activeGroups(), ShouldHaveLength, 2)
	})
}
