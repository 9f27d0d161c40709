package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// handoverSimulation has boxes that switch to another dispatcher. Each has a pool with its own
// record of running requests and its own ledger, and receives updates of the others with a delay.
type handoverSimulation struct {
	*simulation
	boxes []*handoverBox
	// running are the requests at each engine.
	running map[string][]*handoverRequest
	down    map[string]bool
	starts  int
	// arrived is when the last message from one box to another arrived.
	arrived map[[2]int]time.Time
	// ends counts the engines that ended, by fingerprint. lost counts the other requests that
	// broke with an engine, served those that ended with a complete response, and refused
	// those that were refused.
	ends                  map[quarantine.Fingerprint]int
	lost, served, refused int
	// killAfter is the time from the beginning of a crashing request to the end of its engine.
	killAfter time.Duration
}

type handoverBox struct {
	number int
	pool   *Pool
	ledger *quarantine.Ledger
	// dispatcher is the number of the box that dispatches for this one.
	dispatcher int
	// gone is set once the box is gone, and stopping once it begins to stop; knownGone are the
	// other boxes that it has found to be gone or stopping.
	gone, stopping bool
	knownGone      map[int]bool
	// waiting and running are its requests by ID.
	waiting, running map[string]*handoverRequest
}

type handoverRequest struct {
	*Request
	box           *handoverBox
	engine        string
	crashesEngine bool
	ended         bool
}

func newHandoverSimulation(engines, boxes int, seed uint64) *handoverSimulation {
	s := &handoverSimulation{
		simulation: newSimulation(engines, 0, 45000),
		running:    map[string][]*handoverRequest{},
		down:       map[string]bool{},
		arrived:    map[[2]int]time.Time{},
		ends:       map[quarantine.Fingerprint]int{},
		killAfter:  20 * time.Millisecond,
	}
	s.rand = rand.New(rand.NewPCG(seed, 5))
	endpoints := s.pool.Endpoints()
	for number := range boxes {
		ledger := &quarantine.Ledger{}
		pool := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(seed, uint64(number))), Ledger: ledger}
		pool.Configure(route.Service{Name: "llm", Engine: &route.Engine{Slots: 128, CacheTokens: 1000000}}, 0)
		pool.SetEndpoints(endpoints, s.now)
		s.boxes = append(s.boxes, &handoverBox{
			number:    number,
			pool:      pool,
			ledger:    ledger,
			knownGone: map[int]bool{},
			waiting:   map[string]*handoverRequest{},
			running:   map[string]*handoverRequest{},
		})
	}
	return s
}

// ranksFirst reports whether a box is the dispatcher, from its own view of the others.
func (b *handoverBox) ranksFirst() bool {
	for number := range b.number {
		if !b.knownGone[number] {
			return false
		}
	}
	return !b.stopping
}

// hop returns a random time for a message between two boxes.
func (s *handoverSimulation) hop() time.Duration {
	return time.Millisecond + time.Duration(s.rand.ExpFloat64()*float64(3*time.Millisecond))
}

func (s *handoverSimulation) after(wait time.Duration, do func()) { s.at(s.now.Add(wait), do) }

// message delivers something from one box to another, in order.
func (s *handoverSimulation) message(from, to *handoverBox, do func()) {
	link := [2]int{from.number, to.number}
	at := later(s.now.Add(s.hop()), s.arrived[link].Add(1))
	s.arrived[link] = at
	s.at(at, do)
}

// play runs the simulation for a time, in which all boxes decide on the requests that they
// received.
func (s *handoverSimulation) play(length time.Duration) {
	const tick = 4 * time.Millisecond
	end := s.now.Add(length)
	for at := s.now; at.Before(end); at = at.Add(tick) {
		s.at(at, func() {
			for _, b := range s.boxes {
				if !b.gone {
					s.decide(b)
				}
			}
		})
	}
	s.until(end)
}

func (s *handoverSimulation) receive(req *handoverRequest) {
	b := req.box
	if b.gone || b.ledger.Check(req.Fingerprint, s.now).IsQuarantined() {
		return
	}
	b.waiting[req.ID] = req
	s.submit(req)
}

// submit sends a request to the dispatcher of its box.
func (s *handoverSimulation) submit(req *handoverRequest) {
	of, number := req.box, req.box.dispatcher
	sent := *req.Request
	sent.Stream = uint64(of.number + 1)
	s.send(of, number, func(p *Pool) { p.Submit(&sent, s.now) })
}

// send makes a call to a dispatcher's pool after a delay, unless the sending box has another
// dispatcher by then.
func (s *handoverSimulation) send(of *handoverBox, number int, do func(*Pool)) {
	to := s.boxes[number]
	if to == of {
		do(to.pool)
		return
	}
	s.message(of, to, func() {
		if !to.gone && !of.gone && of.dispatcher == number {
			do(to.pool)
		}
	})
}

func (s *handoverSimulation) decide(b *handoverBox) {
	b.pool.Contested = !b.ranksFirst()
	for _, d := range b.pool.Decide(s.now) {
		switch d := d.(type) {
		case Grant:
			s.deliver(b, d)
		case Refusal:
			s.refuse(b, d)
		}
	}
}

func (s *handoverSimulation) deliver(by *handoverBox, g Grant) {
	to := s.boxes[g.Request.Stream-1]
	deliver := func() {
		req := to.waiting[g.Request.ID]
		if req == nil || to.gone || to.dispatcher != by.number {
			by.pool.End(g.Request.ID, Unused{}, s.now)
			return
		}
		delete(to.waiting, req.ID)
		s.run(req, g)
	}
	if to == by {
		deliver()
		return
	}
	s.message(by, to, deliver)
}

func (s *handoverSimulation) refuse(by *handoverBox, d Refusal) {
	to := s.boxes[d.Request.Stream-1]
	if to.dispatcher == by.number && to.waiting[d.Request.ID] != nil {
		delete(to.waiting, d.Request.ID)
		s.refused++
	}
}

func (s *handoverSimulation) run(req *handoverRequest, g Grant) {
	b := req.box
	if s.down[g.Endpoint] {
		s.settle(req, Unreachable{})
		if next := *req.Request; len(next.Excluded) < 2 {
			next.Excluded = append(slices.Clone(next.Excluded), g.Endpoint)
			retry := &handoverRequest{Request: &next, box: b, crashesEngine: req.crashesEngine}
			s.receive(retry)
		}
		return
	}
	if b.ledger.Check(req.Fingerprint, s.now).IsQuarantined() {
		s.settle(req, Unused{})
		return
	}
	req.engine = g.Endpoint
	b.running[req.ID] = req
	s.running[g.Endpoint] = append(s.running[g.Endpoint], req)
	if s.cached[g.Endpoint] == nil {
		s.cached[g.Endpoint] = map[uint64]cachedAt{}
	}
	begins := s.read(g)
	if req.crashesEngine {
		s.at(begins.Add(s.killAfter), func() { s.crash(req) })
		return
	}
	s.at(begins, func() { s.report(b, func(p *Pool) { p.Begin(req.ID, s.now) }) })
	s.at(begins.Add(time.Duration(req.ExpectedOutput())*s.tokenInterval), func() {
		if req.ended {
			return
		}
		s.removeRunning(req)
		s.served++
		s.settle(req, Done{})
		b.ledger.Clear(req.Fingerprint, "llm", s.now)
	})
}

// removeRunning removes a request from its engine.
func (s *handoverSimulation) removeRunning(req *handoverRequest) {
	req.ended = true
	s.running[req.engine] = slices.DeleteFunc(s.running[req.engine], func(other *handoverRequest) bool { return other == req })
}

// report makes a call to a box's own pool and to its dispatcher's.
func (s *handoverSimulation) report(b *handoverBox, do func(*Pool)) {
	if b.gone {
		return
	}
	do(b.pool)
	if b.dispatcher != b.number {
		s.send(b, b.dispatcher, do)
	}
}

func (s *handoverSimulation) settle(req *handoverRequest, outcome Outcome) {
	delete(req.box.running, req.ID)
	s.report(req.box, func(p *Pool) { p.End(req.ID, outcome, s.now) })
}

// crash ends the engine of a crashing request, with all requests that run there.
func (s *handoverSimulation) crash(by *handoverRequest) {
	if by.ended {
		return
	}
	engine := by.engine
	s.ends[by.Fingerprint]++
	s.down[engine] = true
	instance := quarantine.InstanceOf("llm", engine, 0)
	for _, req := range slices.Clone(s.running[engine]) {
		s.removeRunning(req)
		if !req.crashesEngine {
			s.lost++
		}
		b := req.box
		s.after(time.Duration(s.rand.IntN(5))*time.Millisecond, func() {
			if b.gone {
				return
			}
			end := b.ledger.RecordEnd(req.Fingerprint, instance, s.now)
			s.settle(req, Ended{End: end})
			s.shareEnds(b)
		})
	}
	s.starts++
	back := fmt.Sprintf("%s/%d", engine, s.starts)
	s.after(time.Second, func() { s.replace(engine, back) })
}

// shareEnds sends the ends in one box's ledger to the others.
func (s *handoverSimulation) shareEnds(from *handoverBox) {
	ends := allEnds(from.ledger, s.now)
	for _, other := range s.boxes {
		if other != from {
			s.message(from, other, func() { other.ledger.Merge(ends, "", s.now) })
		}
	}
}

// replace restarts an engine under another ID; boxes receive that at different times.
func (s *handoverSimulation) replace(engine, back string) {
	for _, b := range s.boxes {
		s.after(s.hop(), func() {
			endpoints := b.pool.Endpoints()
			for i := range endpoints {
				if endpoints[i].ID == engine {
					endpoints[i].ID = back
				}
			}
			b.pool.SetEndpoints(endpoints, s.now)
		})
	}
}

// switchTo changes the dispatcher of a box.
func (s *handoverSimulation) switchTo(b *handoverBox, number int) {
	if b.gone || b.dispatcher == number {
		return
	}
	if before := s.boxes[b.dispatcher]; before != b {
		s.message(b, before, func() { before.pool.DropStream(uint64(b.number+1), s.now) })
	}
	b.dispatcher = number
	for _, id := range slices.Sorted(maps.Keys(b.running)) {
		req := b.running[id]
		sent := *req.Request
		sent.Stream = uint64(b.number + 1)
		s.send(b, number, func(p *Pool) { p.Adopt(&sent, req.engine, false, s.now) })
	}
	for _, id := range slices.Sorted(maps.Keys(b.waiting)) {
		s.submit(b.waiting[id])
	}
}

// failBox removes a box: at once with all its requests, or by a planned stop, in which it
// finishes those that it has. The others switch to the next box within a time.
func (s *handoverSimulation) failBox(number int, killed bool, within time.Duration) {
	gone := s.boxes[number]
	next := (number + 1) % len(s.boxes)
	for _, b := range s.boxes {
		if b == gone {
			continue
		}
		s.after(time.Duration(s.rand.Int64N(int64(within))), func() {
			b.knownGone[number] = true
			if b.dispatcher == number {
				s.switchTo(b, next)
			}
		})
	}
	if !killed {
		gone.stopping = true
		s.after(s.hop(), func() { s.switchTo(gone, next) })
		return
	}
	gone.gone = true
	for _, id := range slices.Sorted(maps.Keys(gone.running)) {
		s.removeRunning(gone.running[id])
	}
}

// divert makes a box use another dispatcher, or dispatch for itself, for a while.
func (s *handoverSimulation) divert(b *handoverBox, number int, length time.Duration) {
	before := b.dispatcher
	s.switchTo(b, number)
	s.after(length, func() {
		if b.dispatcher == number && !s.boxes[before].gone {
			s.switchTo(b, before)
		}
	})
}

// sendInnocents sends innocent requests to all boxes at a rate per second.
func (s *handoverSimulation) sendInnocents(perSecond float64, length time.Duration) (number int) {
	from := &source{customer: "others", route: "chat", perSecond: perSecond, latencyTarget: 600 * time.Millisecond, shared: 350, own: 1110, sharedParts: 160, output: 170}
	end := s.now.Add(length)
	for at := s.next(s.now, from); at.Before(end); at = s.next(at, from) {
		number++
		req := &handoverRequest{Request: s.newRequest(from, number, at), box: s.boxes[s.rand.IntN(len(s.boxes))]}
		req.Fingerprint = fingerprintOf("others", req.ID)
		s.at(at, func() { s.receive(req) })
	}
	return number
}

// sendWaves sends repeats of one crashing request to all boxes at once, several times.
func (s *handoverSimulation) sendWaves(body string, from, gap time.Duration, count, each int) {
	// Repeats may differ in the parts that they report for their prompt, long ones included.
	shared := 350
	if s.rand.IntN(2) == 0 {
		shared = 3 * maxShortShared
	}
	source := &source{customer: "one", route: "chat", latencyTarget: 600 * time.Millisecond, shared: shared, own: 900, sharedParts: 3, output: 50}
	for wave := range count {
		for i := range each * len(s.boxes) {
			spread := time.Duration(s.rand.IntN(5)) * time.Millisecond
			at := s.now.Add(from + time.Duration(wave)*gap + spread)
			req := &handoverRequest{Request: s.newRequest(source, 0, at), box: s.boxes[i%len(s.boxes)], crashesEngine: true}
			req.ID = fmt.Sprintf("%s-%d-%d", body, wave, i)
			req.Fingerprint = fingerprintOf("one", body)
			s.at(at, func() { s.receive(req) })
		}
	}
}

func (s *handoverSimulation) maxEnds() (most int) {
	for _, count := range s.ends {
		most = max(most, count)
	}
	return most
}

// playHandover runs a fleet drawn from a seed, with one change of the dispatcher while repeats
// arrive.
func playHandover(seed uint64) (*handoverSimulation, string) {
	draw := rand.New(rand.NewPCG(seed, 6))
	engines, boxes := 4+draw.IntN(12), 3+draw.IntN(5)
	s := newHandoverSimulation(engines, boxes, seed)
	s.killAfter = time.Duration(10+draw.IntN(150)) * time.Millisecond
	s.sendInnocents(float64(engines)*5, 8*time.Second)
	at := 4*time.Second + time.Duration(draw.IntN(200))*time.Millisecond
	s.sendWaves("body", at, time.Duration(20+draw.IntN(60))*time.Millisecond, 12, 1+draw.IntN(2))
	change := s.now.Add(at + time.Duration(draw.IntN(150)-30)*time.Millisecond)
	name := ""
	switch draw.IntN(5) {
	case 0:
		name = "none"
	case 1:
		name = "the box that dispatches is stopped"
		s.at(change, func() { s.failBox(0, false, 100*time.Millisecond) })
	case 2:
		name = "the box that dispatches is killed"
		s.at(change, func() { s.failBox(0, true, 300*time.Millisecond) })
	case 3:
		name = "boxes use another dispatcher or dispatch for themselves"
		for _, b := range s.boxes[1:] {
			to := b.number
			if draw.IntN(2) == 0 {
				to = 1
			}
			s.at(change.Add(time.Duration(draw.IntN(30))*time.Millisecond), func() { s.divert(b, to, 1500*time.Millisecond) })
		}
	case 4:
		name = "boxes switch dispatchers and back, at different times"
		for _, b := range s.boxes[1:] {
			for range 3 {
				after := time.Duration(draw.IntN(800)) * time.Millisecond
				length := time.Duration(100+draw.IntN(1400)) * time.Millisecond
				s.at(change.Add(after), func() { s.divert(b, b.number, length) })
			}
		}
	}
	s.play(9 * time.Second)
	return s, name
}

// TestMostEndsUnderChange guards against a request that ends more than three engines while boxes
// switch to another dispatcher, or dispatch for themselves, and its repeats arrive.
func TestMostEndsUnderChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, name := playHandover(rapid.Uint64().Draw(t, "seed"))
		if most := s.maxEnds(); most > quarantine.MaxEnds {
			t.Fatalf("a request ended %d engines: %s", most, name)
		}
	})
}

// TestLeadersFigures sums up random fleets by the kind of change. QUAYLEAD_FLEETS=400 runs 400
// of them, and -v prints the figures.
func TestLeadersFigures(t *testing.T) {
	type figures struct{ plays, broken, most, ends, lost, served, refused int }
	by := map[string]*figures{}
	for seed := range fleetsOr(8) {
		s, name := playHandover(uint64(seed))
		f := by[name]
		if f == nil {
			f = &figures{}
			by[name] = f
		}
		ended := s.maxEnds()
		f.plays++
		f.most, f.ends = max(f.most, ended), f.ends+ended
		f.lost, f.served, f.refused = f.lost+s.lost, f.served+s.served, f.refused+s.refused
		if ended > quarantine.MaxEnds {
			f.broken++
		}
	}
	for name, f := range by {
		t.Logf("%-44s %d of %d fleets broken, most ends %d, mean %.2f; others cut %d, served %d, refused with deadly ones %d",
			name, f.broken, f.plays, f.most, float64(f.ends)/float64(f.plays), f.lost, f.served, f.refused)
	}
}
