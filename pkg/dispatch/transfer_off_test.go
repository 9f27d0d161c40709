package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// decisionsWithoutFetching is the hash of the decisions of a pool whose engines can not copy
// cached parts.
const decisionsWithoutFetching = 9243699947554753755

// hashDecisions makes a pool decide on a drawn load of long and short prompts, with engines that
// restart, reports of cached parts and a new dispatcher, and hashes its decisions.
func hashDecisions(engine route.Engine) uint64 {
	const engines, requests = 20, 6000
	draw := rand.New(rand.NewPCG(11, 12))
	digest := xxhash.New()
	var events eventHeap
	at := func(when time.Time, do func()) { heap.Push(&events, simEvent{at: when, do: do}) }
	endpoints := make([]route.Endpoint, engines)
	for i := range endpoints {
		endpoints[i] = route.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Slots: 64, Zone: fmt.Sprint("zone-", i%3), Facts: lifecycle.Facts{Born: 1}}
	}
	newPool := func(now time.Time) *Pool {
		p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(1, 2)), Warm: true}
		p.Configure(route.Service{Name: "llm", Engine: &engine}, 1e6)
		p.SetEndpoints(endpoints, now)
		return p
	}
	p := newPool(start)
	now := start
	run := func(g Grant) {
		id := g.Request.ID
		begins := now.Add(g.Wait + g.ReadTime + time.Duration(draw.IntN(120))*time.Millisecond)
		at(begins, func() { p.Begin(id, now) })
		outcome := []Outcome{Done{}, Done{}, Done{}, Done{}, Broken{}, NotRun{}}[draw.IntN(6)]
		at(begins.Add(time.Duration(draw.IntN(400))*time.Millisecond), func() { p.End(id, outcome, now) })
	}
	for number := range requests {
		req := newRequest(fmt.Sprint(number), fmt.Sprint("c", draw.IntN(8)), start, Part{ID: uint64(1 + draw.IntN(40)), Tokens: []int{350, 6300, 13300}[draw.IntN(3)]}, Part{ID: uint64(number) << 32, Tokens: 300 + draw.IntN(3000)})
		req.Parts[0].ID += uint64(req.Parts[0].Tokens) << 16
		req.LatencyTarget = 600 * time.Millisecond
		req.Arrived = start.Add(time.Duration(draw.IntN(12000)) * time.Millisecond)
		req.Deadline = req.Arrived.Add(8 * time.Second)
		at(req.Arrived, func() { p.Submit(req, now) })
	}
	for tick := range 3200 {
		at(start.Add(time.Duration(tick)*4*time.Millisecond+time.Microsecond), func() {
			for _, d := range p.Decide(now) {
				switch d := d.(type) {
				case Grant:
					fmt.Fprintln(digest, now.Sub(start), d.Request.ID, d.Endpoint, d.Wait, d.ReadTime, d.MissingTokens, d.FetchFrom)
					run(d)
				case Refusal:
					fmt.Fprintln(digest, now.Sub(start), d.Request.ID, d.RetryAfter)
				}
			}
		})
	}
	at(start.Add(4*time.Second), func() {
		for i := range endpoints[:engines/4] {
			endpoints[i].Born++
		}
		p.SetEndpoints(endpoints, now)
	})
	at(start.Add(8*time.Second), func() {
		before := p
		p = newPool(now)
		for _, cached := range before.CachedParts() {
			p.AddCachedParts(cached, now)
		}
		p.ApplyCacheReport(CachedParts{Endpoint: "e0", Parts: []Part{{ID: 1 + 13300<<16, Tokens: 13300}}}, now)
	})
	for len(events) > 0 {
		next := heap.Pop(&events).(simEvent)
		now = next.at
		next.do()
	}
	return digest.Sum64()
}

// TestWithoutFetching guards against decisions that change although engines copy nothing.
func TestWithoutFetching(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the compiler rounds floating-point numbers differently for other processors")
	}
	Convey("Where engines copy nothing, decisions are the same as before", t, func() {
		So(hashDecisions(route.Engine{Slots: 64, CacheTokens: 500000}), ShouldEqual, uint64(decisionsWithoutFetching))
	})
	Convey("So they are where engines could copy, but the rule is off", t, func() {
		So(hashDecisions(route.Engine{Slots: 64, CacheTokens: 500000, TokenBytes: 18432, CopyRate: 11e9, CopiesCache: true}), ShouldEqual, uint64(decisionsWithoutFetching))
	})
}
