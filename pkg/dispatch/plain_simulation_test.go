package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/route"
)

// plainSimulation runs the pools of a fleet of routers with simulated endpoints of a plain
// service. It uses none of the pools' estimates.
type plainSimulation struct {
	service   route.Service
	endpoints map[string]*simEndpoint
	list      []route.Endpoint
	// dispatchers are the pools that the routers ask, and asked the one of each router; a router
	// for which it is negative decides alone, with its pool in own.
	dispatchers []*Pool
	asked       []int
	own         []*Pool
	requests    map[string]*simRequest
	histories   []History
	// hop is the time of a message between a router and a dispatcher or an endpoint.
	hop    time.Duration
	events eventHeap
	rand   *rand.Rand
	now    time.Time

	customers map[string]*plainTally
	// busyTime is the slot time used while any request waited, and waitedTime that of all slots.
	busyTime, waitedTime time.Duration
	// longestQueue is the longest queue at an endpoint.
	longestQueue int
}

// simEndpoint starts requests in the order of their arrival, and refuses those beyond its queue.
type simEndpoint struct {
	slots, busy int
	maxQueue    int
	queue       []*simRequest
	// factor multiplies the time of each request.
	factor float64
	gone   bool
}

// simRequest is a request at its router.
type simRequest struct {
	*Request
	router, tries int
	endpoint      string
	// pool is the pool that decided.
	pool *Pool
	work time.Duration
	done bool
}

// plainTally counts the requests of one customer.
type plainTally struct {
	requested, refused, served, inTime int
	// refusedWait is the sum of the times for which refused requests waited.
	refusedWait time.Duration
	// seconds is the slot time served in each second of the run.
	seconds []time.Duration
}

// plainSource generates a customer's requests for one route.
type plainSource struct {
	customer, route string
	perSecond       float64
	latencyTarget   time.Duration
	work            time.Duration
}

func newPlainSimulation(routers, endpoints, slots int, seed uint64) *plainSimulation {
	s := &plainSimulation{
		service:   route.Service{Name: "api"},
		endpoints: map[string]*simEndpoint{},
		own:       make([]*Pool, routers),
		asked:     make([]int, routers),
		histories: make([]History, routers),
		requests:  map[string]*simRequest{},
		hop:       time.Millisecond,
		rand:      rand.New(rand.NewPCG(seed, 1)),
		now:       start,
		customers: map[string]*plainTally{},
	}
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		s.list = append(s.list, route.Endpoint{ID: id, Service: "api", Slots: slots})
		s.endpoints[id] = &simEndpoint{slots: slots, maxQueue: 24, factor: 1}
	}
	for i := range routers {
		s.own[i] = s.newPool()
		s.own[i].Routers = routers
		s.histories[i].Window = s.own[i].Rules.Window
	}
	s.dispatchers = []*Pool{s.newPool()}
	return s
}

func (s *plainSimulation) newPool() *Pool {
	p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)), ColdFraction: 1}
	p.Configure(s.service, 0)
	p.SetEndpoints(s.list, s.now)
	return p
}

func (s *plainSimulation) at(when time.Time, do func()) {
	heap.Push(&s.events, simEvent{when, do})
}

func (s *plainSimulation) after(wait time.Duration, do func()) { s.at(s.now.Add(wait), do) }

// play sends the requests of all sources for a time.
func (s *plainSimulation) play(length time.Duration, sources ...plainSource) {
	end := s.now.Add(length)
	number := 0
	for _, from := range sources {
		s.customers[from.customer] = &plainTally{}
		gap := func() time.Duration {
			return time.Duration(s.rand.ExpFloat64() / from.perSecond * float64(time.Second))
		}
		for when := s.now.Add(gap()); when.Before(end); when = when.Add(gap()) {
			number++
			req := &simRequest{Request: &Request{
				ID: fmt.Sprint(number), Customer: from.customer, Route: from.route, Arrived: when,
				LatencyTarget: from.latencyTarget, Deadline: when.Add(4 * time.Second),
			}, router: s.rand.IntN(len(s.own))}
			req.work = time.Duration(float64(from.work) * (0.5 + 0.5*s.rand.ExpFloat64()))
			s.at(when, func() { s.receive(req) })
		}
	}
	const tick = 4 * time.Millisecond
	for at := s.now; at.Before(end); at = at.Add(tick) {
		s.at(at, s.decideAll)
	}
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		next := heap.Pop(&s.events).(simEvent)
		s.measure(next.at.Sub(s.now))
		s.now = next.at
		next.do()
	}
}

// measure adds the use of the slots since the last event, if any request waits at the dispatchers.
func (s *plainSimulation) measure(passed time.Duration) {
	waiting := 0
	for _, p := range s.dispatchers {
		waiting += p.Waiting()
	}
	if waiting == 0 {
		return
	}
	for _, e := range s.endpoints {
		if !e.gone {
			s.busyTime += time.Duration(e.busy) * passed
			s.waitedTime += time.Duration(e.slots) * passed
		}
	}
}

// pool returns the pool that a router asks, and how long a message to it takes.
func (s *plainSimulation) pool(router int) (*Pool, time.Duration) {
	if s.asked[router] < 0 {
		return s.own[router], 0
	}
	return s.dispatchers[s.asked[router]], s.hop
}

func (s *plainSimulation) receive(req *simRequest) {
	t := s.customers[req.Customer]
	if req.tries == 0 {
		t.requested++
	}
	s.submit(req)
}

func (s *plainSimulation) submit(req *simRequest) {
	s.requests[req.ID] = req
	p, hop := s.pool(req.router)
	req.pool = p
	s.own[req.router].EstimateSlotTime(req.Request)
	s.after(hop, func() {
		if req.pool != p {
			return
		}
		copied := *req.Request
		copied.Stream, copied.SlotTime = uint64(req.router+1), 0
		p.Submit(&copied, s.now)
		s.decide(p)
	})
}

func (s *plainSimulation) decideAll() {
	for _, p := range s.dispatchers {
		s.decide(p)
	}
	for _, p := range s.own {
		s.decide(p)
	}
}

func (s *plainSimulation) decide(p *Pool) {
	for _, d := range p.Decide(s.now) {
		switch d := d.(type) {
		case Grant:
			req := s.requests[d.Request.ID]
			s.after(s.hopOf(p), func() { s.send(req, p, d.Endpoint) })
		case Refusal:
			req := s.requests[d.Request.ID]
			s.after(s.hopOf(p), func() { s.refuse(req, d.RetryAfter) })
		}
	}
}

func (s *plainSimulation) hopOf(p *Pool) time.Duration {
	for _, own := range s.own {
		if p == own {
			return 0
		}
	}
	return s.hop
}

func (s *plainSimulation) send(req *simRequest, by *Pool, endpoint string) {
	if req.pool != by {
		return
	}
	if by != s.own[req.router] {
		s.own[req.router].Adopt(req.Request, endpoint, false, s.now)
	}
	s.histories[req.router].Grant(req.Request, s.now)
	req.endpoint = endpoint
	s.after(s.hop, func() { s.arrive(req) })
}

func (s *plainSimulation) arrive(req *simRequest) {
	e := s.endpoints[req.endpoint]
	switch {
	case e.gone:
		s.finish(req, Unreachable{})
	case e.busy < e.slots:
		s.run(e, req)
	case len(e.queue) < e.maxQueue:
		e.queue = append(e.queue, req)
		s.longestQueue = max(s.longestQueue, len(e.queue))
	default:
		s.finish(req, NotRun{})
	}
}

func (s *plainSimulation) run(e *simEndpoint, req *simRequest) {
	e.busy++
	s.after(time.Duration(e.factor*float64(req.work)), func() {
		if e.gone {
			return
		}
		e.busy--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			s.run(e, next)
		}
		s.after(s.hop, func() {
			s.record(req)
			s.finish(req, Done{})
		})
	})
}

// record counts a response that a router received.
func (s *plainSimulation) record(req *simRequest) {
	t := s.customers[req.Customer]
	t.served++
	if s.now.Sub(req.Arrived) <= req.LatencyTarget {
		t.inTime++
	}
	second := int(s.now.Sub(start) / time.Second)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, 0)
	}
	t.seconds[second] += req.work
}

// finish reports the end of a request to the pools. A request that did not run is submitted again
// once.
func (s *plainSimulation) finish(req *simRequest, outcome Outcome) {
	req.done = true
	s.own[req.router].End(req.ID, outcome, s.now)
	p, hop := s.pool(req.router)
	s.after(hop, func() {
		p.End(req.ID, outcome, s.now)
		s.decide(p)
	})
	if _, completed := outcome.(Done); completed || req.tries > 0 {
		return
	}
	again := *req
	again.Request = &Request{}
	*again.Request = *req.Request
	again.tries++
	again.ID += "again"
	again.Excluded = []string{req.endpoint}
	s.submit(&again)
}

// refuse makes a caller retry once.
func (s *plainSimulation) refuse(req *simRequest, retryAfter time.Duration) {
	t := s.customers[req.Customer]
	t.refused++
	t.refusedWait += s.now.Sub(req.Arrived)
	req.done = true
	if req.tries > 0 {
		return
	}
	again := *req
	again.Request = &Request{}
	*again.Request = *req.Request
	again.done = false
	again.tries++
	again.ID += "again"
	again.Arrived = s.now.Add(retryAfter)
	s.at(again.Arrived, func() { s.receive(&again) })
}

// ask makes routers ask another dispatcher; -1 stands for none. What they wait for is submitted
// again, and what they have running is reported.
func (s *plainSimulation) ask(dispatcher int, routers ...int) {
	for _, router := range routers {
		if before := s.asked[router]; before >= 0 {
			s.dispatchers[before].DropStream(uint64(router+1), s.now)
		}
		s.asked[router] = dispatcher
		var running []*Request
		for _, id := range slices.Sorted(maps.Keys(s.requests)) {
			req := s.requests[id]
			if req.router != router || req.done {
				continue
			}
			if req.endpoint == "" {
				s.submit(req)
				continue
			}
			running = append(running, req.Request)
			if dispatcher >= 0 {
				copied := *req.Request
				copied.Stream = uint64(router + 1)
				s.dispatchers[dispatcher].Adopt(&copied, req.endpoint, false, s.now)
			}
		}
		if dispatcher < 0 {
			continue
		}
		for _, total := range s.histories[router].Report(running, s.now) {
			s.dispatchers[dispatcher].AddHistory(total, s.now)
		}
	}
}

// utilisation returns the used fraction of the slots while requests waited.
func (s *plainSimulation) utilisation() float64 {
	return s.busyTime.Seconds() / s.waitedTime.Seconds()
}

// served returns the slot time that a customer got within some seconds of the run.
func (s *plainSimulation) served(customer string, from, to int) (sum time.Duration) {
	for second, got := range s.customers[customer].seconds {
		if second >= from && second < to {
			sum += got
		}
	}
	return sum
}
