package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// copyingService is a service whose engines copy cached parts from each other, with the figures
// of docs/design/hard-load.md.
var copyingService = route.Service{Name: "llm", Engine: &route.Engine{Slots: 64, CacheTokens: 500000, TokenBytes: 18432, CopiesCache: true, CopyRate: 11e9}}

// newCopyingPool returns a pool of engines in three zones that copy cached parts.
func newCopyingPool(engines int) *Pool {
	p := newTestPool(0, 0)
	p.Rules.Fetch = true
	p.Configure(copyingService, 0)
	p.SetEndpoints(zonedEndpoints(engines), start)
	return p
}

func zonedEndpoints(count int) (endpoints []route.Endpoint) {
	for i := range count {
		endpoints = append(endpoints, route.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "llm", Slots: 64, Zone: fmt.Sprintf("zone-%d", i%3), Facts: lifecycle.Facts{Born: 1}})
	}
	return endpoints
}

// withPart returns a request for a long shared part.
func withPart(id string, part uint64, now time.Time) *Request {
	return newRequest(id, "a", now, shared(part), Part{ID: part<<32 + uint64(len(id)), Tokens: 100})
}

// reportPart makes an engine report that it has a part cached.
func reportPart(p *Pool, engine string, part uint64) {
	p.ApplyCacheReport(CachedParts{Endpoint: engine, Born: 1, Parts: []Part{shared(part)}}, start)
}

// plan returns the transfer that an engine would make for a request.
func plan(p *Pool, engine string, req *Request, now time.Time) transfer {
	p.round++
	e := p.engines[engine]
	_, missing := e.missingTokens(&req.Prompt)
	return p.planTransfer(e, req, missing, now)
}

// grantAtHome grants a request at an engine that has to obtain its part.
func grantAtHome(p *Pool, req *Request, engine string, now time.Time) *Grant {
	p.round++
	p.Submit(req, now)
	return p.grant(p.account(req.Customer), req, p.engines[engine], now)
}

func TestTransferOfGrant(t *testing.T) {
	Convey("A grant at an engine that lacks a part names the one that has it", t, func() {
		p := newCopyingPool(3)
		reportPart(p, "e1", 7)
		g := grantAtHome(p, withPart("1", 7, start), "e0", start)
		So(g.FetchFrom, ShouldEqual, "e1")
		So(g.FetchedTokens, ShouldEqual, 13000)
		So(g.MissingTokens, ShouldEqual, 0)
		Convey("with a predicted time of the set-up, the copied bytes and the rest to be read", func() {
			duration, ok := p.copyTime(13000)
			So(ok, ShouldBeTrue)
			So(duration, ShouldAlmostEqual, 29783*time.Microsecond, 100*time.Microsecond)
			e := p.engines["e0"]
			So(g.ReadTime, ShouldEqual, duration+e.readTime(100))
			So(e.predictedWait(start), ShouldEqual, g.ReadTime)
		})
		Convey("The next prompt with the part finds it cached there", func() {
			g := grantAtHome(p, withPart("2", 7, start), "e0", start)
			So(g.FetchFrom, ShouldBeEmpty)
			So(g.MissingTokens, ShouldEqual, 0)
		})
	})
	Convey("A part that must be fetched costs less than one that must be read, and more than a cached one", t, func() {
		p := newCopyingPool(3)
		reportPart(p, "e1", 7)
		req := withPart("1", 7, start)
		cost := func(engine string) time.Duration {
			p.round++
			return p.readCost(p.engines[engine], req, start)
		}
		cached, fetched := cost("e1"), cost("e0")
		So(fetched, ShouldBeGreaterThan, cached)
		p.Rules.Fetch = false
		So(fetched, ShouldBeLessThan, cost("e0")/2)
	})
	Convey("Nothing is copied between engines of two releases", t, func() {
		p := newCopyingPool(0)
		endpoints := zonedEndpoints(3)
		endpoints[1].Release = "v2"
		p.SetEndpoints(endpoints, start)
		reportPart(p, "e1", 7)
		So(plan(p, "e0", withPart("1", 7, start), start).source, ShouldBeNil)
		reportPart(p, "e2", 7)
		So(plan(p, "e0", withPart("1", 7, start), start).source.ID, ShouldEqual, "e2")
	})
	Convey("An engine with the first of two parts fetches the second", t, func() {
		p := newCopyingPool(3)
		first, second := Part{ID: 1, Tokens: 6000}, Part{ID: 2, Tokens: 6000}
		p.ApplyCacheReport(CachedParts{Endpoint: "e0", Parts: []Part{first}}, start)
		p.ApplyCacheReport(CachedParts{Endpoint: "e1", Parts: []Part{first, second}}, start)
		req := newRequest("1", "a", start, first, second, Part{ID: 3, Tokens: 10})
		So(plan(p, "e0", req, start).tokens, ShouldEqual, 6000)
		So(plan(p, "e2", req, start).tokens, ShouldEqual, 12000)
		Convey("and an engine with the second alone is no source, as it can not use it", func() {
			p.ApplyCacheReport(CachedParts{Endpoint: "e2", Parts: []Part{second}}, start)
			t := plan(p, "e0", req, start)
			So(t.source.ID, ShouldEqual, "e1")
			So(plan(p, "e2", req, start).source.ID, ShouldEqual, "e1")
		})
	})
}

func TestWhenTransfersPay(t *testing.T) {
	pool := func(tokenBytes int, rate float64) *Pool {
		p := newCopyingPool(3)
		engine := *copyingService.Engine
		engine.TokenBytes, engine.CopyRate = tokenBytes, rate
		p.Configure(route.Service{Name: "llm", Engine: &engine}, 0)
		reportPart(p, "e1", 7)
		return p
	}
	req := withPart("1", 7, start)
	Convey("Nothing is fetched where a transfer is not clearly faster than reading", t, func() {
		So(plan(pool(18432, 11e9), "e0", req, start).source, ShouldNotBeNil)
		So(plan(pool(18432, 1e9), "e0", req, start).source, ShouldBeNil)
		fast := pool(18432, 11e9)
		fast.engines["e0"].rate = 400000
		So(plan(fast, "e0", req, start).source, ShouldBeNil)
	})
	Convey("Nothing is fetched at an unknown rate", t, func() {
		So(plan(pool(0, 11e9), "e0", req, start).source, ShouldBeNil)
		So(plan(pool(18432, 0), "e0", req, start).source, ShouldBeNil)
	})
	Convey("Parts that take no longer to read than a transfer are not fetched", t, func() {
		p := newCopyingPool(3)
		short := Part{ID: 9, Tokens: 350}
		p.ApplyCacheReport(CachedParts{Endpoint: "e1", Parts: []Part{short}}, start)
		So(plan(p, "e0", newRequest("1", "a", start, short, Part{ID: 10, Tokens: 1100}), start).source, ShouldBeNil)
	})
}

func TestSourcesOfTransfers(t *testing.T) {
	req := withPart("1", 7, start)
	Convey("A part that is only assumed to be cached is not fetched", t, func() {
		p := newCopyingPool(3)
		p.Warm = true
		p.statsFor(&req.Prompt, start)
		home := p.statsFor(&req.Prompt, start).ranked[0]
		So(home.cacheIndex[7], ShouldNotBeNil)
		for _, e := range p.sorted {
			So(plan(p, e.ID, req, start).source, ShouldBeNil)
		}
	})
	Convey("A part is fetched once its first reader has begun, and not while it is read", t, func() {
		p := newCopyingPool(3)
		grantAtHome(p, withPart("first", 7, start), "e1", start)
		So(plan(p, "e0", req, start).source, ShouldBeNil)
		p.Begin("first", start.Add(300*time.Millisecond))
		So(plan(p, "e0", req, start.Add(300*time.Millisecond)).source.ID, ShouldEqual, "e1")
	})
	Convey("A part whose reader ended without a first event is not fetched", t, func() {
		p := newCopyingPool(3)
		grantAtHome(p, withPart("first", 7, start), "e1", start)
		p.End("first", NotRun{}, start)
		So(plan(p, "e0", req, start.Add(time.Second)).source, ShouldBeNil)
	})
	Convey("A source in the same zone is preferred", t, func() {
		p := newCopyingPool(6)
		for _, id := range []string{"e1", "e3", "e5"} {
			reportPart(p, id, 7)
		}
		So(plan(p, "e0", req, start).source.ID, ShouldEqual, "e3")
		So(plan(p, "e2", req, start).source.ID, ShouldEqual, "e5")
	})
	for name, spoil := range map[string]func(*Pool, *engine){
		"is ejected":                         func(_ *Pool, e *engine) { e.ejectedUntil = start.Add(time.Hour) },
		"failed and has not responded since": func(_ *Pool, e *engine) { e.consecutiveFailures = 1 },
		"is stalled": func(p *Pool, e *engine) {
			p.addGrant(newRequest("stuck", "a", start, Part{ID: 99, Tokens: 10}), e, start.Add(-10*time.Second))
		},
		"is evacuated":         func(_ *Pool, e *engine) { e.state.Evacuated = true },
		"was late":             func(_ *Pool, e *engine) { e.avoidedUntil = start.Add(time.Hour) },
		"has evicted the part": func(_ *Pool, e *engine) { e.evict(e.cacheIndex[7]) },
		"has restarted": func(p *Pool, _ *engine) {
			endpoints := zonedEndpoints(3)
			endpoints[1].Born = 2
			p.SetEndpoints(endpoints, start)
		},
		"is gone": func(p *Pool, _ *engine) { p.SetEndpoints(zonedEndpoints(1), start) },
	} {
		Convey("Nothing is fetched from an engine that "+name, t, func() {
			p := newCopyingPool(3)
			reportPart(p, "e1", 7)
			So(plan(p, "e0", req, start).source.ID, ShouldEqual, "e1")
			spoil(p, p.engines["e1"])
			So(plan(p, "e0", req, start).source, ShouldBeNil)
		})
	}
	Convey("An engine that is leaving is a source until it is gone, and gets no requests", t, func() {
		p := newCopyingPool(3)
		reportPart(p, "e1", 7)
		endpoints := zonedEndpoints(3)
		leaving := endpoints[1]
		leaving.Leaving = true
		p.SetLeaving([]route.Endpoint{leaving}, start)
		p.SetEndpoints([]route.Endpoint{endpoints[0], endpoints[2]}, start)
		So(plan(p, "e0", req, start).source.ID, ShouldEqual, "e1")
		So(p.HasEngine("e1"), ShouldBeFalse)
		So(plan(p, "e0", req, start.Add(leavingSourceTime)).source, ShouldBeNil)
		Convey("A new dispatcher learns what it has cached", func() {
			after := newCopyingPool(0)
			after.SetLeaving([]route.Endpoint{leaving}, start)
			after.SetEndpoints([]route.Endpoint{endpoints[0], endpoints[2]}, start)
			for _, cached := range p.CachedParts() {
				after.AddCachedParts(cached, start)
			}
			So(plan(after, "e0", req, start).source.ID, ShouldEqual, "e1")
		})
		Convey("When it is no longer listed, nothing is fetched from it", func() {
			p.SetLeaving(nil, start)
			So(plan(p, "e0", req, start).source, ShouldBeNil)
		})
		Convey("Nor when a later instance has its ID", func() {
			endpoints[1].Born = 2
			p.SetLeaving(nil, start)
			p.SetEndpoints(endpoints, start)
			So(plan(p, "e0", req, start).source, ShouldBeNil)
		})
	})
}

func TestBoundOfTransfers(t *testing.T) {
	Convey("An engine is the source of few transfers at once, until their requests begin or end", t, func() {
		p := newCopyingPool(9)
		reportPart(p, "e1", 7)
		p.engines["e1"].rate = 20000
		for i, id := range []string{"e0", "e2", "e3", "e4"} {
			// Slow reading makes even the last transfer pay.
			p.engines[id].rate = 20000
			g := grantAtHome(p, withPart(id, 7, start), id, start)
			So(g.FetchFrom != "", ShouldEqual, i < maxTransfers)
		}
		p.engines["e5"].rate = 20000
		So(plan(p, "e5", withPart("x", 7, start), start).source, ShouldBeNil)
		p.End("e0", NotRun{}, start)
		So(plan(p, "e5", withPart("x", 7, start), start).source, ShouldNotBeNil)
	})
	Convey("An engine makes its transfers one after another, and few at once", t, func() {
		p := newCopyingPool(9)
		p.engines["e0"].rate = 20000
		for part := range uint64(maxTransfers + 1) {
			reportPart(p, fmt.Sprint("e", 1+part), 100+part)
		}
		for part := range uint64(maxTransfers) {
			g := grantAtHome(p, withPart(fmt.Sprint(part), 100+part, start), "e0", start)
			So(g.FetchFrom, ShouldEqual, fmt.Sprint("e", 1+part))
		}
		duration, _ := p.copyTime(13000)
		So(p.engines["e0"].transfersUntil, ShouldEqual, start.Add(maxTransfers*duration))
		So(plan(p, "e0", withPart("x", 100+maxTransfers, start), start).source, ShouldBeNil)
	})
	Convey("A router that decides without the dispatcher uses a source for one transfer at a time", t, func() {
		p := newCopyingPool(9)
		p.Routers = 20
		reportPart(p, "e1", 7)
		So(grantAtHome(p, withPart("1", 7, start), "e0", start).FetchFrom, ShouldEqual, "e1")
		So(grantAtHome(p, withPart("2", 7, start), "e2", start).FetchFrom, ShouldBeEmpty)
	})
	Convey("The search evaluates a bounded number of sources", t, func() {
		p := newCopyingPool(90)
		for i := range 90 {
			reportPart(p, fmt.Sprint("e", i), 7)
		}
		So(p.findSources(withPart("1", 7, start), start), ShouldHaveLength, maxSources)
	})
}

func TestFailedTransfers(t *testing.T) {
	granted := func() (*Pool, *Grant) {
		p := newCopyingPool(3)
		reportPart(p, "e1", 7)
		return p, grantAtHome(p, withPart("1", 7, start), "e0", start)
	}
	onTime := func(p *Pool, g *Grant) time.Time { return start.Add(g.ReadTime + p.engines["e0"].lag) }
	Convey("A source after which the first event is far late is avoided for a while, and longer the next time", t, func() {
		p, g := granted()
		readAgain := p.engines["e0"].readTime(13000)
		p.Begin("1", onTime(p, g).Add(readAgain))
		now := onTime(p, g).Add(readAgain)
		So(p.TakeTransferCounts(), ShouldResemble, TransferCounts{Started: 1, Tokens: 13000, Late: 1})
		next := withPart("2", 7, now)
		p.engines["e0"].evict(p.engines["e0"].cacheIndex[7])
		So(plan(p, "e2", next, now).source, ShouldBeNil)
		now = now.Add(minAvoidance)
		g = grantAtHome(p, next, "e2", now)
		So(g.FetchFrom, ShouldNotBeEmpty)
		from := p.grants["2"].transfer.source
		from.consecutiveLate = 1
		p.Begin("2", now.Add(time.Second))
		So(from.avoidedUntil, ShouldEqual, now.Add(time.Second+2*minAvoidance))
	})
	Convey("A source after which it is in time is used again", t, func() {
		p, g := granted()
		p.engines["e1"].consecutiveLate = 2
		p.Begin("1", onTime(p, g))
		So(p.engines["e1"].consecutiveLate, ShouldEqual, 0)
		So(p.TakeTransferCounts().Late, ShouldEqual, 0)
		So(plan(p, "e2", withPart("2", 7, start), onTime(p, g)).source, ShouldNotBeNil)
	})
	Convey("A target that fails or refuses is no fault of the source", t, func() {
		for _, outcome := range []Outcome{NotRun{}, Unreachable{}, Broken{}, Unused{}} {
			p, _ := granted()
			p.End("1", outcome, start.Add(time.Second))
			So(p.engines["e1"].avoidedUntil.IsZero(), ShouldBeTrue)
			So(p.engines["e1"].sending, ShouldEqual, 0)
		}
	})
	Convey("A source is avoided if the caller gave up while the first event was far late", t, func() {
		p, _ := granted()
		p.End("1", Done{}, start.Add(time.Second))
		So(p.engines["e1"].avoidedUntil, ShouldEqual, start.Add(time.Second+minAvoidance))
	})
	Convey("An engine that reads the part itself after a failed transfer is not taken for stalled", t, func() {
		p, g := granted()
		e := p.engines["e0"]
		e.rate = 10000
		late := onTime(p, g).Add(e.readTime(13000))
		So(e.isStalled(late), ShouldBeFalse)
		So(e.isStalled(late.Add(2*stallTimeout)), ShouldBeTrue)
	})
	Convey("Its reading counts in the predicted wait once the first event is late", t, func() {
		p, g := granted()
		e := p.engines["e0"]
		late := onTime(p, g).Add(10 * time.Millisecond)
		So(e.predictedWait(late), ShouldBeGreaterThan, e.readTime(13000)/2)
	})
	Convey("Transfers are no samples of the rate of reading", t, func() {
		p, _ := granted()
		p.Begin("1", start.Add(time.Second))
		So(p.engines["e0"].rateSamples, ShouldEqual, 0)
		So(p.engines["e0"].sampleTokens, ShouldEqual, 0)
	})
}

func TestKnowledgeOfTransfers(t *testing.T) {
	Convey("After a transfer, the target is reported to a new dispatcher, and is a source for it", t, func() {
		p := newCopyingPool(3)
		reportPart(p, "e1", 7)
		grantAtHome(p, withPart("1", 7, start), "e0", start)
		So(p.CachedParts(), ShouldHaveLength, 1)
		p.Begin("1", start.Add(100*time.Millisecond))
		after := newCopyingPool(3)
		for _, cached := range p.CachedParts() {
			after.AddCachedParts(cached, start)
		}
		So(after.engines["e0"].hasRead(7), ShouldBeTrue)
		So(after.engines["e1"].hasRead(7), ShouldBeTrue)
		after.engines["e1"].ejectedUntil = start.Add(time.Hour)
		So(plan(after, "e2", withPart("2", 7, start), start).source.ID, ShouldEqual, "e0")
	})
	Convey("Parts that are only assumed to be cached are not reported as cached", t, func() {
		p := newCopyingPool(3)
		p.Warm = true
		p.statsFor(&withPart("1", 7, start).Prompt, start)
		So(p.CachedParts(), ShouldBeEmpty)
	})
	Convey("The engine of an adopted request is a source once the request has begun", t, func() {
		for _, begun := range []bool{false, true} {
			p := newCopyingPool(3)
			p.Adopt(withPart("1", 7, start), "e1", begun, start)
			So(plan(p, "e0", withPart("2", 7, start), start).source != nil, ShouldEqual, begun)
			p.Begin("1", start)
			So(plan(p, "e0", withPart("2", 7, start), start).source, ShouldNotBeNil)
		}
	})
	Convey("The index of sources forgets engines that are gone", t, func() {
		p := newCopyingPool(9)
		for i := range 9 {
			reportPart(p, fmt.Sprint("e", i), 7)
		}
		p.SetEndpoints(zonedEndpoints(6), start)
		So(p.sources.byPart[7], ShouldHaveLength, maxSources-3)
		p.SetEndpoints(nil, start)
		So(p.sources.byPart, ShouldBeEmpty)
	})
	Convey("The index of sources forgets parts that no engine has", t, func() {
		p := newCopyingPool(1)
		for part := range uint64(3 * maxParts) {
			e := p.engines["e0"]
			e.addCached(shared(part))
			p.recordSource(shared(part), e)
		}
		So(len(p.sources.byPart), ShouldBeLessThanOrEqualTo, 2*maxParts)
	})
}
