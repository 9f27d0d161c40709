package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

func newTestPool(engines int, tokensPerSecond float64) *Pool {
	p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(1, 2))}
	p.Configure(route.Service{Name: "llm", Engine: &route.Engine{Slots: 64, CacheTokens: 500000}}, tokensPerSecond)
	var endpoints []route.Endpoint
	for i := range engines {
		endpoints = append(endpoints, route.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "llm", Slots: 64})
	}
	p.SetEndpoints(endpoints, start)
	return p
}

// eject keeps an engine from getting new requests for the rest of a test.
func eject(p *Pool, id string) { p.engines[id].ejectedUntil = start.Add(time.Hour) }

// shared returns a long part that other prompts have too.
func shared(id uint64) Part { return Part{ID: id, Tokens: 13000} }

// submit queues a request and returns the decisions made at once.
func submit(p *Pool, req *Request, now time.Time) []Decision {
	p.Submit(req, now)
	return p.Decide(now)
}

func TestPlacement(t *testing.T) {
	Convey("A shared part is read at one engine, and its prompts go there again", t, func() {
		p := newTestPool(9, 0)
		first := submit(p, newRequest("1", "a", start, shared(7), Part{ID: 100, Tokens: 100}), start)
		So(first, ShouldHaveLength, 1)
		grant := first[0].(Grant)
		So(grant.MissingTokens, ShouldEqual, 13000)
		later := start.Add(2 * time.Second)
		p.Begin("1", later)
		p.End("1", Done{}, later)
		second := submit(p, newRequest("2", "a", later, shared(7), Part{ID: 101, Tokens: 100}), later)[0].(Grant)
		So(second.Endpoint, ShouldEqual, grant.Endpoint)
		So(second.MissingTokens, ShouldEqual, 0)
	})
	Convey("A prompt waits for the engine that has its part cached rather than have it read elsewhere", t, func() {
		p := newTestPool(9, 0)
		home := submit(p, newRequest("1", "a", start, shared(7), Part{ID: 100, Tokens: 100}), start)[0].(Grant).Endpoint
		later := start.Add(2 * time.Second)
		p.Begin("1", later)
		// Fill the home beyond its maximum backlog.
		for i := range 3 {
			p.addGrant(newRequest(fmt.Sprint("fill", i), "b", later, Part{ID: uint64(200 + i), Tokens: 6000}), p.engines[home], later)
		}
		So(submit(p, newRequest("2", "a", later, shared(7), Part{ID: 101, Tokens: 100}), later), ShouldBeEmpty)
		p.Begin("fill0", later.Add(50*time.Millisecond))
		p.Begin("fill1", later.Add(50*time.Millisecond))
		decided := p.Decide(later.Add(50 * time.Millisecond))
		So(decided, ShouldHaveLength, 1)
		So(decided[0].(Grant).Endpoint, ShouldEqual, home)
	})
	Convey("A prompt with a short shared part goes where that is cached, unless it waits far longer there", t, func() {
		p := newTestPool(9, 0)
		short := Part{ID: 7, Tokens: 500}
		home := submit(p, newRequest("1", "a", start, short, Part{ID: 100, Tokens: 100}), start)[0].(Grant).Endpoint
		p.Begin("1", start.Add(initialLag))
		later := start.Add(time.Second)
		p.addGrant(newRequest("fill", "b", later, Part{ID: 200, Tokens: 4000}), p.engines[home], later)
		So(submit(p, newRequest("2", "a", later, short, Part{ID: 101, Tokens: 100}), later)[0].(Grant).Endpoint, ShouldEqual, home)
		p.addGrant(newRequest("more", "b", later, Part{ID: 201, Tokens: 8000}), p.engines[home], later)
		So(submit(p, newRequest("3", "a", later, short, Part{ID: 102, Tokens: 100}), later)[0].(Grant).Endpoint, ShouldNotEqual, home)
	})
	Convey("If its home is far behind, it goes to another one", t, func() {
		p := newTestPool(9, 0)
		home := submit(p, newRequest("1", "a", start, shared(7), Part{ID: 100, Tokens: 100}), start)[0].(Grant).Endpoint
		later := start.Add(2 * time.Second)
		p.Begin("1", later)
		p.addGrant(newRequest("fill", "b", later, Part{ID: 200, Tokens: 100000}), p.engines[home], later)
		decided := submit(p, newRequest("2", "a", later, shared(7), Part{ID: 101, Tokens: 100}), later)
		So(decided, ShouldHaveLength, 1)
		So(decided[0].(Grant).Endpoint, ShouldNotEqual, home)
	})
	Convey("Homes do not change when another engine is removed", t, func() {
		p := newTestPool(9, 0)
		homes := map[uint64]string{}
		for id := range uint64(50) {
			homes[id] = p.homes(&Request{Prompt: Prompt{Parts: []Part{shared(id), {ID: 1000, Tokens: 1}}}}, start)[0].ID
		}
		var left []route.Endpoint
		for _, e := range p.sorted {
			if e.ID != "e4" {
				left = append(left, e.Endpoint)
			}
		}
		p.SetEndpoints(left, start)
		for id, home := range homes {
			if home != "e4" {
				So(p.homes(&Request{Prompt: Prompt{Parts: []Part{shared(id), {ID: 1000, Tokens: 1}}}}, start)[0].ID, ShouldEqual, home)
			}
		}
	})
	Convey("A request goes to no engine that refused it, nor to one that is leaving", t, func() {
		p := newTestPool(2, 0)
		p.engines["e0"].state.Leaving = true
		req := newRequest("1", "a", start, Part{ID: 1, Tokens: 10})
		req.Excluded = []string{"e1"}
		// No engine is left that may serve it: it is refused at once instead of being held until
		// its maximum wait.
		decided := submit(p, req, start)
		So(decided, ShouldHaveLength, 1)
		So(decided[0].(Refusal).Request, ShouldEqual, req)
		So(decided[0].(Refusal).RetryAfter, ShouldBeGreaterThan, 0)
		So(p.IsWaiting("1"), ShouldBeFalse)
	})
}

func TestTurningAway(t *testing.T) {
	Convey("A request that finds no room is refused after its maximum wait, with a time to retry", t, func() {
		p := newTestPool(1, 0)
		eject(p, "e0")
		req := newRequest("1", "a", start, Part{ID: 1, Tokens: 10})
		So(submit(p, req, start), ShouldBeEmpty)
		So(p.Decide(start.Add(150*time.Millisecond)), ShouldBeEmpty)
		decided := p.Decide(start.Add(193 * time.Millisecond))
		So(decided, ShouldHaveLength, 1)
		So(decided[0].(Refusal).RetryAfter, ShouldBeGreaterThan, 0)
		So(p.Waiting(), ShouldEqual, 0)
	})
	Convey("The time to retry is that in which the queue is granted: longer for a longer queue", t, func() {
		retryAfter := func(waiting int) time.Duration {
			p := newTestPool(1, 10000)
			a := p.account("a")
			p.share, p.shareAt, p.best = 1, start, engineSnapshot{}
			for i := range 8 {
				req := newRequest(fmt.Sprint("granted", i), "a", start, Part{ID: 1, Tokens: 900})
				req.cost = req.Cost()
				a.addGranted(req, 1, start, p.Rules.Window)
			}
			for i := range waiting {
				req := newRequest(fmt.Sprint("waiting", i), "a", start, Part{ID: 1, Tokens: 900})
				req.cost = req.Cost()
				a.enqueue(req)
			}
			return p.retryAfter(a, newRequest("new", "a", start, Part{ID: 1, Tokens: 900}), true, start)
		}
		// Eight were granted in four seconds, so one waits for half a second.
		So(retryAfter(1), ShouldBeBetween, 125*time.Millisecond, 375*time.Millisecond)
		So(retryAfter(4), ShouldBeBetween, 500*time.Millisecond, 1500*time.Millisecond)
		So(retryAfter(1000), ShouldBeLessThanOrEqualTo, maxRetryAfter)
		So(retryAfter(0), ShouldBeGreaterThan, 0)
	})
	Convey("A withdrawn request is neither granted nor refused", t, func() {
		p := newTestPool(1, 0)
		eject(p, "e0")
		submit(p, newRequest("1", "a", start, Part{ID: 1, Tokens: 10}), start)
		So(p.Withdraw("1"), ShouldBeTrue)
		So(p.Withdraw("1"), ShouldBeFalse)
		So(p.Decide(start.Add(time.Second)), ShouldBeEmpty)
	})
}

func TestShares(t *testing.T) {
	Convey("The share is max-min fair", t, func() {
		So(maxMinShare([]float64{10, 20, 100, 100}, 130), ShouldEqual, 50)
		So(maxMinShare([]float64{10, 20}, 100), ShouldBeGreaterThanOrEqualTo, 20)
	})
	Convey("While one customer floods the pool, another's requests go first", t, func() {
		p := newTestPool(1, 100000)
		now := start
		served := map[string]int{}
		running := []string{}
		for i := range 400 {
			now = now.Add(25 * time.Millisecond)
			for n := range 4 {
				p.Submit(newRequest(fmt.Sprintf("flood-%d-%d", i, n), "flood", now, Part{ID: uint64(1000 + 4*i + n), Tokens: 2000}), now)
			}
			if i%8 == 0 {
				p.Submit(newRequest(fmt.Sprintf("small-%d", i), "small", now, Part{ID: uint64(100000 + i), Tokens: 2000}), now)
			}
			for _, d := range p.Decide(now) {
				if grant, ok := d.(Grant); ok {
					served[grant.Request.Customer]++
					running = append(running, grant.Request.ID)
				}
			}
			// The engine reads one prompt of 2,000 tokens in 50 ms.
			if i%2 == 1 && len(running) > 0 {
				p.Begin(running[0], now)
				p.End(running[0], Done{}, now)
				running = running[1:]
			}
		}
		So(served["small"], ShouldEqual, 50)
		So(served["flood"], ShouldBeGreaterThan, 100)
	})
	Convey("A customer far over its share gets idle engines only, one within it the whole backlog", t, func() {
		p := newTestPool(1, 10000)
		p.Submit(newRequest("first", "flood", start, Part{ID: 1, Tokens: 5000}), start)
		p.Submit(newRequest("other", "small", start, Part{ID: 2, Tokens: 1000}), start)
		So(p.Decide(start), ShouldHaveLength, 2)
		p.share, p.shareAt = 2000, start
		p.Submit(newRequest("more", "flood", start, Part{ID: 3, Tokens: 100}), start)
		p.Submit(newRequest("within", "small", start, Part{ID: 4, Tokens: 100}), start)
		decided := p.Decide(start)
		So(decided, ShouldHaveLength, 1)
		So(decided[0].(Grant).Request.ID, ShouldEqual, "within")
	})
	Convey("If the engines do more than is stated, customers over their stated share divide the rest", t, func() {
		used := func(stated float64) (refused int) {
			s := newSimulation(9, stated, 110000)
			s.play(10*time.Second, append(largeCustomer("large", 2), largeCustomer("other", 1)...)...)
			for _, one := range s.tallies {
				refused += one.refused
			}
			return refused
		}
		// 480,000 tokens a second are requested, and the engines can begin far more.
		So(used(480000), ShouldBeLessThanOrEqualTo, 5)
		So(used(150000), ShouldBeLessThanOrEqualTo, 25)
	})
	Convey("The requests of a router that is gone are dropped", t, func() {
		p := newTestPool(1, 0)
		req := newRequest("1", "a", start, Part{ID: 1, Tokens: 10})
		req.Stream = 5
		submit(p, req, start)
		So(p.Running(), ShouldEqual, 1)
		p.DropStream(5, start)
		So(p.Running(), ShouldEqual, 0)
		So(p.engines["e0"].running, ShouldEqual, 0)
	})
	Convey("The requests of one stream are not dropped with another stream of the same box", t, func() {
		p := newTestPool(1, 0)
		first, second := newRequest("1", "a", start, Part{ID: 1, Tokens: 10}), newRequest("2", "a", start, Part{ID: 2, Tokens: 10})
		first.Stream, second.Stream = 1, 2
		submit(p, first, start)
		submit(p, second, start)
		p.DropStream(2, start)
		So(p.Running(), ShouldEqual, 1)
		So(p.grants["1"], ShouldNotBeNil)
	})
	Convey("Running and waiting requests that are reported again by a new stream stay when the old one ends", t, func() {
		p := newTestPool(1, 0)
		running, waiting := newRequest("1", "a", start, Part{ID: 1, Tokens: 10}), newRequest("2", "a", start, Part{ID: 2, Tokens: 10})
		running.Stream, waiting.Stream = 1, 1
		submit(p, running, start)
		eject(p, "e0")
		submit(p, waiting, start)
		adopted, resubmitted := newRequest("1", "a", start, Part{ID: 1, Tokens: 10}), newRequest("2", "a", start, Part{ID: 2, Tokens: 10})
		adopted.Stream, resubmitted.Stream = 2, 2
		p.Adopt(adopted, "e0", false, start)
		p.Submit(resubmitted, start)
		p.DropStream(1, start)
		So(p.Running(), ShouldEqual, 1)
		So(p.IsWaiting("2"), ShouldBeTrue)
		p.DropStream(2, start)
		So(p.Running()+p.Waiting(), ShouldEqual, 0)
	})
	Convey("A request whose grant was lost on the way is granted again when it is submitted again", t, func() {
		p := newTestPool(1, 0)
		submit(p, newRequest("1", "a", start, Part{ID: 1, Tokens: 10}), start)
		later := start.Add(time.Second)
		So(submit(p, newRequest("1", "a", later, Part{ID: 1, Tokens: 10}), later), ShouldHaveLength, 1)
		So(p.engines["e0"].running, ShouldEqual, 1)
	})
	Convey("A request that another box granted is adopted once", t, func() {
		p := newTestPool(1, 0)
		req := newRequest("1", "a", start, Part{ID: 1, Tokens: 10})
		p.Adopt(req, "e0", false, start)
		p.Adopt(req, "e0", false, start)
		So(p.Running(), ShouldEqual, 1)
		p.End("1", Done{}, start)
		So(p.engines["e0"].running, ShouldEqual, 0)
		So(p.engines["e0"].privateTokens, ShouldEqual, 0)
		So(p.engines["e0"].pending, ShouldBeEmpty)
	})
}

func TestTakingOver(t *testing.T) {
	Convey("A box that takes over grants like its predecessor", t, func() {
		before, after := newTestPool(9, 0), newTestPool(9, 0)
		home := submit(before, newRequest("1", "a", start, shared(7), Part{ID: 100, Tokens: 100}), start)[0].(Grant).Endpoint
		cached := before.CachedParts()
		So(cached, ShouldResemble, []CachedParts{{Endpoint: home, Parts: []Part{shared(7)}}})
		for _, c := range cached {
			after.AddCachedParts(c, start)
		}
		second := submit(after, newRequest("2", "a", start, shared(7), Part{ID: 101, Tokens: 100}), start)[0].(Grant)
		So(second.Endpoint, ShouldEqual, home)
		So(second.MissingTokens, ShouldEqual, 0)
	})
	Convey("After a restart of all boxes, parts are assumed to be cached at their homes for a while", t, func() {
		p := newTestPool(9, 0)
		p.Warm = true
		grant := submit(p, newRequest("1", "a", start, shared(7), Part{ID: 100, Tokens: 100}), start)[0].(Grant)
		So(grant.MissingTokens, ShouldEqual, 0)
		later := start.Add(warmPeriod + time.Second)
		grant = submit(p, newRequest("2", "a", later, shared(8), Part{ID: 101, Tokens: 100}), later)[0].(Grant)
		So(grant.MissingTokens, ShouldEqual, 13000)
	})
	Convey("Reported parts never exceed the capacity of an engine's cache", t, func() {
		p := newTestPool(1, 0)
		var parts []Part
		for id := range uint64(100) {
			parts = append(parts, shared(id))
		}
		p.AddCachedParts(CachedParts{Endpoint: "e0", Parts: parts}, start)
		So(p.engines["e0"].cachedTokens, ShouldBeLessThanOrEqualTo, 500000)
		So(p.engines["e0"].cacheIndex[0], ShouldNotBeNil)
	})
}

func TestListedMemories(t *testing.T) {
	req := func(id string) *Request { return newRequest(id, "a", start, shared(7), Part{ID: 100, Tokens: 100}) }
	Convey("After a restart a part is assumed to be cached at its first home", t, func() {
		p := newTestPool(9, 0)
		p.Warm = true
		So(submit(p, req("1"), start)[0].(Grant).MissingTokens, ShouldEqual, 0)
	})
	Convey("Once the engines have reported their caches, it is sent where the part is cached", t, func() {
		p := newTestPool(9, 0)
		p.Warm = true
		holder := p.homes(req("0"), start)[1].ID
		for _, e := range p.sorted {
			cached := CachedParts{Endpoint: e.ID}
			if e.ID == holder {
				cached.Parts = []Part{shared(7)}
			}
			p.ApplyCacheReport(cached, start)
		}
		grant := submit(p, req("1"), start)[0].(Grant)
		So(grant.Endpoint, ShouldEqual, holder)
		So(grant.MissingTokens, ShouldEqual, 0)
	})
	Convey("A part that no engine reports is known to be missing", t, func() {
		p := newTestPool(9, 0)
		p.Warm = true
		p.homes(req("0"), start)
		for _, e := range p.sorted {
			p.ApplyCacheReport(CachedParts{Endpoint: e.ID}, start)
		}
		So(submit(p, req("1"), start)[0].(Grant).MissingTokens, ShouldEqual, 13000)
	})
}

func TestBrokenGrantsAreRefunded(t *testing.T) {
	granted := func(begin bool) float64 {
		p := newTestPool(9, 0)
		submit(p, newRequest("1", "a", start, Part{ID: 100, Tokens: 5000}), start)
		if begin {
			p.Begin("1", start)
		}
		p.End("1", Broken{}, start)
		return p.account("a").granted.sum
	}
	Convey("A customer is not charged for a request that broke before it began", t, func() {
		So(granted(false), ShouldEqual, 0)
	})
	Convey("It is charged for one that broke after its first token", t, func() {
		So(granted(true), ShouldBeGreaterThan, 5000)
	})
}

func TestStandings(t *testing.T) {
	Convey("A customer that got clearly less than another does not wait for idle engines only", t, func() {
		p := newTestPool(1, 1000)
		level := func(customer string, granted float64) shareLevel {
			p.account(customer).requested.add(100000, start, p.Rules.Window)
			p.account(customer).granted.add(granted, start, p.Rules.Window)
			p.shareAt = time.Time{}
			p.updateShare(start)
			req := newRequest("1", customer, start, Part{ID: 1, Tokens: 100})
			req.cost = 100
			return p.shareLevel(p.account(customer), req)
		}
		So(level("ward", 10000), ShouldEqual, farOverShare)
		So(level("camp", 7000), ShouldEqual, overShare)
		So(level("ward", 0), ShouldEqual, farOverShare)
		So(level("camp", 1000), ShouldEqual, farOverShare)
	})
}
