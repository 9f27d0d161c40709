package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// restReporting is how the dispatcher receives that an endpoint asked a box for rest.
type restReporting int

const (
	// notReported: it does not receive it; a box hands back grants that it cannot use.
	notReported restReporting = iota
	// inEachRequest: each request excludes the engines that rest for its box.
	inEachRequest
	// reportedOnce: once per rest, and again when another box takes over.
	reportedOnce
)

// restSimulation is a pool whose engines report in responses that they are leaving, or reject
// requests and ask the box for rest.
type restSimulation struct {
	*simulation
	reporting restReporting
	boxes     []*restBox
	// leavingAt is when an engine starts to report that it is leaving. overloads are the times
	// in which an engine rejects requests, with the rest that it asks for.
	leavingAt map[string]time.Time
	overloads map[string]overload
	running   map[string]*restRequest
	waiting   map[string]*restRequest
	// bindsAll makes a rest asked of one box bind all boxes.
	bindsAll bool
	// maxRetries is how often a caller retries, at any box. retryElsewhere makes it retry at
	// once if engines accept requests of another box.
	maxRetries     int
	retryElsewhere bool
	// givenUp counts the callers without retries left, and servedRetries those whose retry
	// reached an engine. waited sums up the time from the first try of the latter to that.
	givenUp, servedRetries int
	waited                 time.Duration
	// retriedEarly counts refusals with a RetryAfter that ends before any engine takes requests
	// of the box.
	retriedEarly int
	// violations are requests that reached an engine though it had asked the box to send none.
	violations []string

	requested, served, rejected, handedBack, refused int
	// refusedDespiteRoom counts refusals while an engine had room and accepted requests of the
	// box.
	refusedDespiteRoom int
	requestBytes       int
}

// overload is a time in which an engine rejects requests, with the rest that it asks for.
type overload struct {
	from, until time.Time
	rest        time.Duration
	// box is the only box whose requests are rejected; nil means that all are.
	box *restBox
}

// rejects reports whether requests of a box are rejected.
func (o overload) rejects(box *restBox, now time.Time) bool {
	return !now.Before(o.from) && now.Before(o.until) && (o.box == nil || o.box == box)
}

// restBox is a box with what engines reported to it.
type restBox struct {
	number  uint64
	rests   lifecycle.Rests
	leaving map[string]bool
	// restUntil and reportedLeaving are the same from the engines' point of view: they hold from
	// the moment at which the box has read the response.
	restUntil       map[string]time.Time
	reportedLeaving map[string]bool
}

type restRequest struct {
	*Request
	box      *restBox
	endpoint string
	tries    int
	// retries counts the retries of its caller, whose first try was at firstAt.
	retries int
	firstAt time.Time
}

const (
	// messageDelay is the time of a message between two boxes, or a box and an engine.
	messageDelay = time.Millisecond
	// leavingSpread is the time within which all boxes receive that an engine is leaving.
	leavingSpread = 100 * time.Millisecond
	// maxTries bounds the grants of one request that a box hands back.
	maxTries = 3
)

func newRestSimulation(engines, boxes int, seed uint64, reporting restReporting) *restSimulation {
	s := &restSimulation{
		simulation: newSimulation(engines, 0, 45000),
		reporting:  reporting,
		leavingAt:  map[string]time.Time{},
		overloads:  map[string]overload{},
		running:    map[string]*restRequest{},
		waiting:    map[string]*restRequest{},
	}
	s.rand = rand.New(rand.NewPCG(seed, 1))
	for i := range boxes {
		s.boxes = append(s.boxes, &restBox{number: uint64(i + 1), leaving: map[string]bool{}, restUntil: map[string]time.Time{}, reportedLeaving: map[string]bool{}})
	}
	return s
}

// callers sends requests to all boxes for a time.
func (s *restSimulation) callers(perSecond float64, length time.Duration) {
	from := &source{customer: "one", route: "chat", perSecond: perSecond, latencyTarget: 600 * time.Millisecond, shared: 350, own: 1110, sharedParts: 160, output: 60}
	end := s.now.Add(length)
	for at := s.next(s.now, from); at.Before(end); at = s.next(at, from) {
		s.requested++
		req := &restRequest{Request: s.newRequest(from, s.requested, at), box: s.boxes[s.rand.IntN(len(s.boxes))], firstAt: at}
		s.at(at, func() { s.submit(req) })
	}
	for tick := s.now; tick.Before(end.Add(5 * time.Second)); tick = tick.Add(4 * time.Millisecond) {
		s.at(tick, s.decide)
	}
}

func (s *restSimulation) submit(req *restRequest) {
	req.Stream = req.box.number
	if s.reporting == inEachRequest {
		for _, rest := range req.box.rests.All(s.now) {
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

func (s *restSimulation) decide() {
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

// retry retries a refused request after its RetryAfter, at any box.
func (s *restSimulation) retry(req *restRequest, refusal Refusal) {
	after := refusal.RetryAfter
	if refusal.NoEligibleEngine && s.now.Add(after).Before(s.pool.earliestRestEnd(req.Request, s.now)) {
		s.retriedEarly++
	}
	if s.retryElsewhere && refusal.NoEligibleEngine && s.canRetryElsewhere(req) {
		after = time.Duration(float64(minRetryAfter) * (0.5 + s.rand.Float64()))
	}
	// Like real callers, it waits for at most a third of its remaining time.
	const callerTimeout = 12 * time.Second
	after = min(after, (callerTimeout-s.now.Sub(req.firstAt))/3)
	if req.retries >= s.maxRetries {
		s.givenUp++
		return
	}
	next := *req.Request
	next.ID, next.Arrived, next.Excluded = req.ID+"r", s.now.Add(after), nil
	retried := &restRequest{Request: &next, box: s.boxes[s.rand.IntN(len(s.boxes))], retries: req.retries + 1, firstAt: req.firstAt}
	s.at(next.Arrived, func() { s.submit(retried) })
}

// canRetryElsewhere reports whether, by the rests reported to the dispatcher, some engine accepts
// requests of another box.
func (s *restSimulation) canRetryElsewhere(req *restRequest) bool {
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
func (s *restSimulation) refuse(req *restRequest) {
	s.refused++
	for _, e := range s.pool.sorted {
		if e.isUsable(s.now) && len(e.pending) == 0 && e.fits(&req.Prompt) && s.wouldAccept(req.box, e.ID) {
			s.refusedDespiteRoom++
			return
		}
	}
}

// wouldAccept reports whether an engine accepts requests of a box now.
func (s *restSimulation) wouldAccept(box *restBox, engine string) bool {
	return !s.overloads[engine].rejects(box, s.now) && !s.now.Before(box.restUntil[engine]) && !box.reportedLeaving[engine]
}

// send sends a granted request, if the box's own state allows it.
func (s *restSimulation) send(req *restRequest, g Grant) {
	if s.now.Before(req.box.rests.Until(g.Endpoint, 0)) || req.box.leaving[g.Endpoint] {
		s.handedBack++
		s.endUnserved(req, Unused{})
		return
	}
	s.at(s.now.Add(messageDelay), func() { s.arrive(req, g) })
}

// endUnserved ends a grant that was not served, and requests another engine.
func (s *restSimulation) endUnserved(req *restRequest, outcome Outcome) {
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

func (s *restSimulation) arrive(req *restRequest, g Grant) {
	box := req.box
	if s.now.Before(box.restUntil[g.Endpoint]) || box.reportedLeaving[g.Endpoint] {
		s.violations = append(s.violations, fmt.Sprintf("%s from box %d", g.Endpoint, box.number))
	}
	if at, leaves := s.leavingAt[g.Endpoint]; leaves && !s.now.Before(at) {
		s.at(s.now.Add(messageDelay), func() { s.receiveLeaving(box, g.Endpoint) })
	}
	if full := s.overloads[g.Endpoint]; full.rejects(box, s.now) {
		s.rejected++
		until := s.now.Add(full.rest)
		s.at(s.now.Add(messageDelay), func() {
			// Requests sent before the response was read violate nothing.
			s.at(s.now.Add(messageDelay+1), func() { box.restUntil[g.Endpoint] = until })
			s.receiveRest(box, lifecycle.Rest{Endpoint: g.Endpoint, Until: s.now.Add(full.rest)})
			s.endUnserved(req, NotRun{})
		})
		return
	}
	s.served++
	if req.retries > 0 {
		s.servedRetries++
		s.waited += s.now.Sub(req.firstAt)
	}
	begins := s.read(g)
	s.at(begins, func() { s.pool.Begin(req.ID, s.now) })
	s.at(begins.Add(time.Duration(req.ExpectedOutput())*s.tokenInterval), func() {
		delete(s.running, req.ID)
		s.pool.End(req.ID, Done{}, s.now)
	})
}

func (s *restSimulation) receiveRest(box *restBox, rest lifecycle.Rest) {
	box.rests.Add(rest, s.now)
	if s.reporting != reportedOnce {
		return
	}
	s.pool.SetRest(box.number, rest, s.now)
	for _, other := range s.boxes {
		if s.bindsAll && other != box {
			other.rests.Add(rest, s.now)
			s.pool.SetRest(other.number, rest, s.now)
		}
	}
}

// receiveLeaving records at one box, and at all boxes soon after, that an engine is leaving.
func (s *restSimulation) receiveLeaving(box *restBox, engine string) {
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

// updateLeaving updates the dispatcher's endpoints by what the first box received.
func (s *restSimulation) updateLeaving() {
	endpoints := s.pool.Endpoints()
	for i := range endpoints {
		endpoints[i].Leaving = s.boxes[0].leaving[endpoints[i].ID]
	}
	s.pool.SetEndpoints(endpoints, s.now)
}

// takeOver makes another box the dispatcher, which has only the state that routers report to it.
func (s *restSimulation) takeOver() {
	before := s.pool
	s.pool = &Pool{Rules: before.Rules, Rand: before.Rand, Warm: true}
	s.pool.Configure(before.service, before.tokensPerSecond)
	s.pool.SetEndpoints(before.Endpoints(), s.now)
	for _, box := range s.boxes {
		for _, rest := range box.rests.All(s.now) {
			if s.reporting == reportedOnce {
				s.pool.SetRest(box.number, rest, s.now)
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

// idleWhileWaiting returns the idle engines that would accept a waiting request.
func (s *restSimulation) idleWhileWaiting() (found []string) {
	for _, req := range s.pool.waiting {
		for _, e := range s.pool.sorted {
			if p := s.pool; p.snapshot(e, s.now).usable && p.allows(e, req, s.now) && e.fits(&req.Prompt) && len(e.pending) == 0 {
				found = append(found, e.ID)
			}
		}
	}
	return found
}

// draw chooses at random which engines are overloaded or leave, and when.
func (s *restSimulation) draw(draw *rand.Rand, engines int, overloaded, leaving float64) {
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		if draw.Float64() < overloaded {
			from := s.now.Add(time.Duration(draw.IntN(6000)) * time.Millisecond)
			s.overloads[id] = overload{from: from, until: from.Add(time.Duration(500+draw.IntN(8000)) * time.Millisecond), rest: time.Duration(100+draw.IntN(4000)) * time.Millisecond}
		}
		if draw.Float64() < leaving {
			s.leavingAt[id] = s.now.Add(time.Duration(draw.IntN(9000)) * time.Millisecond)
		}
	}
}
