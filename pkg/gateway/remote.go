package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// errNoWord reports that the box that dispatches did not answer in time.
var errNoWord = errors.New("no word from the box that dispatches")

// errHungUp reports that its stream ended while a request waited for a verdict.
var errHungUp = errors.New("the box that dispatches hung up")

// errLateWord reports that it spoke, but not to this request: it lives.
var errLateWord = errors.New("the word from the box that dispatches is late")

// errAbsentEngines reports that it grants engines that are not there.
var errAbsentEngines = errors.New("the box that dispatches grants engines that are not there")

// askRemote has another box decide. An error means that it is of no use now.
func (s *scheduler) askRemote(ctx context.Context, ask *dispatch.Ask, box string) (verdict, error) {
	r, err := s.connect(ctx, box)
	if err != nil {
		return verdict{}, err
	}
	p := &pending{from: r, queued: make(chan struct{}, 1), decided: make(chan verdict, 1), asked: time.Now()}
	s.mu.Lock()
	s.pending[ask.ID] = p
	sent := r.stream.Send(askMessage(ask, "", false))
	patience := s.words.patience(ask.Aim)
	if r.heardAt.IsZero() {
		patience = mostPatience
	}
	s.mu.Unlock()
	if !sent {
		s.forgetPending(ask.ID, p)
		return verdict{}, errNoWord
	}
	due := time.Now().Add(patience)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case v := <-p.decided:
			return s.accept(ask, v, r), nil
		case <-p.queued:
			hold := time.Duration(s.pool.Rules.Hold * float64(ask.Aim))
			due = time.Now().Add(hold + verdictSlack + patience)
			timer.Reset(time.Until(due))
		case <-r.ended:
			s.forgetPending(ask.ID, p)
			return verdict{}, errHungUp
		case <-timer.C:
			if s.waitsOn(r, p, due, patience) {
				due = time.Now().Add(patience)
				timer.Reset(patience)
				continue
			}
			spoke := s.gaveUp(r, p, ask.ID)
			s.forgetPending(ask.ID, p)
			if spoke {
				return verdict{}, errLateWord
			}
			return verdict{}, errNoWord
		case <-ctx.Done():
			s.forgetPending(ask.ID, p)
			return verdict{}, context.Cause(ctx)
		}
	}
}

// waitsOn tells whether a request whose word was due waits for it longer: the
// box that dispatches has spoken to others since, or this box is itself late and
// may not have read the word yet. Asking another box would only add to that, as
// it has to be told all that runs. Where the request is in line already, only
// verdicts count: a box that queues all and decides nothing is of no use, and
// without this each request there waited a second in vain.
func (s *scheduler) waitsOn(r *remote, p *pending, due time.Time, patience time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ownLate := now.Sub(due) > patience/2
	return (ownLate || r.spokeSince(p)) && now.Sub(p.asked) < mostSilence
}

// spokeSince tells whether the box said to others, since a request was asked, what
// this one still waits for.
func (r *remote) spokeSince(p *pending) bool {
	if p.heard {
		return r.decidedAt.After(p.asked)
	}
	return r.heardAt.After(p.asked)
}

// gaveUp notes that no word came in time, and tells whether the box spoke to other
// requests meanwhile.
func (s *scheduler) gaveUp(r *remote, p *pending, id string) (spoke bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words.gaveUp(id, p.asked)
	return r.spokeSince(p)
}

// opening is a stream to a box that is being opened.
type opening struct {
	box string
	// done is closed when remote or err is set.
	done   chan struct{}
	remote *remote
	err    error
}

// connect returns the stream to the box that dispatches. Requests that come while
// it is being opened wait for the same one: of two streams that race, the one that
// loses would be closed, and with it end what the other box holds for this one.
func (s *scheduler) connect(ctx context.Context, box string) (*remote, error) {
	o, open := s.openingTo(box)
	if open != nil {
		return open, nil
	}
	timer := time.NewTimer(reachPatience + openPatience)
	defer timer.Stop()
	select {
	case <-o.done:
		return o.remote, o.err
	case <-timer.C:
		return nil, errNoWord
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// openPatience bounds the wait for a stream to another box. Opening one takes a
// round of messages on a session that stands, about a millisecond.
const openPatience = leastPatience

// reachPatience bounds the wait for a session where none stands: some rounds of messages
// between availability zones. Two boxes that can not be reached leave time for deciding alone
// before a request has waited for its part of the aim.
const reachPatience = leastPatience

// openingTo returns the open stream to a box, or else the one that is being opened.
func (s *scheduler) openingTo(box string) (*opening, *remote) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remote != nil && s.remote.box == box {
		return nil, s.remote
	}
	if s.opening != nil && s.opening.box == box {
		return s.opening, nil
	}
	o := &opening{box: box, done: make(chan struct{})}
	s.opening = o
	s.gateway.work.Go(func() error {
		s.open(o)
		return nil
	})
	return o, nil
}

// open opens a stream, and tells the box what runs already.
func (s *scheduler) open(o *opening) {
	defer close(o.done)
	stream, err := s.openStream(o.box)
	s.mu.Lock()
	defer s.mu.Unlock()
	superseded := s.opening != o
	if !superseded {
		s.opening = nil
	}
	if err != nil {
		o.err = err
		return
	}
	if superseded {
		stream.Close()
		o.err = errNoWord
		return
	}
	s.adoptRemote(&remote{box: o.box, stream: stream, ended: make(chan struct{})})
	o.remote = s.remote
}

// openStream opens a stream to a box, and a session where none stands.
func (s *scheduler) openStream(box string) (*peer.DispatchStream, error) {
	g := s.gateway
	if !g.exchange.IsConnected(box) {
		ctx, cancel := context.WithTimeout(g.over, reachPatience)
		defer cancel()
		if err := g.exchange.Connect(ctx, box, g.fleet.AddressOf(box)); err != nil {
			return nil, err
		}
		g.chooseContacts()
	}
	return g.exchange.OpenDispatch(box, s.service)
}

// adoptRemote asks a box from now on. The lock is held.
func (s *scheduler) adoptRemote(r *remote) {
	if s.remote != nil {
		s.remote.stream.Close()
	}
	s.remote, s.aloneSince = r, time.Time{}
	now := time.Now()
	r.usedAt = now
	for _, rest := range s.gateway.rests.all(now) {
		if s.has(rest.Endpoint) {
			r.stream.Send(restMessage(rest, now))
		}
	}
	start := s.gateway.fleet.IncarnationOf(r.box)
	again := start != 0 && start == s.told
	s.told = start
	if !again || s.standing {
		for _, kept := range s.pool.Kept() {
			r.stream.Send(keptMessage(kept))
		}
	}
	running := make([]*dispatch.Ask, 0, len(s.running))
	for _, one := range s.running {
		r.stream.Send(askMessage(one.ask, one.endpoint, one.begun))
		running = append(running, one.ask)
	}
	for _, served := range s.history.Told(running, now) {
		r.stream.Send(servedMessage(served))
	}
	s.log.Info("another box dispatches",
		zap.String("Service", s.service),
		zap.String("Box", r.box),
		zap.Int("Running", len(s.running)))
	s.gateway.work.Go(func() error { return r.stream.Write(s.gateway.over) })
	s.gateway.work.Go(func() error {
		s.hear(r)
		return nil
	})
}

// hear takes verdicts until the stream breaks.
func (s *scheduler) hear(r *remote) {
	var err error
	for err == nil {
		message := &peerpb.Verdict{}
		if err = r.stream.Receive(message); err == nil {
			s.heard(r, message)
		}
	}
	r.stream.Close()
	close(r.ended)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remote == r {
		s.remote, s.aloneSince = nil, time.Now()
		s.log.Info("stream to the box that dispatches ended", zap.String("Box", r.box), zap.Error(err))
	}
}

func (s *scheduler) heard(r *remote, message *peerpb.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.heardAt = time.Now()
	p := s.pending[message.ID]
	if p == nil || p.from != r {
		s.words.late(message.ID, time.Now())
	} else if !p.heard {
		p.heard = true
		s.words.came(time.Since(p.asked))
	}
	if message.Queued {
		if p != nil && p.from == r {
			select {
			case p.queued <- struct{}{}:
			default:
			}
		}
		return
	}
	r.decidedAt = r.heardAt
	v := verdictOf(message)
	v.by = r.box
	if !s.settle(message.ID, r, v) && v.endpoint != "" {
		r.stream.Send(endMessage(message.ID, dispatch.Unused{}))
	}
}

// ServeDispatch decides for another box.
func (g *Gateway) ServeDispatch(from peer.Sender, service string, stream *peer.DispatchStream) (err error) {
	defer func() { err = trace.Wrap(err, "dispatching %s for %s", service, from.Box) }()
	s := g.groupNamed(service)
	if s == nil {
		return trace.NotFound("no such group of engines here")
	}
	router := s.startServing(from, stream)
	defer s.stopServing(from, router)
	for {
		call := &peerpb.Call{}
		if err := stream.Receive(call); err != nil {
			return err
		}
		s.handle(router, call, stream)
	}
}

// startServing gives a stream its number. What is asked on a stream is answered on
// it and forgotten with it, whatever other streams the same box opens and closes.
func (s *scheduler) startServing(from peer.Sender, stream *peer.DispatchStream) (number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRouter++
	s.engage()
	s.routers[s.lastRouter] = &router{box: from.Box, stream: stream, since: time.Now()}
	s.log.Info("dispatching for a box",
		zap.String("Service", s.service),
		zap.String("Box", from.Box),
		zap.Uint64("Stream", s.lastRouter),
		zap.Int("Streams", len(s.routers)))
	return s.lastRouter
}

// groupNamed finds a group of engines by its name on the wire.
func (g *Gateway) groupNamed(name string) *scheduler {
	service := name[:max(0, strings.LastIndexByte(name, '/'))]
	p := g.pool(service)
	if p == nil {
		return nil
	}
	return p.named(name)
}

// stopServing forgets what a box had waiting and running by a stream.
func (s *scheduler) stopServing(from peer.Sender, router uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.routers, router)
	s.leftAt[from.Box] = time.Now()
	s.pool.Forget(router, time.Now())
	s.log.Info("no longer dispatching for a box",
		zap.String("Service", s.service),
		zap.String("Box", from.Box),
		zap.Uint64("Stream", router))
}

func (s *scheduler) handle(router uint64, call *peerpb.Call, stream *peer.DispatchStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Ask:
		s.handleAsk(router, kind.Ask, stream, now)
		return
	case *peerpb.Call_Kept:
		s.learnt = true
		s.pool.Learn(dispatch.Kept{
			Endpoint: kind.Kept.Endpoint,
			Born:     kind.Kept.Born,
			Parts:    partsOf(kind.Kept.PartIDs, kind.Kept.PartTokens),
		}, now)
		return
	case *peerpb.Call_Rest:
		s.pool.Rest(router, restFrom(kind.Rest, now), now)
		return
	case *peerpb.Call_Served:
		s.recall(router, kind.Served, now)
		return
	case *peerpb.Call_Begin:
		s.pool.Begin(kind.Begin, now)
	case *peerpb.Call_End:
		s.pool.End(kind.End.ID, outcomeOf(kind.End), now)
	case *peerpb.Call_Withdraw:
		if !s.pool.Withdraw(kind.Withdraw) {
			s.pool.End(kind.Withdraw, dispatch.Unused{}, now)
		}
	}
	s.decide()
}

// recall books what a router's requests got by another box, unless it asked this one within
// the time that counts: what it got here is known, and would count twice. The lock is held.
func (s *scheduler) recall(number uint64, served *peerpb.Served, now time.Time) {
	r := s.routers[number]
	if r == nil || now.Sub(s.leftAt[r.box]) < s.pool.Rules.Window {
		return
	}
	s.pool.Recall(dispatch.Service{Customer: served.Customer, Route: served.Route, Tokens: float64(served.Tokens)}, now)
}

func (s *scheduler) handleAsk(router uint64, message *peerpb.Ask, stream *peer.DispatchStream, now time.Time) {
	ask := askOf(message, router, now)
	if message.Endpoint != "" {
		s.pool.Adopt(ask, message.Endpoint, message.Begun, now)
		return
	}
	s.pool.Routers = 1
	s.learnMemories()
	s.pool.Submit(ask, now)
	s.decide()
	if s.pool.Waits(ask.ID) {
		stream.Send(&peerpb.Verdict{ID: ask.ID, Queued: true})
	}
}
