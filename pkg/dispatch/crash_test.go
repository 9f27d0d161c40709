package dispatch

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// One request ended eleven engines in a row: it was repeated at any box, with another ID each
// time, and each of its runs broke some thirty streams of others. No record of a run outlived it.

// crashSimulation is a pool in which crashing requests end their engine some time after they
// began, with all requests that run there. The engine restarts under another ID.
type crashSimulation struct {
	*simulation
	// ledgers are those of the boxes, which run a router each; a box sees its own requests only.
	ledgers []*quarantine.Ledger
	// shared makes all boxes share the ends that they recorded. Otherwise only the dispatcher has
	// them, from its routers' reports.
	shared bool
	// bounded passes fingerprints to the pool. Otherwise only the boxes check incoming requests.
	bounded bool
	// dead are the failed boxes.
	dead map[int]bool
	// running are the requests at each engine, in order of their grants.
	running map[string][]*crashRequest
	waiting map[string]*crashRequest
	// down are the engines that ended and are still listed; starts counts restarts.
	down   map[string]bool
	starts int
	// ends and sends count, by fingerprint, the engines that ended and the grants of crashing
	// requests; lost counts the other requests that broke with an engine.
	ends, sends map[quarantine.Fingerprint]int
	lost        int
	// refusedInnocent counts the innocent requests refused by quarantine.
	refusedInnocent int
	// knownPartEnds counts the engines that ended under a part by requests granted after the first end.
	knownPartEnds int
}

// crashRequest is a request and the box that received it.
type crashRequest struct {
	*Request
	box int
	// crashesEngine makes the request end its engine.
	crashesEngine bool
	// deadlyPart makes a part of its prompt end the engine before the first event, which begun records.
	deadlyPart, begun bool
	// afterEnd is set if it was granted after the first end of an engine.
	afterEnd bool
	// repeats is how often it may still be repeated after a break.
	repeats int
	ended   bool
}

const (
	// crashDelay is the time from the beginning of a crashing request to the end of its engine,
	// and restartDelay from there to the engine's restart.
	crashDelay   = 20 * time.Millisecond
	restartDelay = 3 * time.Second
)

func newCrashSimulation(engines, boxes int, seed uint64) *crashSimulation {
	s := &crashSimulation{
		simulation: newSimulation(engines, 0, 45000),
		shared:     true,
		bounded:    true,
		dead:       map[int]bool{},
		down:       map[string]bool{},
		running:    map[string][]*crashRequest{},
		waiting:    map[string]*crashRequest{},
		ends:       map[quarantine.Fingerprint]int{},
		sends:      map[quarantine.Fingerprint]int{},
	}
	s.rand = rand.New(rand.NewPCG(seed, 1))
	for range boxes {
		s.ledgers = append(s.ledgers, &quarantine.Ledger{})
	}
	s.pool.Ledger = s.ledgers[0]
	return s
}

func fingerprintOf(customer, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf([]byte("POST"), []byte("/"), []byte(customer), []byte(body))
}

// sendInnocents sends innocent requests at a rate per second, a fraction of them repeatable, and
// returns their number.
func (s *crashSimulation) sendInnocents(perSecond float64, length time.Duration, repeatable float64) (number int) {
	from := &source{customer: "others", route: "chat", perSecond: perSecond, latencyTarget: 600 * time.Millisecond, shared: 350, own: 1110, sharedParts: 160, output: 170}
	end := s.now.Add(length)
	for at := s.next(s.now, from); at.Before(end); at = s.next(at, from) {
		number++
		req := &crashRequest{Request: s.newRequest(from, number, at), box: s.rand.IntN(len(s.ledgers))}
		req.Fingerprint = fingerprintOf("others", req.ID)
		if s.rand.Float64() < repeatable {
			req.repeats = 3
		}
		s.at(at, func() { s.receive(req) })
	}
	for tick := s.now; tick.Before(end.Add(10 * time.Second)); tick = tick.Add(4 * time.Millisecond) {
		s.at(tick, s.decide)
	}
	return number
}

// sendCrashing sends one crashing request repeatedly at the given times, to any box.
func (s *crashSimulation) sendCrashing(body string, times ...time.Duration) {
	from := &source{customer: "one", route: "chat", latencyTarget: 600 * time.Millisecond, shared: 350, own: 900, sharedParts: 3, output: 50}
	for i, after := range times {
		req := &crashRequest{Request: s.newRequest(from, 0, s.now.Add(after)), crashesEngine: true, box: s.rand.IntN(len(s.ledgers))}
		req.ID = fmt.Sprintf("%s-%d", body, i)
		req.Fingerprint = fingerprintOf("one", body)
		s.at(req.Arrived, func() { s.receive(req) })
	}
}

func (s *crashSimulation) receive(req *crashRequest) {
	for s.dead[req.box] {
		req.box = s.rand.IntN(len(s.ledgers))
	}
	if s.isRefusedAtBox(req) || s.ledgers[req.box].Check(req.Fingerprint, s.now).IsQuarantined() {
		if !req.crashesEngine && !req.deadlyPart {
			s.refusedInnocent++
		}
		return
	}
	s.waiting[req.ID] = req
	if !s.bounded {
		unknown := *req.Request
		unknown.Fingerprint = quarantine.Fingerprint{}
		s.pool.Submit(&unknown, s.now)
		return
	}
	s.pool.Submit(req.Request, s.now)
}

func (s *crashSimulation) decide() {
	for _, d := range s.pool.Decide(s.now) {
		switch d := d.(type) {
		case Grant:
			req := s.waiting[d.Request.ID]
			delete(s.waiting, req.ID)
			s.run(req, d)
		case Refusal:
			if !s.waiting[d.Request.ID].deadlyPart && s.pool.hasQuarantinedPart(d.Request, s.now) {
				s.refusedInnocent++
			}
			delete(s.waiting, d.Request.ID)
		}
	}
}

func (s *crashSimulation) run(req *crashRequest, g Grant) {
	if s.down[g.Endpoint] {
		s.pool.End(req.ID, Unreachable{}, s.now)
		return
	}
	if req.crashesEngine {
		s.sends[req.Fingerprint]++
	}
	req.afterEnd = len(s.ends) > 0
	s.running[g.Endpoint] = append(s.running[g.Endpoint], req)
	if s.cached[g.Endpoint] == nil {
		s.cached[g.Endpoint] = map[uint64]cachedAt{}
	}
	begins := s.read(g)
	s.at(begins, func() {
		if req.ended {
			return
		}
		if req.deadlyPart {
			s.crash(g.Endpoint, req)
			return
		}
		req.begun = true
		s.pool.Begin(req.ID, s.now)
		s.clearParts(req, g.Endpoint)
		if req.crashesEngine {
			s.at(s.now.Add(crashDelay), func() { s.crash(g.Endpoint, req) })
		}
	})
	if req.crashesEngine || req.deadlyPart {
		return
	}
	s.at(begins.Add(time.Duration(req.ExpectedOutput())*s.tokenInterval), func() {
		if req.ended {
			return
		}
		s.running[g.Endpoint] = slices.DeleteFunc(s.running[g.Endpoint], func(other *crashRequest) bool { return other == req })
		s.pool.End(req.ID, Done{}, s.now)
		s.clearSuspicion(req)
	})
}

// clearSuspicion records at the boxes that a request ended well.
func (s *crashSimulation) clearSuspicion(req *crashRequest) {
	s.ledgers[req.box].Clear(req.Fingerprint, "llm", s.now)
	s.exchangeEnds()
}

// crash ends an engine because of a request, unless the request already ended with another one.
func (s *crashSimulation) crash(engine string, by *crashRequest) {
	if by.ended {
		return
	}
	s.ends[by.Fingerprint]++
	if by.deadlyPart && by.afterEnd {
		s.knownPartEnds++
	}
	instance := quarantine.InstanceOf("llm", engine, 0)
	s.down[engine] = true
	broken := s.running[engine]
	delete(s.running, engine)
	for _, req := range broken {
		req.ended = true
		if !req.crashesEngine && !req.deadlyPart {
			s.lost++
		}
		end := s.ledgers[req.box].RecordEnd(req.Fingerprint, instance, s.now)
		s.recordPartEnds(req, engine, instance)
		s.pool.End(req.ID, Ended{End: end}, s.now)
		s.retry(req)
	}
	s.exchangeEnds()
	s.starts++
	back := fmt.Sprintf("%s/%d", engine, s.starts)
	s.at(s.now.Add(restartDelay), func() { s.replace(engine, back) })
}

// retry repeats an innocent request that broke, if it may be repeated.
func (s *crashSimulation) retry(req *crashRequest) {
	if req.repeats == 0 {
		return
	}
	retried := *req.Request
	retried.ID, retried.Arrived = req.ID+"r", s.now.Add(5*time.Millisecond)
	next := &crashRequest{Request: &retried, box: req.box, repeats: req.repeats - 1}
	s.at(retried.Arrived, func() { s.receive(next) })
}

// replace restarts an engine under another ID.
func (s *crashSimulation) replace(engine, back string) {
	endpoints := s.pool.Endpoints()
	for i := range endpoints {
		if endpoints[i].ID == engine {
			endpoints[i].ID = back
		}
	}
	s.pool.SetEndpoints(endpoints, s.now)
}

// exchangeEnds shares the recorded ends among the live boxes, if they do so.
func (s *crashSimulation) exchangeEnds() {
	if !s.shared {
		return
	}
	for from, l := range s.ledgers {
		if s.dead[from] {
			continue
		}
		ends := allEnds(l, s.now)
		for to, other := range s.ledgers {
			if to != from && !s.dead[to] {
				other.Merge(ends, "", s.now)
			}
		}
	}
}

// allEnds returns all ends that a box knows. Boxes send them in messages of bounded size, one after another.
func allEnds(l *quarantine.Ledger, now time.Time) (all []quarantine.End) {
	for mark := uint64(0); ; {
		ends, next := l.EndsSince(mark, "", now)
		if len(ends) == 0 {
			return all
		}
		all, mark = append(all, ends...), next
	}
}

// failBoxes kills the dispatcher and some other boxes. The first box left takes over. It receives
// the running requests, and the ends that each router recorded, which boxes may not share.
func (s *crashSimulation) failBoxes(count int) {
	for box := range s.ledgers {
		if !s.dead[box] && count > 0 && len(s.dead) < len(s.ledgers)-1 {
			s.dead[box] = true
			count--
		}
	}
	first := 0
	for s.dead[first] {
		first++
	}
	before := s.pool
	s.pool = &Pool{Rules: before.Rules, Rand: before.Rand, Warm: true, Ledger: s.ledgers[first]}
	s.pool.Configure(before.service, before.tokensPerSecond)
	s.pool.SetEndpoints(before.Endpoints(), s.now)
	for box, l := range s.ledgers {
		if !s.dead[box] {
			ends := allEnds(l, s.now)
			s.pool.Ledger.Merge(ends, "", s.now)
		}
	}
	for engine, requests := range s.running {
		for _, req := range requests {
			s.pool.Adopt(req.Request, engine, false, s.now)
		}
	}
	for _, req := range s.waiting {
		s.pool.Submit(req.Request, s.now)
	}
}

func (s *crashSimulation) maxEnds() (most int) {
	for _, count := range s.ends {
		most = max(most, count)
	}
	return most
}

// times draws the arrival times of a request: some separately, some several at once.
func times(rand *rand.Rand, count int, gap time.Duration) (all []time.Duration) {
	at := time.Second
	for range count {
		if rand.IntN(3) > 0 {
			at += time.Duration(rand.ExpFloat64() * float64(gap))
		}
		all = append(all, at)
	}
	return all
}

// TestMostEnds checks over random fleets that no request ends more than three engines, however
// it is repeated and whichever box dispatches.
func TestMostEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		s := newCrashSimulation(engines, rapid.IntRange(2, 8).Draw(t, "boxes"), rapid.Uint64().Draw(t, "seed"))
		length := 20 * time.Second
		s.sendInnocents(float64(engines)*rapid.Float64Range(0.2, 8).Draw(t, "load"), length, 0.3)
		for i := range rapid.IntRange(1, 3).Draw(t, "deadly") {
			gap := time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond
			s.sendCrashing(fmt.Sprint("body", i), times(s.rand, 25, gap)...)
		}
		for range rapid.IntRange(0, 3).Draw(t, "losses") {
			count := rapid.IntRange(1, 3).Draw(t, "lost")
			s.at(s.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "at"))*time.Millisecond), func() { s.failBoxes(count) })
		}
		s.until(s.now.Add(time.Hour))
		if most := s.maxEnds(); most > quarantine.MaxEnds {
			t.Fatalf("a request ended %d engines", most)
		}
	})
}

// protection is a way to keep requests from ending engines; the last of TestDeadlyWays is the
// one in use.
type protection struct {
	name string
	// shared makes all boxes share the ends that they recorded; bounded makes the pool bound the
	// engines that may end.
	shared, bounded bool
}

// crashOutcome sums up random fleets.
type crashOutcome struct {
	requests, ends, most, lost, refused, innocents int
}

// playCrashes runs a fleet drawn from a seed: repeats arrive separately or together, and boxes
// fail twice, the dispatcher among them.
func playCrashes(protection protection, seed uint64, out *crashOutcome) {
	draw := rand.New(rand.NewPCG(seed, 2))
	engines := 3 + draw.IntN(10)
	s := newCrashSimulation(engines, 8, seed)
	s.shared = protection.shared
	out.innocents += s.sendInnocents(float64(engines)*10, 20*time.Second, 0.2)
	count := 1 + draw.IntN(2)
	for i := range count {
		s.sendCrashing(fmt.Sprint("body", i), times(draw, 25, time.Duration(100+draw.IntN(1500))*time.Millisecond)...)
	}
	s.bounded = protection.bounded
	for range 2 {
		s.at(s.now.Add(time.Duration(1+draw.IntN(15000))*time.Millisecond), func() { s.failBoxes(3) })
	}
	s.until(s.now.Add(time.Hour))
	out.requests += count
	out.most = max(out.most, s.maxEnds())
	for _, count := range s.ends {
		out.ends += count
	}
	out.lost += s.lost
	out.refused += s.refusedInnocent
}

// fleetsOr returns the number of random fleets to run: QUAYLEAD_FLEETS, or few if that is not
// set.
func fleetsOr(few int) int {
	if more, err := strconv.Atoi(os.Getenv("QUAYLEAD_FLEETS")); err == nil {
		return more
	}
	return few
}

// TestDeadlyWays compares the protections on the same random fleets; QUAYLEAD_FLEETS=60 runs 60
// of them, and -v prints the figures.
func TestDeadlyWays(t *testing.T) {
	fleets := fleetsOr(6)
	for _, p := range []protection{
		{"counted by the box that dispatches, not bounded", false, false},
		{"counted by the box that dispatches, bounded", false, true},
		{"counted by all boxes, not bounded", true, false},
		{"counted by all boxes, bounded", true, true},
	} {
		out := crashOutcome{}
		for seed := range fleets {
			playCrashes(p, uint64(seed), &out)
		}
		t.Logf("%-48s %d requests: ends mean %.2f, most %d; others lost with an engine %.1f a request; bystanders refused %d of %d",
			p.name, out.requests, float64(out.ends)/float64(out.requests), out.most, float64(out.lost)/float64(out.requests), out.refused, out.innocents)
		if p.shared && p.bounded && out.most > quarantine.MaxEnds {
			t.Errorf("a request ended %d engines", out.most)
		}
	}
}

// TestMassCrashes ends half of the engines at once, several times, independently of any request.
// A request that lost three engines meanwhile is refused, which is one in thousands; -v prints
// how many.
func TestMassCrashes(t *testing.T) {
	refused, innocents, lost := 0, 0, 0
	for number := range fleetsOr(3) {
		seed := uint64(number)
		draw := rand.New(rand.NewPCG(seed, 3))
		engines := 4 + draw.IntN(9)
		s := newCrashSimulation(engines, 8, seed)
		innocents += s.sendInnocents(float64(engines)*10, 20*time.Second, 0.2)
		for wave := range 4 {
			s.at(s.now.Add(time.Duration(2+4*wave)*time.Second), func() { s.crashHalf() })
		}
		s.until(s.now.Add(time.Hour))
		refused += s.refusedInnocent
		lost += s.lost
	}
	t.Logf("%d of %d requests were refused by quarantine, %d lost an engine", refused, innocents, lost)
	if refused*1000 > innocents {
		t.Errorf("%d of %d bystanders were refused", refused, innocents)
	}
}

// crashHalf ends every other engine that is up.
func (s *crashSimulation) crashHalf() {
	for i, endpoint := range s.pool.Endpoints() {
		if i%2 == 0 && !s.down[endpoint.ID] {
			s.crash(endpoint.ID, &crashRequest{Request: &Request{}})
		}
	}
}
