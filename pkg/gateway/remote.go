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

// errLateWord reports that it spoke, but not to this request: it lives.
var errLateWord = errors.New("the word from the box that dispatches is late")

// errAbsentEngines reports that it grants engines that are not there.
var errAbsentEngines = errors.New("the box that dispatches grants engines that are not there")

// askRemote has another box decide. An error means that it is of no use now.
func (s *scheduler) askRemote(ctx context.Context, ask *dispatch.Ask, box string) (verdict, error) {
	r, err := s.connect(box)
	if err != nil {
		return verdict{}, err
	}
	p := &pending{from: r, queued: make(chan struct{}, 1), decided: make(chan verdict, 1), asked: time.Now()}
	s.mu.Lock()
	s.pending[ask.ID] = p
	sent := r.stream.Send(askMessage(ask, "", false))
	patience := s.words.patience()
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
// it has to be told all that runs.
func (s *scheduler) waitsOn(r *remote, p *pending, due time.Time, patience time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ownLate := now.Sub(due) > patience/2
	return (ownLate || r.heardAt.After(p.asked)) && now.Sub(p.asked) < mostSilence
}

// gaveUp notes that no word came in time, and tells whether the box spoke to other
// requests meanwhile.
func (s *scheduler) gaveUp(r *remote, p *pending, id string) (spoke bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words.gaveUp(id, p.asked)
	return r.heardAt.After(p.asked)
}

// connect returns the stream to the box that dispatches, and tells a new one
// what runs already.
func (s *scheduler) connect(box string) (r *remote, err error) {
	s.mu.Lock()
	r = s.remote
	s.mu.Unlock()
	if r != nil && r.box == box {
		return r, nil
	}
	stream, err := s.gateway.exchange.OpenDispatch(box, s.service)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remote != nil && s.remote.box == box {
		stream.Close()
		return s.remote, nil
	}
	if s.remote != nil {
		s.remote.stream.Close()
	}
	r = &remote{box: box, stream: stream}
	s.remote = r
	for _, kept := range s.pool.Kept() {
		stream.Send(keptMessage(kept))
	}
	for _, one := range s.running {
		stream.Send(askMessage(one.ask, one.endpoint, one.begun))
	}
	s.log.Info("another box dispatches",
		zap.String("Service", s.service),
		zap.String("Box", box),
		zap.Int("Running", len(s.running)))
	s.gateway.work.Go(func() error { return stream.Write(s.gateway.over) })
	s.gateway.work.Go(func() error {
		s.hear(r)
		return nil
	})
	return r, nil
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remote == r {
		s.remote = nil
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
	v := verdictOf(message)
	v.by = r.box
	if !s.settle(message.ID, r, v) && v.endpoint != "" {
		r.stream.Send(endMessage(message.ID, dispatch.NotRun{}))
	}
}

// ServeDispatch decides for another box.
func (g *Gateway) ServeDispatch(from peer.Sender, service string, stream *peer.DispatchStream) (err error) {
	defer func() { err = trace.Wrap(err, "dispatching %s for %s", service, from.Box) }()
	s := g.groupNamed(service)
	if s == nil {
		return trace.NotFound("no such group of engines here")
	}
	s.mu.Lock()
	s.routers[from.Incarnation] = stream
	s.log.Info("dispatching for a box",
		zap.String("Service", service),
		zap.String("Box", from.Box),
		zap.Int("Routers", len(s.routers)))
	s.mu.Unlock()
	defer s.stopServing(from, stream)
	for {
		call := &peerpb.Call{}
		if err := stream.Receive(call); err != nil {
			return err
		}
		s.handle(from, call, stream)
	}
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

// stopServing forgets what a box had waiting and running.
func (s *scheduler) stopServing(from peer.Sender, stream *peer.DispatchStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routers[from.Incarnation] != stream {
		return
	}
	delete(s.routers, from.Incarnation)
	s.pool.Forget(from.Incarnation, time.Now())
	s.log.Info("no longer dispatching for a box", zap.String("Service", s.service), zap.String("Box", from.Box))
}

func (s *scheduler) handle(from peer.Sender, call *peerpb.Call, stream *peer.DispatchStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Ask:
		s.handleAsk(from, kind.Ask, stream, now)
		return
	case *peerpb.Call_Kept:
		s.learnt = true
		s.pool.Learn(dispatch.Kept{
			Endpoint: kind.Kept.Endpoint,
			Parts:    partsOf(kind.Kept.PartIDs, kind.Kept.PartTokens),
		}, now)
		return
	case *peerpb.Call_Begin:
		s.pool.Begin(kind.Begin, now)
	case *peerpb.Call_End:
		s.pool.End(kind.End.ID, outcomeOf(kind.End.How), now)
	case *peerpb.Call_Withdraw:
		if !s.pool.Withdraw(kind.Withdraw) {
			s.pool.End(kind.Withdraw, dispatch.NotRun{}, now)
		}
	}
	s.decide()
}

func (s *scheduler) handleAsk(from peer.Sender, message *peerpb.Ask, stream *peer.DispatchStream, now time.Time) {
	ask := askOf(message, from.Incarnation, now)
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
