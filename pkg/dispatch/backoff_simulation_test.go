package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// restWay is how the box that grants learns of a rest.
type backoffReporting int

const (
	// checked: not at all; what a box can not use it hands back.
	notReported backoffReporting = iota
	// named: each ask excludes what rests for its box.
	inEachRequest
	// told: once, and anew where another box takes over.
	reportedOnce
)

// wordSimulation is a pool whose engines say in answers that they leave, or turn boxes away
// and ask for rest.
type backoffSimulation struct {
	*simulation
	reporting backoffReporting
	boxes     []*backoffBox
	// leavingAt is when an engine begins to say that it leaves, and full when it turns all
	// away, with the rest that it asks for.
	leavingAt map[string]time.Time
	overloads map[string]overload
	running   map[string]*backoffRequest
	waiting   map[string]*backoffRequest
	// bindsAll has a rest of one box bind all of them.
	bindsAll bool
	// retries is how often a caller comes back, to any box, and soonElsewhere tells it to
	// come at once where another box may be served.
	retries        int
	retryElsewhere bool
	// given up are callers that were refused for good, and waited the time until those that
	// came back were sent to an engine.
	givenUp, cameBack int
	waited            time.Duration
	// toldEarly were told to come back before any engine takes requests of their box.
	retriedEarly int
	// against are arrivals that their engine had asked the box not to send.
	violations []string

	requested, served, rejected, handedBack, refused int
	// refusedInVain were refused while an engine had room that took requests of their box.
	refusedDespiteRoom int
	requestBytes       int
}

// fullTime is when an engine turns requests away, with the rest that it asks for.
type overload struct {
	from, until time.Time
	backoff     time.Duration
	// box is the only one that is turned away; nil means that all are.
	box *backoffBox
}

// turnsAway tells whether a box's requests are turned away.
func (f overload) rejects(box *backoffBox, now time.Time) bool {
	return !now.Before(f.from) && now.Before(f.until) && (f.box == nil || f.box == box)
}

// wordBox is a box with what engines said to it.
type backoffBox struct {
	number   uint64
	backoffs lifecycle.Rests
	leaving  map[string]bool
	// restsUntil and toldLeaving are the same as the engines count it: since the answer
	// was read.
	backoffUntil    map[string]time.Time
	reportedLeaving map[string]bool
}

type backoffRequest struct {
	*Request
	box      *backoffBox
	endpoint string
	tries    int
	// returned counts how often its caller came back, first at firstAt.
	returned int
	firstAt  time.Time
}

const (
	// hop is the time of a message between two boxes, or a box and an engine.
	messageDelay = time.Millisecond
	// spread is the time in which all boxes know that an engine leaves.
	leavingSpread = 100 * time.Millisecond
	// mostTries bounds the grants that a box hands back of one request.
	maxTries = 3
)

func newWordSimulation(engines, boxes int, seed uint64, way backoffReporting) *backoffSimulation {
	s := &backoffSimulation{
		simulation: newSimulation(engines, 0, 45000),
		reporting:  way,
		leavingAt:  map[string]time.Time{},
		overloads:  map[string]overload{},
		running:    map[string]*backoffRequest{},
		waiting:    map[string]*backoffRequest{},
	}
	s.rand = rand.New(rand.NewPCG(seed, 1))
	for i := range boxes {
		s.boxes = append(s.boxes, &backoffBox{number: uint64(i + 1), leaving: map[string]bool{}, backoffUntil: map[string]time.Time{}, reportedLeaving: map[string]bool{}})
	}
	return s
}

// callers come to all boxes for a time.
func (s *backoffSimulation) callers(perSecond float64, length time.Duration) {
	from := &source{customer: "one", route: "chat", perSecond: perSecond, latencyTarget: 600 * time.Millisecond, shared: 350, own: 1110, sharedParts: 160, output: 60}
	end := s.now.Add(length)
	for at := s.next(s.now, from); at.Before(end); at = s.next(at, from) {
		s.requested++
		req := &backoffRequest{Request: s.newRequest(from, s.requested, at), box: s.boxes[s.rand.IntN(len(s.boxes))], firstAt: at}
		s.at(at, func() { s.submit(req) })
	}
	for tick := s.now; tick.Before(end.Add(5 * time.Second)); tick = tick.Add(4 * time.Millisecond) {
		s.at(tick, s.decide)
	}
}

func (s *backoffSimulation) submit(req *backoffRequest) {
	req.Stream = req.box.number
	if s.reporting == inEachRequest {
		for _, rest := range req.box.backoffs.All(s.now) {
			if !slices.Contains(req.Excluded, rest.Endpoint) {
				req.Excluded = append(req.Excluded, rest.Endpoint)
			}
		}
		for _, id := range req.Excluded {
			s.requestBytes += len(id) + 2
		}
	}
	s.waiting[req.ID] = req
	s.pool.Submit(req.Request, s.now)
}

func (s *backoffSimulation) decide() {
	for _, d := range s.pool.Decide(s.now) {
		switch d := d.(type) {
		case Grant:
			req := s.waiting[d.Request.ID]
			delete(s.waiting, d.Request.ID)
			req.endpoint = d.Endpoint
			s.running[req.ID] = req
			s.at(s.now.Add(messageDelay), func() { s.send(req, d) })
		case Refusal:
			req := s.waiting[d.Request.ID]
			delete(s.waiting, d.Request.ID)
			s.refuse(req)
			s.retry(req, d)
		}
	}
}

// comeBack has a refused caller come back as told, to any box.
func (s *backoffSimulation) retry(req *backoffRequest, d Refusal) {
	after := d.RetryAfter
	if d.NoEligibleEngine && s.now.Add(after).Before(s.pool.earliestBackoffEnd(req.Request, s.now)) {
		s.retriedEarly++
	}
	if s.retryElsewhere && d.NoEligibleEngine && s.servedElsewhere(req) {
		after = time.Duration(float64(minRetryAfter) * (0.5 + s.rand.Float64()))
	}
	// As the users' callers do, it waits for a third of the time that it has left at most.
	const patience = 12 * time.Second
	after = min(after, (patience-s.now.Sub(req.firstAt))/3)
	if req.returned >= s.retries {
		s.givenUp++
		return
	}
	again := *req.Request
	again.ID, again.Arrived, again.Excluded = req.ID+"r", s.now.Add(after), nil
	next := &backoffRequest{Request: &again, box: s.boxes[s.rand.IntN(len(s.boxes))], returned: req.returned + 1, firstAt: req.firstAt}
	s.at(again.Arrived, func() { s.submit(next) })
}

// servedElsewhere tells whether, by the rests that the box that dispatches knows, some engine
// takes requests of another box.
func (s *backoffSimulation) servedElsewhere(req *backoffRequest) bool {
	for _, e := range s.pool.sorted {
		for _, box := range s.boxes {
			other := *req.Request
			other.Stream = box.number
			if box != req.box && e.isUsable(s.now) && s.pool.allows(e, &other, s.now) {
				return true
			}
		}
	}
	return false
}

// refuse counts a refusal, and whether the request could have been served.
func (s *backoffSimulation) refuse(req *backoffRequest) {
	s.refused++
	for _, e := range s.pool.sorted {
		if e.isUsable(s.now) && len(e.pending) == 0 && e.fits(&req.Prompt) && s.wouldTake(req.box, e.ID) {
			s.refusedDespiteRoom++
			return
		}
	}
}

// wouldTake tells whether an engine takes a box's request now.
func (s *backoffSimulation) wouldTake(box *backoffBox, engine string) bool {
	return !s.overloads[engine].rejects(box, s.now) && !s.now.Before(box.backoffUntil[engine]) && !box.reportedLeaving[engine]
}

// send has a box send what it was granted, if by its own knowledge it may.
func (s *backoffSimulation) send(req *backoffRequest, g Grant) {
	if s.now.Before(req.box.backoffs.Until(g.Endpoint, 0)) || req.box.leaving[g.Endpoint] {
		s.handedBack++
		s.endUnserved(req, Unused{})
		return
	}
	s.at(s.now.Add(messageDelay), func() { s.arrive(req, g) })
}

// again ends a grant of which nothing came, and asks for another engine.
func (s *backoffSimulation) endUnserved(req *backoffRequest, outcome Outcome) {
	delete(s.running, req.ID)
	s.pool.End(req.ID, outcome, s.now)
	if req.tries++; req.tries >= maxTries {
		s.refuse(req)
		return
	}
	next := *req.Request
	next.Excluded = append(slices.Clone(req.Excluded), req.endpoint)
	req.Request = &next
	s.submit(req)
}

func (s *backoffSimulation) arrive(req *backoffRequest, g Grant) {
	box := req.box
	if s.now.Before(box.backoffUntil[g.Endpoint]) || box.reportedLeaving[g.Endpoint] {
		s.violations = append(s.violations, fmt.Sprintf("%s from box %d", g.Endpoint, box.number))
	}
	if at, leaves := s.leavingAt[g.Endpoint]; leaves && !s.now.Before(at) {
		s.at(s.now.Add(messageDelay), func() { s.receiveLeaving(box, g.Endpoint) })
	}
	if full := s.overloads[g.Endpoint]; full.rejects(box, s.now) {
		s.rejected++
		until := s.now.Add(full.backoff)
		s.at(s.now.Add(messageDelay), func() {
			// What was sent before the word was read is no fault.
			s.at(s.now.Add(messageDelay+1), func() { box.backoffUntil[g.Endpoint] = until })
			s.receiveBackoff(box, lifecycle.Rest{Endpoint: g.Endpoint, Until: s.now.Add(full.backoff)})
			s.endUnserved(req, NotRun{})
		})
		return
	}
	s.served++
	if req.returned > 0 {
		s.cameBack++
		s.waited += s.now.Sub(req.firstAt)
	}
	begins := s.read(g)
	s.at(begins, func() { s.pool.Begin(req.ID, s.now) })
	s.at(begins.Add(time.Duration(req.ExpectedOutput())*s.tokenInterval), func() {
		delete(s.running, req.ID)
		s.pool.End(req.ID, Done{}, s.now)
	})
}

func (s *backoffSimulation) receiveBackoff(box *backoffBox, rest lifecycle.Rest) {
	box.backoffs.Add(rest, s.now)
	if s.reporting != reportedOnce {
		return
	}
	s.pool.SetBackoff(box.number, rest, s.now)
	for _, other := range s.boxes {
		if s.bindsAll && other != box {
			other.backoffs.Add(rest, s.now)
			s.pool.SetBackoff(other.number, rest, s.now)
		}
	}
}

// hearLeaving has a box, and soon all, know that an engine leaves.
func (s *backoffSimulation) receiveLeaving(box *backoffBox, engine string) {
	if box.leaving[engine] {
		return
	}
	box.leaving[engine] = true
	s.at(s.now.Add(messageDelay+1), func() { box.reportedLeaving[engine] = true })
	s.at(s.now.Add(time.Duration(s.rand.Float64()*float64(leavingSpread))), func() {
		for _, other := range s.boxes {
			other.leaving[engine] = true
		}
		s.updateLeaving()
	})
}

// teachLeaving has the box that dispatches know it.
func (s *backoffSimulation) updateLeaving() {
	endpoints := s.pool.Endpoints()
	for i := range endpoints {
		endpoints[i].Leaving = s.boxes[0].leaving[endpoints[i].ID]
	}
	s.pool.SetEndpoints(endpoints, s.now)
}

// lose has another box dispatch, which knows what routers tell it.
func (s *backoffSimulation) takeOver() {
	before := s.pool
	s.pool = &Pool{Rules: before.Rules, Rand: before.Rand, Warm: true}
	s.pool.Configure(before.service, before.tokensPerSecond)
	s.pool.SetEndpoints(before.Endpoints(), s.now)
	for _, box := range s.boxes {
		for _, rest := range box.backoffs.All(s.now) {
			if s.reporting == reportedOnce {
				s.pool.SetBackoff(box.number, rest, s.now)
			}
		}
	}
	for _, req := range s.running {
		s.pool.Adopt(req.Request, req.endpoint, false, s.now)
	}
	for _, req := range s.waiting {
		s.pool.Submit(req.Request, s.now)
	}
}

// idleWhileWaiting are engines that are idle and take a request that waits.
func (s *backoffSimulation) idleWhileWaiting() (found []string) {
	for _, req := range s.pool.waiting {
		for _, e := range s.pool.sorted {
			if p := s.pool; p.snapshot(e, s.now).usable && p.allows(e, req, s.now) && e.fits(&req.Prompt) && len(e.pending) == 0 {
				found = append(found, e.ID)
			}
		}
	}
	return found
}

// draw draws a fleet's engines that fill up or leave.
func (s *backoffSimulation) draw(draw *rand.Rand, engines int, full, leaving float64) {
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		if draw.Float64() < full {
			from := s.now.Add(time.Duration(draw.IntN(6000)) * time.Millisecond)
			s.overloads[id] = overload{from: from, until: from.Add(time.Duration(500+draw.IntN(8000)) * time.Millisecond), backoff: time.Duration(100+draw.IntN(4000)) * time.Millisecond}
		}
		if draw.Float64() < leaving {
			s.leavingAt[id] = s.now.Add(time.Duration(draw.IntN(9000)) * time.Millisecond)
		}
	}
}
