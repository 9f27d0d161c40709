package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// newPlainPool returns a pool of a plain service with two endpoints of six slots.
func newPlainPool(service route.Service, change func(endpoints []route.Endpoint)) *Pool {
	endpoints := []route.Endpoint{
		{ID: "a", Service: "api", Zone: "zone-a", Slots: 6, Release: "v1"},
		{ID: "b", Service: "api", Zone: "zone-b", Slots: 6, Release: "v2"},
	}
	if change != nil {
		change(endpoints)
	}
	p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(1, 2)), ColdFraction: 1}
	p.Configure(service, 0)
	p.SetEndpoints(endpoints, start)
	return p
}

// grantsOf submits requests at one time and counts those granted at each endpoint.
func grantsOf(p *Pool, count int, now time.Time, change func(req *Request)) map[string]int {
	granted := map[string]int{}
	for i := range count {
		req := &Request{ID: fmt.Sprint(now.UnixNano(), i), Customer: "c", Route: "look", Arrived: now, LatencyTarget: 300 * time.Millisecond, Deadline: now.Add(time.Second)}
		if change != nil {
			change(req)
		}
		p.Submit(req, now)
		for _, d := range p.Decide(now) {
			if g, ok := d.(Grant); ok {
				granted[g.Endpoint]++
			}
		}
	}
	return granted
}

// TestPlainEligible guards against grants at endpoints that must not get a request.
func TestPlainEligible(t *testing.T) {
	service := route.Service{Name: "api"}
	for name, one := range map[string]struct {
		endpoints func([]route.Endpoint)
		request   func(*Request)
	}{
		"an evacuated endpoint": {endpoints: func(e []route.Endpoint) { e[0].Evacuated = true }},
		"a leaving endpoint":    {endpoints: func(e []route.Endpoint) { e[0].Leaving = true }},
		"an excluded endpoint":  {request: func(r *Request) { r.Excluded = []string{"a"} }},
		"another zone":          {request: func(r *Request) { r.Zones = []string{"zone-b"} }},
		"another version":       {request: func(r *Request) { r.Releases = rollout.VersionFilter{Version: "v2"} }},
	} {
		Convey("Nothing is granted at "+name, t, func() {
			granted := grantsOf(newPlainPool(service, one.endpoints), 5, start, one.request)
			So(granted, ShouldResemble, map[string]int{"b": 5})
		})
	}
	Convey("An endpoint rests only from the router that it asked", t, func() {
		p := newPlainPool(service, nil)
		p.SetRest(1, lifecycle.Rest{Endpoint: "a", Until: start.Add(time.Minute)}, start)
		So(grantsOf(p, 4, start, func(r *Request) { r.Stream = 1 }), ShouldResemble, map[string]int{"b": 4})
		So(grantsOf(p, 4, start.Add(1), func(r *Request) { r.Stream = 2 })["a"], ShouldBeGreaterThan, 0)
	})
	Convey("A cold endpoint gets no more than the part of its bound that this pool may use", t, func() {
		bounded := route.Service{Name: "api", ColdStart: route.ColdStart{Duration: 3 * time.Second, MaxPerSecond: 4}}
		p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(1, 2)), ColdFraction: 0.5}
		p.Rules.ColdFactor, p.Rules.ColdExtra = 1, 0
		p.Configure(bounded, 0)
		p.SetEndpoints([]route.Endpoint{{ID: "a", Service: "api", Slots: 6, Facts: lifecycle.Facts{ColdUntil: start.Add(3 * time.Second)}}}, start)
		So(grantsOf(p, 10, start, nil), ShouldResemble, map[string]int{"a": 1})
	})
	Convey("A request under which an endpoint ended runs at no more endpoints than may still end", t, func() {
		p := newPlainPool(service, nil)
		f := quarantine.Fingerprint{1}
		for i := range quarantine.MaxEnds - 1 {
			p.Ledger.RecordEnd(f, quarantine.InstanceOf("api", fmt.Sprint("ended", i), 0), start)
		}
		granted := grantsOf(p, 4, start, func(r *Request) { r.Fingerprint = f })
		So(len(granted), ShouldEqual, 1)
	})
}

// TestPlainRefusals guards against requests that wait in vain, and against times to retry at which
// nothing will have changed.
func TestPlainRefusals(t *testing.T) {
	Convey("What can not be served in time is refused on arrival, with the predicted time", t, func() {
		p := newPlainPool(route.Service{Name: "api"}, nil)
		now := start
		// Requests of 100 ms: twelve slots serve 120 a second.
		for i := range 100 {
			id := fmt.Sprint("learn", i)
			p.Submit(&Request{ID: id, Customer: "c", Route: "look", Arrived: now, LatencyTarget: time.Second, Deadline: now.Add(time.Minute)}, now)
			p.Decide(now)
			now = now.Add(100 * time.Millisecond)
			p.End(id, Done{}, now)
		}
		refused, waiting := 0, 0
		for i := range 60 {
			req := &Request{ID: fmt.Sprint(i), Customer: "c", Route: "look", Arrived: now, LatencyTarget: 300 * time.Millisecond, Deadline: now.Add(time.Second)}
			p.Submit(req, now)
			for _, d := range p.Decide(now) {
				if r, ok := d.(Refusal); ok {
					refused++
					So(r.RetryAfter, ShouldBeBetween, 100*time.Millisecond, 400*time.Millisecond)
				}
			}
			waiting = p.Waiting()
		}
		// At most 300 ms less one and a quarter of a request's time may pass in the queue.
		So(waiting, ShouldBeBetween, 10, 25)
		So(refused, ShouldBeGreaterThan, 20)
		Convey("and what waited too long is refused, not sent late", func() {
			late := 0
			for _, d := range p.Decide(now.Add(200 * time.Millisecond)) {
				if _, ok := d.(Refusal); ok {
					late++
				}
			}
			So(late, ShouldEqual, waiting)
		})
	})
}
