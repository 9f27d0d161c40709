package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// Engines that had turned a box away and asked it for rest got more from it within 100 ms, and
// one that had said in an answer that it leaves got requests as before: what they said in
// answers was not read. Once it is, the box that grants does not know it, or is lost with it.

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
	box.rests.Ask(rest, s.now)
	if s.way != told {
		return
	}
	s.pool.Rest(box.number, rest, s.now)
	for _, other := range s.boxes {
		if s.bindsAll && other != box {
			other.rests.Ask(rest, s.now)
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

// TestWords holds over drawn fleets, whichever way and whoever dispatches: nothing reaches an
// engine against its word; no engine is idle that takes work which waits; nothing waits that
// none takes; and callers come back when the first engine does, or later.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		way := restWay(rapid.IntRange(int(checked), int(told)).Draw(t, "way"))
		s := newWordSimulation(engines, rapid.IntRange(1, 8).Draw(t, "boxes"), rapid.Uint64().Draw(t, "seed"), way)
		s.draw(s.rand, engines, rapid.Float64Range(0, 1).Draw(t, "full"), rapid.Float64Range(0, 0.5).Draw(t, "leaving"))
		s.callers(float64(engines)*rapid.Float64Range(0.2, 20).Draw(t, "load"), 12*time.Second)
		for range rapid.IntRange(0, 3).Draw(t, "losses") {
			s.at(s.now.Add(time.Duration(rapid.IntRange(1, 11000).Draw(t, "at"))*time.Millisecond), s.lose)
		}
		for tick := s.now.Add(time.Millisecond); tick.Before(s.now.Add(13 * time.Second)); tick = tick.Add(52 * time.Millisecond) {
			s.at(tick, func() {
				s.decide()
				if idle := s.idleWhileWaiting(); len(idle) > 0 {
					t.Fatalf("%v are idle while what they take waits", idle)
				}
				for _, ask := range s.pool.asks {
					if !s.pool.admits(ask, s.now) {
						t.Fatalf("a request waits that no engine takes")
					}
				}
			})
		}
		s.until(s.now.Add(time.Hour))
		if len(s.against) > 0 {
			t.Fatalf("%d requests against an engine's word: %s", len(s.against), s.against[0])
		}
		if len(s.waiting) > 0 {
			t.Fatalf("%d requests were neither granted nor refused", len(s.waiting))
		}
	})
}

// TestRestWays compares the ways on the same drawn fleets, 60 of them with QUAYLEAD_FLEETS=60;
// -v prints the figures.
func TestRestWays(t *testing.T) {
	for _, load := range []float64{3, 14} {
		for way, name := range []string{checked: "checked by the box that sends", named: "named by each ask", told: "told once"} {
			out := wordSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 3 + draw.IntN(10)
				s := newWordSimulation(engines, 8, uint64(seed), restWay(way))
				s.draw(draw, engines, 0.5, 0.1)
				s.callers(float64(engines)*load, 12*time.Second)
				for range 2 {
					s.at(s.now.Add(time.Duration(1+draw.IntN(11000))*time.Millisecond), s.lose)
				}
				s.until(s.now.Add(time.Hour))
				out.asked += s.asked
				out.served += s.served
				out.turnedAway += s.turnedAway
				out.handedBack += s.handedBack
				out.refused += s.refused
				out.refusedInVain += s.refusedInVain
				out.asksBytes += s.asksBytes
				out.against = append(out.against, s.against...)
			}
			t.Logf("%-30s %2.0f a second and engine: %d asked, %d served, %d turned away by engines, %d handed back, %d refused (%d with room elsewhere), %d bytes in asks, %d against a word",
				name, load, out.asked, out.served, out.turnedAway, out.handedBack, out.refused, out.refusedInVain, out.asksBytes, len(out.against))
			if len(out.against) > 0 {
				t.Errorf("%s: %d requests against an engine's word", name, len(out.against))
			}
		}
	}
}

// TestWhomRestsBind compares a rest that binds the box that was turned away with one that binds
// all, on the same drawn fleets, where engines turn all boxes away and where they turn away one
// only; 60 of them with QUAYLEAD_FLEETS=60; -v prints the figures.
func TestWhomRestsBind(t *testing.T) {
	for _, oneBox := range []bool{false, true} {
		for _, bindsAll := range []bool{false, true} {
			out := wordSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 3 + draw.IntN(10)
				s := newWordSimulation(engines, 8, uint64(seed), told)
				s.bindsAll = bindsAll
				s.draw(draw, engines, 0.5, 0)
				for i := range engines {
					id := fmt.Sprintf("e%d", i)
					full := s.full[id]
					if oneBox {
						full.box = s.boxes[draw.IntN(len(s.boxes))]
						s.full[id] = full
					}
				}
				s.callers(float64(engines)*20, 12*time.Second)
				s.until(s.now.Add(time.Hour))
				out.asked += s.asked
				out.served += s.served
				out.turnedAway += s.turnedAway
				out.refused += s.refused
				out.refusedInVain += s.refusedInVain
			}
			t.Logf("engines turn one box away: %t, a rest binds all: %t: %d asked, %d served, %d turned away by engines, %d refused (%d with room)",
				oneBox, bindsAll, out.asked, out.served, out.turnedAway, out.refused, out.refusedInVain)
			if oneBox && !bindsAll && out.refusedInVain > 0 {
				t.Errorf("%d requests of boxes that no engine turned away were refused with room", out.refusedInVain)
			}
		}
	}
}

// TestReturnAfterRest compares, for callers whose box rests from all engines, to come back when
// the first engine returns to that box, and to come back at once where another box may be
// served; 60 drawn fleets with QUAYLEAD_FLEETS=60; -v prints the figures.
func TestReturnAfterRest(t *testing.T) {
	for _, retries := range []int{1, 3} {
		for _, soonElsewhere := range []bool{false, true} {
			out := wordSimulation{}
			for seed := range fleetsOr(6) {
				draw := rand.New(rand.NewPCG(uint64(seed), 2))
				engines := 2 + draw.IntN(4)
				s := newWordSimulation(engines, 8, uint64(seed), told)
				s.retries, s.soonElsewhere = retries, soonElsewhere
				s.draw(draw, engines, 1, 0)
				s.callers(float64(engines)*14, 12*time.Second)
				s.until(s.now.Add(time.Hour))
				out.asked += s.asked
				out.served += s.served
				out.turnedAway += s.turnedAway
				out.givenUp += s.givenUp
				out.cameBack += s.cameBack
				out.waited += s.waited
			}
			t.Logf("%d retries, at once where another box may be served: %t: %d asked, %d served, %d given up, %d turned away by engines; who came back was sent to an engine after %s",
				retries, soonElsewhere, out.asked, out.served, out.givenUp, out.turnedAway, out.waited/time.Duration(max(1, out.cameBack)))
		}
	}
}

func TestAllowed(t *testing.T) {
	until := start.Add(3 * time.Second)
	of := func(router uint64, number int, now time.Time) *Ask {
		ask := askOf(fmt.Sprint(number), "a", now, Part{ID: uint64(number), Tokens: 1000})
		ask.Router = router
		return ask
	}
	Convey("An engine's rest binds the router that it asked, and no other", t, func() {
		p := newTestPool(2, 0)
		So(p.Rest(1, lifecycle.Rest{Endpoint: "e0", Until: until}, start), ShouldBeTrue)
		for i := range 4 {
			So(submit(p, of(1, i, start), start)[0].(Grant).Endpoint, ShouldEqual, "e1")
		}
		found := map[string]bool{}
		for i := range 4 {
			found[submit(p, of(2, 10+i, start), start)[0].(Grant).Endpoint] = true
		}
		So(found["e0"], ShouldBeTrue)
	})
	Convey("An engine that begins an older request rests on", t, func() {
		p := newTestPool(2, 0)
		first := submit(p, of(1, 1, start), start)[0].(Grant)
		p.Rest(1, lifecycle.Rest{Endpoint: first.Endpoint, Until: until}, start)
		p.Begin("1", start.Add(time.Second))
		for i := range 4 {
			So(submit(p, of(1, 10+i, start.Add(time.Second)), start.Add(time.Second))[0].(Grant).Endpoint, ShouldNotEqual, first.Endpoint)
		}
	})
	Convey("Where all rest, a request is refused at once, until the first of them returns", t, func() {
		p := newTestPool(2, 0)
		p.Rest(1, lifecycle.Rest{Endpoint: "e0", Until: until}, start)
		p.Rest(1, lifecycle.Rest{Endpoint: "e1", Until: until.Add(time.Second)}, start)
		times := map[time.Duration]bool{}
		for i := range 20 {
			turn := submit(p, of(1, i, start), start)[0].(Turn)
			So(turn.Resting, ShouldBeTrue)
			So(turn.RetryAfter, ShouldBeBetweenOrEqual, 3*time.Second, 3750*time.Millisecond)
			times[turn.RetryAfter] = true
		}
		So(len(times), ShouldBeGreaterThan, 10)
		So(submit(p, of(2, 100, start), start)[0], ShouldHaveSameTypeAs, Grant{})
	})
	Convey("One that returns while a request may wait is waited for", t, func() {
		p := newTestPool(1, 0)
		p.Rest(1, lifecycle.Rest{Endpoint: "e0", Until: start.Add(100 * time.Millisecond)}, start)
		So(submit(p, of(1, 1, start), start), ShouldBeEmpty)
		So(p.Decide(start.Add(100 * time.Millisecond))[0], ShouldHaveSameTypeAs, Grant{})
	})
	Convey("A later start ends a rest, and so does the end of its router's stream", t, func() {
		p := newTestPool(1, 0)
		p.SetEndpoints([]route.Endpoint{{ID: "e0", Service: "llm", Slots: 64, Facts: lifecycle.Facts{Born: 5}}}, start)
		p.Rest(1, lifecycle.Rest{Endpoint: "e0", Born: 5, Until: until}, start)
		So(p.admits(of(1, 1, start), start), ShouldBeFalse)
		p.SetEndpoints([]route.Endpoint{{ID: "e0", Service: "llm", Slots: 64, Facts: lifecycle.Facts{Born: 6}}}, start)
		So(p.admits(of(1, 1, start), start), ShouldBeTrue)
		p.Rest(1, lifecycle.Rest{Endpoint: "e0", Born: 6, Until: until}, start)
		p.Forget(1, start)
		So(p.admits(of(1, 1, start), start), ShouldBeTrue)
		So(p.rests, ShouldBeEmpty)
	})
	Convey("Rests of engines that the pool does not have are not kept", t, func() {
		p := newTestPool(1, 0)
		So(p.Rest(1, lifecycle.Rest{Endpoint: "e9", Until: until}, start), ShouldBeFalse)
		So(p.rests, ShouldBeEmpty)
	})
}
