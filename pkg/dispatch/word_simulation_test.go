package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// restWay is how the box that grants learns of a rest.
type restWay int

const (
	// checked: not at all; what a box can not use it hands back.
	checked restWay = iota
	// named: each ask excludes what rests for its box.
	named
	// told: once, and anew where another box takes over.
	told
)

// wordSimulation is a pool whose engines say in answers that they leave, or turn boxes away
// and ask for rest.
type wordSimulation struct {
	*simulation
	way   restWay
	boxes []*wordBox
	// leavingAt is when an engine begins to say that it leaves, and full when it turns all
	// away, with the rest that it asks for.
	leavingAt map[string]time.Time
	full      map[string]fullTime
	running   map[string]*wordAsk
	waiting   map[string]*wordAsk
	// bindsAll has a rest of one box bind all of them.
	bindsAll bool
	// retries is how often a caller comes back, to any box, and soonElsewhere tells it to
	// come at once where another box may be served.
	retries       int
	soonElsewhere bool
	// given up are callers that were refused for good, and waited the time until those that
	// came back were sent to an engine.
	givenUp, cameBack int
	waited            time.Duration
	// toldEarly were told to come back before any engine takes requests of their box.
	toldEarly int
	// against are arrivals that their engine had asked the box not to send.
	against []string

	asked, served, turnedAway, handedBack, refused int
	// refusedInVain were refused while an engine had room that took requests of their box.
	refusedInVain int
	asksBytes     int
}

// fullTime is when an engine turns requests away, with the rest that it asks for.
type fullTime struct {
	from, until time.Time
	rest        time.Duration
	// box is the only one that is turned away; nil means that all are.
	box *wordBox
}

// turnsAway tells whether a box's requests are turned away.
func (f fullTime) turnsAway(box *wordBox, now time.Time) bool {
	return !now.Before(f.from) && now.Before(f.until) && (f.box == nil || f.box == box)
}

// wordBox is a box with what engines said to it.
type wordBox struct {
	number uint64
	rests  lifecycle.Rests
	left   map[string]bool
	// restsUntil and toldLeaving are the same as the engines count it: since the answer
	// was read.
	restsUntil  map[string]time.Time
	toldLeaving map[string]bool
}

type wordAsk struct {
	*Ask
	box      *wordBox
	endpoint string
	tries    int
	// returned counts how often its caller came back, first at firstAt.
	returned int
	firstAt  time.Time
}

const (
	// hop is the time of a message between two boxes, or a box and an engine.
	hop = time.Millisecond
	// spread is the time in which all boxes know that an engine leaves.
	spread = 100 * time.Millisecond
	// mostTries bounds the grants that a box hands back of one request.
	mostTries = 3
)

func newWordSimulation(engines, boxes int, seed uint64, way restWay) *wordSimulation {
	s := &wordSimulation{
		simulation: newSimulation(engines, 0, 45000),
		way:        way,
		leavingAt:  map[string]time.Time{},
		full:       map[string]fullTime{},
		running:    map[string]*wordAsk{},
		waiting:    map[string]*wordAsk{},
	}
	s.rand = rand.New(rand.NewPCG(seed, 1))
	for i := range boxes {
		s.boxes = append(s.boxes, &wordBox{number: uint64(i + 1), left: map[string]bool{}, restsUntil: map[string]time.Time{}, toldLeaving: map[string]bool{}})
	}
	return s
}

// callers come to all boxes for a time.
func (s *wordSimulation) callers(perSecond float64, length time.Duration) {
	from := &source{customer: "one", route: "chat", perSecond: perSecond, aim: 600 * time.Millisecond, shared: 350, own: 1110, things: 160, output: 60}
	end := s.now.Add(length)
	for at := s.next(s.now, from); at.Before(end); at = s.next(at, from) {
		s.asked++
		ask := &wordAsk{Ask: s.askOf(from, s.asked, at), box: s.boxes[s.rand.IntN(len(s.boxes))], firstAt: at}
		s.at(at, func() { s.submit(ask) })
	}
	for tick := s.now; tick.Before(end.Add(5 * time.Second)); tick = tick.Add(4 * time.Millisecond) {
		s.at(tick, s.decide)
	}
}

func (s *wordSimulation) submit(ask *wordAsk) {
	ask.Router = ask.box.number
	if s.way == named {
		for _, rest := range ask.box.rests.All(s.now) {
			if !slices.Contains(ask.Excluded, rest.Endpoint) {
				ask.Excluded = append(ask.Excluded, rest.Endpoint)
			}
		}
		for _, id := range ask.Excluded {
			s.asksBytes += len(id) + 2
		}
	}
	s.waiting[ask.ID] = ask
	s.pool.Submit(ask.Ask, s.now)
}

func (s *wordSimulation) decide() {
	for _, d := range s.pool.Decide(s.now) {
		switch d := d.(type) {
		case Grant:
			ask := s.waiting[d.Ask.ID]
			delete(s.waiting, d.Ask.ID)
			ask.endpoint = d.Endpoint
			s.running[ask.ID] = ask
			s.at(s.now.Add(hop), func() { s.send(ask, d) })
		case Turn:
			ask := s.waiting[d.Ask.ID]
			delete(s.waiting, d.Ask.ID)
			s.refuse(ask)
			s.comeBack(ask, d)
		}
	}
}

// comeBack has a refused caller come back as told, to any box.
func (s *wordSimulation) comeBack(ask *wordAsk, d Turn) {
	after := d.RetryAfter
	if d.Resting && s.now.Add(after).Before(s.pool.firstReturn(ask.Ask, s.now)) {
		s.toldEarly++
	}
	if s.soonElsewhere && d.Resting && s.servedElsewhere(ask) {
		after = time.Duration(float64(comeBackSoonest) * (0.5 + s.rand.Float64()))
	}
	// As the users' callers do, it waits for a third of the time that it has left at most.
	const patience = 12 * time.Second
	after = min(after, (patience-s.now.Sub(ask.firstAt))/3)
	if ask.returned >= s.retries {
		s.givenUp++
		return
	}
	again := *ask.Ask
	again.ID, again.Arrived, again.Excluded = ask.ID+"r", s.now.Add(after), nil
	next := &wordAsk{Ask: &again, box: s.boxes[s.rand.IntN(len(s.boxes))], returned: ask.returned + 1, firstAt: ask.firstAt}
	s.at(again.Arrived, func() { s.submit(next) })
}

// servedElsewhere tells whether, by the rests that the box that dispatches knows, some engine
// takes requests of another box.
func (s *wordSimulation) servedElsewhere(ask *wordAsk) bool {
	for _, e := range s.pool.inOrder {
		for _, box := range s.boxes {
			other := *ask.Ask
			other.Router = box.number
			if box != ask.box && e.usable(s.now) && s.pool.allows(e, &other, s.now) {
				return true
			}
		}
	}
	return false
}

// refuse counts a refusal, and whether the request could have been served.
func (s *wordSimulation) refuse(ask *wordAsk) {
	s.refused++
	for _, e := range s.pool.inOrder {
		if e.usable(s.now) && len(e.unread) == 0 && e.fits(&ask.Prompt) && s.wouldTake(ask.box, e.ID) {
			s.refusedInVain++
			return
		}
	}
}

// wouldTake tells whether an engine takes a box's request now.
func (s *wordSimulation) wouldTake(box *wordBox, engine string) bool {
	return !s.full[engine].turnsAway(box, s.now) && !s.now.Before(box.restsUntil[engine]) && !box.toldLeaving[engine]
}

// send has a box send what it was granted, if by its own knowledge it may.
func (s *wordSimulation) send(ask *wordAsk, g Grant) {
	if s.now.Before(ask.box.rests.Until(g.Endpoint, 0)) || ask.box.left[g.Endpoint] {
		s.handedBack++
		s.again(ask, Unused{})
		return
	}
	s.at(s.now.Add(hop), func() { s.arrive(ask, g) })
}

// again ends a grant of which nothing came, and asks for another engine.
func (s *wordSimulation) again(ask *wordAsk, how Outcome) {
	delete(s.running, ask.ID)
	s.pool.End(ask.ID, how, s.now)
	if ask.tries++; ask.tries >= mostTries {
		s.refuse(ask)
		return
	}
	next := *ask.Ask
	next.Excluded = append(slices.Clone(ask.Excluded), ask.endpoint)
	ask.Ask = &next
	s.submit(ask)
}

func (s *wordSimulation) arrive(ask *wordAsk, g Grant) {
	box := ask.box
	if s.now.Before(box.restsUntil[g.Endpoint]) || box.toldLeaving[g.Endpoint] {
		s.against = append(s.against, fmt.Sprintf("%s from box %d", g.Endpoint, box.number))
	}
	if at, leaves := s.leavingAt[g.Endpoint]; leaves && !s.now.Before(at) {
		s.at(s.now.Add(hop), func() { s.hearLeaving(box, g.Endpoint) })
	}
	if full := s.full[g.Endpoint]; full.turnsAway(box, s.now) {
		s.turnedAway++
		until := s.now.Add(full.rest)
		s.at(s.now.Add(hop), func() {
			// What was sent before the word was read is no fault.
			s.at(s.now.Add(hop+1), func() { box.restsUntil[g.Endpoint] = until })
			s.hearRest(box, lifecycle.Rest{Endpoint: g.Endpoint, Until: s.now.Add(full.rest)})
			s.again(ask, NotRun{})
		})
		return
	}
	s.served++
	if ask.returned > 0 {
		s.cameBack++
		s.waited += s.now.Sub(ask.firstAt)
	}
	begins := s.read(g)
	s.at(begins, func() { s.pool.Begin(ask.ID, s.now) })
	s.at(begins.Add(time.Duration(ask.Output())*s.step), func() {
		delete(s.running, ask.ID)
		s.pool.End(ask.ID, Done{}, s.now)
	})
}

func (s *wordSimulation) hearRest(box *wordBox, rest lifecycle.Rest) {
	box.rests.Add(rest, s.now)
	if s.way != told {
		return
	}
	s.pool.Rest(box.number, rest, s.now)
	for _, other := range s.boxes {
		if s.bindsAll && other != box {
			other.rests.Add(rest, s.now)
			s.pool.Rest(other.number, rest, s.now)
		}
	}
}

// hearLeaving has a box, and soon all, know that an engine leaves.
func (s *wordSimulation) hearLeaving(box *wordBox, engine string) {
	if box.left[engine] {
		return
	}
	box.left[engine] = true
	s.at(s.now.Add(hop+1), func() { box.toldLeaving[engine] = true })
	s.at(s.now.Add(time.Duration(s.rand.Float64()*float64(spread))), func() {
		for _, other := range s.boxes {
			other.left[engine] = true
		}
		s.teachLeaving()
	})
}

// teachLeaving has the box that dispatches know it.
func (s *wordSimulation) teachLeaving() {
	endpoints := s.pool.Endpoints()
	for i := range endpoints {
		endpoints[i].Leaving = s.boxes[0].left[endpoints[i].ID]
	}
	s.pool.SetEndpoints(endpoints, s.now)
}

// lose has another box dispatch, which knows what routers tell it.
func (s *wordSimulation) lose() {
	before := s.pool
	s.pool = &Pool{Rules: before.Rules, Rand: before.Rand, Warm: true}
	s.pool.Configure(before.service, before.tokensPerSecond)
	s.pool.SetEndpoints(before.Endpoints(), s.now)
	for _, box := range s.boxes {
		for _, rest := range box.rests.All(s.now) {
			if s.way == told {
				s.pool.Rest(box.number, rest, s.now)
			}
		}
	}
	for _, ask := range s.running {
		s.pool.Adopt(ask.Ask, ask.endpoint, false, s.now)
	}
	for _, ask := range s.waiting {
		s.pool.Submit(ask.Ask, s.now)
	}
}

// idleWhileWaiting are engines that are idle and take a request that waits.
func (s *wordSimulation) idleWhileWaiting() (found []string) {
	for _, ask := range s.pool.asks {
		for _, e := range s.pool.inOrder {
			if p := s.pool; p.look(e, s.now).usable && p.allows(e, ask, s.now) && e.fits(&ask.Prompt) && len(e.unread) == 0 {
				found = append(found, e.ID)
			}
		}
	}
	return found
}

// draw draws a fleet's engines that fill up or leave.
func (s *wordSimulation) draw(draw *rand.Rand, engines int, full, leaving float64) {
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		if draw.Float64() < full {
			from := s.now.Add(time.Duration(draw.IntN(6000)) * time.Millisecond)
			s.full[id] = fullTime{from: from, until: from.Add(time.Duration(500+draw.IntN(8000)) * time.Millisecond), rest: time.Duration(100+draw.IntN(4000)) * time.Millisecond}
		}
		if draw.Float64() < leaving {
			s.leavingAt[id] = s.now.Add(time.Duration(draw.IntN(9000)) * time.Millisecond)
		}
	}
}
