package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// fleetSimulation adds routers, and callers who retry once, to a simulated pool. A pool that takes
// over receives the running requests, and waiting ones are submitted to it again.
type fleetSimulation struct {
	*simulation
	routers   []BacklogLimiter
	histories []History
	// requested are the histories of what routers asked for.
	requested []History
	// groupFor returns the simulation of the group of engines for a request, and otherUsage what a
	// router knows of the other groups; both are nil if there is one group.
	groupFor   func(*Request) *fleetSimulation
	otherUsage func(f *fleetSimulation, router int, customer string) OtherGroupUsage
	// silent are the routers that fell silent. Their callers come to the next router.
	silent map[int]bool
	// lostFraction is the fraction of the answers that are lost before they begin.
	lostFraction float64
	// hop is the time of a message between a router and the pool, and verdictDelay the time that a
	// verdict takes in addition to it.
	hop, verdictDelay time.Duration
	// seconds are the usage of each customer in each second of the run. A grant counts when the
	// request begins.
	seconds map[string][]secondUsage
	// begun is when the run began.
	begun time.Time
	// down are the engines that accept no connections.
	down map[string]bool
	// waiting are the queued requests by ID, and running those at engines.
	waiting, running map[string]*fleetRequest
}

// secondUsage is the usage of one customer in one second, in tokens. refused is set if a request
// was refused, or began after its latency target.
type secondUsage struct {
	requested, granted float64
	refused            bool
}

// fleetRequest is a request with its router and its engine.
type fleetRequest struct {
	*Request
	router int
	// isRetry is set for the second try of a caller.
	isRetry  bool
	endpoint string
	begun    bool
}

// callerGroup is a customer's callers, who come to so many routers from the first one on.
type callerGroup struct {
	sources              []source
	firstRouter, routers int
	// after is when they come.
	after time.Duration
}

func newFleetSimulation(routers, engines int, tokensPerSecond, readRate float64) *fleetSimulation {
	f := &fleetSimulation{
		simulation: newSimulation(engines, tokensPerSecond, readRate),
		routers:    make([]BacklogLimiter, routers),
		histories:  make([]History, routers),
		requested:  make([]History, routers),
		silent:     map[int]bool{},
		hop:        2 * time.Millisecond,
		seconds:    map[string][]secondUsage{},
		down:       map[string]bool{},
		waiting:    map[string]*fleetRequest{},
		running:    map[string]*fleetRequest{},
	}
	for i := range f.histories {
		f.histories[i].Window = f.pool.Rules.Window
		f.requested[i].Window = f.pool.Rules.Window
	}
	f.begun = f.now
	return f
}

func (f *fleetSimulation) second(customer string) *secondUsage {
	number := int(f.now.Sub(f.begun) / time.Second)
	for len(f.seconds[customer]) <= number {
		f.seconds[customer] = append(f.seconds[customer], secondUsage{})
	}
	return &f.seconds[customer][number]
}

// play sends the requests of all groups for a time. If takeOver is not zero, another pool takes
// over then.
func (f *fleetSimulation) play(length, takeOver time.Duration, groups ...callerGroup) {
	end := f.now.Add(length)
	f.schedule(length, takeOver, groups...)
	f.until(end)
}

// schedule schedules what play runs.
func (f *fleetSimulation) schedule(length, takeOver time.Duration, groups ...callerGroup) {
	end := f.now.Add(length)
	number := 0
	for _, c := range groups {
		for i := range c.sources {
			from := &c.sources[i]
			for when := f.next(f.now.Add(c.after), from); when.Before(end); when = f.next(when, from) {
				number++
				router := (c.firstRouter + f.rand.IntN(c.routers)) % len(f.routers)
				req := &fleetRequest{Request: f.newRequest(from, number, when), router: router}
				group := f
				if f.groupFor != nil {
					group = f.groupFor(req.Request)
				}
				group.at(when, func() { group.receive(req) })
			}
		}
	}
	f.scheduleDecisions(end)
	if takeOver > 0 {
		f.at(f.now.Add(takeOver), f.takeOver)
	}
}

// scheduleDecisions makes the pool decide periodically.
func (f *fleetSimulation) scheduleDecisions(end time.Time) {
	const tick = 4 * time.Millisecond
	for at := f.now; at.Before(end); at = at.Add(tick) {
		f.at(at, f.decide)
	}
}

// receive handles a caller's request at its router.
func (f *fleetSimulation) receive(req *fleetRequest) {
	req.cost = req.Cost()
	f.second(req.Customer).requested += req.cost
	f.tally(req.Request).requested++
	for f.silent[req.router] {
		req.router = (req.router + 1) % len(f.routers)
	}
	req.Stream = uint64(req.router) + 1
	if f.routers[req.router].Enter(req.Customer, false, f.now) != Admitted {
		wait := fraction(req.LatencyTarget, f.pool.Rules.MaxWaitFraction)
		f.refuse(req, wait+time.Duration(f.rand.Int64N(int64(wait))))
		return
	}
	f.report(req)
	f.at(f.now.Add(f.hop), func() { f.submit(req) })
}

// report sets what the router knows of the other groups.
func (f *fleetSimulation) report(req *fleetRequest) {
	if f.otherUsage == nil {
		return
	}
	req.BoxHash, req.OtherGroupUsage = req.Stream, f.otherUsage(f, req.router, req.Customer)
	f.requested[req.router].Grant(req.Request, f.now)
}

// silence makes a router fall silent. Its callers come to the next one.
func (f *fleetSimulation) silence(router int) {
	f.silent[router] = true
	f.pool.DropStream(uint64(router)+1, f.now)
	for _, of := range []map[string]*fleetRequest{f.waiting, f.running} {
		for _, id := range slices.Sorted(maps.Keys(of)) {
			if req := of[id]; req.router == router {
				delete(of, id)
				f.retry(req, f.hop)
			}
		}
	}
}

func (f *fleetSimulation) submit(req *fleetRequest) {
	if f.silent[req.router] {
		f.retry(req, f.hop)
		return
	}
	f.waiting[req.ID] = req
	f.pool.Submit(req.Request, f.now)
}

// refuse records a refusal, after which the caller retries.
func (f *fleetSimulation) refuse(req *fleetRequest, retryAfter time.Duration) {
	f.second(req.Customer).refused = true
	f.retry(req, retryAfter)
}

// retry makes a caller retry once.
func (f *fleetSimulation) retry(req *fleetRequest, retryAfter time.Duration) {
	if req.isRetry {
		return
	}
	retried := *req.Request
	retried.ID, retried.Arrived = req.ID+"again", f.now.Add(retryAfter)
	f.at(retried.Arrived, func() { f.receive(&fleetRequest{Request: &retried, router: req.router, isRetry: true}) })
}

func (f *fleetSimulation) decide() {
	for _, d := range f.pool.Decide(f.now) {
		switch d := d.(type) {
		case Grant:
			req := f.waiting[d.Request.ID]
			delete(f.waiting, req.ID)
			f.afterVerdict(func() {
				f.routers[req.router].Leave(req.Customer, false, f.now)
				f.run(req, d)
			})
		case Refusal:
			req := f.waiting[d.Request.ID]
			delete(f.waiting, req.ID)
			f.afterVerdict(func() {
				f.routers[req.router].Leave(req.Customer, d.OverShare, f.now)
				f.at(f.now.Add(f.hop), func() { f.refuse(req, d.RetryAfter) })
			})
		}
	}
}

// afterVerdict runs what a verdict leads to once it has arrived.
func (f *fleetSimulation) afterVerdict(do func()) {
	if f.verdictDelay == 0 {
		do()
		return
	}
	f.at(f.now.Add(f.verdictDelay), do)
}

func (f *fleetSimulation) run(req *fleetRequest, g Grant) {
	if f.down[g.Endpoint] {
		f.pool.End(req.ID, Unreachable{}, f.now)
		f.retry(req, f.hop)
		return
	}
	begins := f.read(g)
	req.endpoint = g.Endpoint
	f.running[req.ID] = req
	f.histories[req.router].Grant(req.Request, f.now)
	f.at(begins, func() {
		if f.running[req.ID] != req {
			return
		}
		if f.lostFraction > 0 && f.rand.Float64() < f.lostFraction {
			delete(f.running, req.ID)
			f.histories[req.router].Refund(req.Request, f.now)
			f.pool.End(req.ID, Broken{}, f.now)
			f.retry(req, f.hop)
			return
		}
		req.begun = true
		f.second(req.Customer).granted += req.cost
		if f.now.After(req.Arrived.Add(req.LatencyTarget)) {
			f.second(req.Customer).refused = true
		}
		f.begin(req.Request)
	})
	f.at(begins.Add(time.Duration(req.ExpectedOutput())*f.tokenInterval), func() {
		if f.running[req.ID] != req {
			return
		}
		delete(f.running, req.ID)
		f.pool.End(req.ID, Done{}, f.now)
	})
}

// takeOver replaces the pool by another one, which receives the running and waiting requests.
func (f *fleetSimulation) takeOver() {
	before := f.pool
	f.pool = &Pool{Rules: before.Rules, Rand: before.Rand, Warm: true, Groups: before.Groups}
	f.pool.Configure(before.service, before.tokensPerSecond)
	f.pool.SetEndpoints(before.Endpoints(), f.now)
	for _, cached := range before.CachedParts() {
		f.pool.AddCachedParts(cached, f.now)
	}
	running := make([][]*Request, len(f.routers))
	for _, id := range slices.Sorted(maps.Keys(f.running)) {
		req := f.running[id]
		f.pool.Adopt(req.Request, req.endpoint, req.begun, f.now)
		running[req.router] = append(running[req.router], req.Request)
	}
	for i := range f.histories {
		for _, total := range f.histories[i].Report(running[i], f.now) {
			f.pool.AddHistory(total, f.now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.waiting)) {
		f.pool.Submit(f.waiting[id].Request, f.now)
	}
}

// findUnfair describes the six seconds in each of which a customer was refused and in which it got
// the smallest fraction of what was due to it, if that is less than the given one. What is due is,
// second by second, the smaller of what it requested and what the most served customer got.
func (f *fleetSimulation) findUnfair(fraction float64) string {
	least, description := f.leastServed()
	if least >= fraction {
		return ""
	}
	return description
}

// leastServed returns the smallest such fraction over the whole run, and describes it.
func (f *fleetSimulation) leastServed() (least float64, description string) {
	const span = 6
	length := int(f.now.Sub(f.begun) / time.Second)
	least = 1
	for from := 0; from+span <= length; from++ {
		best := f.mostServed(from, from+span)
		for _, customer := range slices.Sorted(maps.Keys(f.seconds)) {
			got, due, refused := 0.0, 0.0, true
			for number := from; number < from+span; number++ {
				one, other := f.usage(customer, number), f.usage(best, number)
				got += one.granted
				due += min(one.requested, other.granted)
				refused = refused && one.refused
			}
			if refused && got < least*due {
				least = got / due
				description = fmt.Sprintf("from %d s: %s got %.2f of %.2f million that were due to it, as %s got", from, customer, got/1e6, due/1e6, best)
			}
		}
	}
	return least, description
}

func (f *fleetSimulation) usage(customer string, number int) secondUsage {
	if number >= len(f.seconds[customer]) {
		return secondUsage{}
	}
	return f.seconds[customer][number]
}

func (f *fleetSimulation) mostServed(from, to int) (best string) {
	most := -1.0
	for customer := range f.seconds {
		got := 0.0
		for number := from; number < to; number++ {
			got += f.usage(customer, number).granted
		}
		if got > most || (got == most && customer < best) {
			best, most = customer, got
		}
	}
	return best
}

// rates returns what a customer requested and got over the whole run, in tokens a second.
func (f *fleetSimulation) rates(customer string) (requested, got float64) {
	for _, one := range f.seconds[customer] {
		requested += one.requested
		got += one.granted
	}
	length := f.now.Sub(f.begun).Seconds()
	return requested / length, got / length
}
