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
var errNoResponse = errors.New("no word from the box that dispatches")

// errHungUp reports that its stream ended while a request waited for a verdict.
var errStreamEnded = errors.New("the box that dispatches hung up")

// errLateWord reports that it spoke, but not to this request: it lives.
var errLateResponse = errors.New("the word from the box that dispatches is late")

// errAbsentEngines reports that it grants engines that are not there.
var errAbsentEngines = errors.New("the box that dispatches grants engines that are not there")

// askRemote has another box decide. An error means that it is of no use now.
func (s *scheduler) askRemote(ctx context.Context, req *dispatch.Request, box string) (verdict, error) {
	r, err := s.connect(ctx, box)
	if err != nil {
		return verdict{}, err
	}
	p := &pending{remote: r, queued: make(chan struct{}, 1), decided: make(chan verdict, 1), askedAt: time.Now()}
	s.mu.Lock()
	s.pending[req.ID] = p
	sent := r.stream.Send(encodeAsk(req, "", false))
	timeout := s.responses.timeout(req.LatencyTarget)
	if r.respondedAt.IsZero() {
		timeout = maxResponseTimeout
	}
	s.mu.Unlock()
	if !sent {
		s.cancelPending(req.ID, p)
		return verdict{}, errNoResponse
	}
	due := time.Now().Add(timeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case v := <-p.decided:
			return s.recordGrant(req, v, r), nil
		case <-p.queued:
			hold := time.Duration(s.pool.Rules.MaxWaitFraction * float64(req.LatencyTarget))
			due = time.Now().Add(hold + verdictSlack + timeout)
			timer.Reset(time.Until(due))
		case <-r.ended:
			s.cancelPending(req.ID, p)
			return verdict{}, errStreamEnded
		case <-timer.C:
			if s.shouldKeepWaiting(r, p, due, timeout) {
				due = time.Now().Add(timeout)
				timer.Reset(timeout)
				continue
			}
			responded := s.recordTimeout(r, p, req.ID)
			s.cancelPending(req.ID, p)
			if responded {
				return verdict{}, errLateResponse
			}
			return verdict{}, errNoResponse
		case <-ctx.Done():
			s.cancelPending(req.ID, p)
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
func (s *scheduler) shouldKeepWaiting(r *remote, p *pending, due time.Time, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ownLate := now.Sub(due) > timeout/2
	return (ownLate || r.respondedSince(p)) && now.Sub(p.askedAt) < maxResponseWait
}

// spokeSince tells whether the box said to others, since a request was asked, what
// this one still waits for.
func (r *remote) respondedSince(p *pending) bool {
	if p.responded {
		return r.verdictAt.After(p.askedAt)
	}
	return r.respondedAt.After(p.askedAt)
}

// gaveUp notes that no word came in time, and tells whether the box spoke to other
// requests meanwhile.
func (s *scheduler) recordTimeout(r *remote, p *pending, id string) (responded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses.recordTimeout(id, p.askedAt)
	return r.respondedSince(p)
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
	o, open := s.startOpening(box)
	if open != nil {
		return open, nil
	}
	timer := time.NewTimer(sessionOpenTimeout + streamOpenTimeout)
	defer timer.Stop()
	select {
	case <-o.done:
		return o.remote, o.err
	case <-timer.C:
		return nil, errNoResponse
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// openPatience bounds the wait for a stream to another box. Opening one takes a
// round of messages on a session that stands, about a millisecond.
const streamOpenTimeout = minResponseTimeout

// reachPatience bounds the wait for a session where none stands: some rounds of messages
// between availability zones. Two boxes that can not be reached leave time for deciding alone
// before a request has waited for its part of the aim.
const sessionOpenTimeout = minResponseTimeout

// openingTo returns the open stream to a box, or else the one that is being opened.
func (s *scheduler) startOpening(box string) (*opening, *remote) {
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
		o.err = errNoResponse
		return
	}
	s.setRemote(&remote{box: o.box, stream: stream, ended: make(chan struct{})})
	o.remote = s.remote
}

// openStream opens a stream to a box, and a session where none stands.
func (s *scheduler) openStream(box string) (*peer.DispatchStream, error) {
	g := s.gateway
	if !g.exchange.IsConnected(box) {
		ctx, cancel := context.WithTimeout(g.workContext, sessionOpenTimeout)
		defer cancel()
		if err := g.exchange.Connect(ctx, box, g.fleet.AddressOf(box)); err != nil {
			return nil, err
		}
		g.wakeContacts()
	}
	return g.exchange.OpenDispatch(box, s.groupName)
}

// adoptRemote asks a box from now on. The lock is held.
func (s *scheduler) setRemote(r *remote) {
	if s.remote != nil {
		s.remote.stream.Close()
	}
	s.remote, s.aloneSince = r, time.Time{}
	now := time.Now()
	r.usedAt = now
	for _, rest := range s.gateway.rests.active(now) {
		if s.has(rest.Endpoint) {
			r.stream.Send(encodeRest(rest, now))
		}
	}
	start := s.gateway.fleet.IncarnationOf(r.box)
	again := start != 0 && start == s.syncedStart
	s.syncedStart = start
	if !again || s.persistent {
		for _, kept := range s.pool.CachedParts() {
			r.stream.Send(encodeKept(kept))
		}
	}
	running := make([]*dispatch.Request, 0, len(s.running))
	for _, one := range s.running {
		r.stream.Send(encodeAsk(one.ask, one.endpoint, one.begun))
		running = append(running, one.ask)
	}
	for _, served := range s.granted.Report(running, now) {
		r.stream.Send(encodeServed(served))
	}
	s.log.Info("another box dispatches",
		zap.String("Service", s.groupName),
		zap.String("Box", r.box),
		zap.Int("Running", len(s.running)))
	s.gateway.work.Go(func() error { return r.stream.Write(s.gateway.workContext) })
	s.gateway.work.Go(func() error {
		s.receiveVerdicts(r)
		return nil
	})
}

// hear takes verdicts until the stream breaks.
func (s *scheduler) receiveVerdicts(r *remote) {
	var err error
	for err == nil {
		message := &peerpb.Verdict{}
		if err = r.stream.Receive(message); err == nil {
			s.handleVerdict(r, message)
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

func (s *scheduler) handleVerdict(r *remote, message *peerpb.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.respondedAt = time.Now()
	p := s.pending[message.ID]
	if p == nil || p.remote != r {
		s.responses.recordLate(message.ID, time.Now())
	} else if !p.responded {
		p.responded = true
		s.responses.record(time.Since(p.askedAt))
	}
	if message.Queued {
		if p != nil && p.remote == r {
			select {
			case p.queued <- struct{}{}:
			default:
			}
		}
		return
	}
	r.verdictAt = r.respondedAt
	v := decodeVerdict(message)
	v.decidedBy = r.box
	if !s.resolvePending(message.ID, r, v) && v.endpoint != "" {
		r.stream.Send(encodeOutcome(message.ID, dispatch.Unused{}))
	}
}

// ServeDispatch decides for another box.
func (g *Gateway) ServeDispatch(from peer.Sender, service string, stream *peer.DispatchStream) (err error) {
	defer func() { err = trace.Wrap(err, "dispatching %s for %s", service, from.Box) }()
	s := g.groupNamed(service)
	if s == nil {
		return trace.NotFound("no such group of engines here")
	}
	streamID := s.startServing(from, stream)
	defer s.stopServing(from, streamID)
	for {
		call := &peerpb.Call{}
		if err := stream.Receive(call); err != nil {
			return err
		}
		s.handle(streamID, call, stream)
	}
}

// startServing gives a stream its number. What is asked on a stream is answered on
// it and forgotten with it, whatever other streams the same box opens and closes.
func (s *scheduler) startServing(from peer.Sender, stream *peer.DispatchStream) (streamID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStream++
	s.preparePool()
	s.streams[s.lastStream] = &incomingStream{box: from.Box, stream: stream, since: time.Now()}
	s.log.Info("dispatching for a box",
		zap.String("Service", s.groupName),
		zap.String("Box", from.Box),
		zap.Uint64("Stream", s.lastStream),
		zap.Int("Streams", len(s.streams)))
	return s.lastStream
}

// groupNamed finds a group of engines by its name on the wire.
func (g *Gateway) groupNamed(name string) *scheduler {
	service := name[:max(0, strings.LastIndexByte(name, '/'))]
	p := g.pool(service)
	if p == nil {
		return nil
	}
	return p.groupNamed(name)
}

// stopServing forgets what a box had waiting and running by a stream.
func (s *scheduler) stopServing(from peer.Sender, streamID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, streamID)
	s.leftAt[from.Box] = time.Now()
	s.pool.DropStream(streamID, time.Now())
	s.log.Info("no longer dispatching for a box",
		zap.String("Service", s.groupName),
		zap.String("Box", from.Box),
		zap.Uint64("Stream", streamID))
}

func (s *scheduler) handle(streamID uint64, call *peerpb.Call, stream *peer.DispatchStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Ask:
		s.handleRequest(streamID, kind.Ask, stream, now)
		return
	case *peerpb.Call_Kept:
		s.cachesKnown = true
		s.pool.AddCachedParts(dispatch.CachedParts{
			Endpoint: kind.Kept.Endpoint,
			Born:     kind.Kept.Born,
			Parts:    decodeParts(kind.Kept.PartIDs, kind.Kept.PartTokens),
		}, now)
		return
	case *peerpb.Call_Rest:
		s.pool.SetBackoff(streamID, decodeRest(kind.Rest, now), now)
		return
	case *peerpb.Call_Served:
		s.recordServed(streamID, kind.Served, now)
		return
	case *peerpb.Call_Begin:
		s.pool.Begin(kind.Begin, now)
	case *peerpb.Call_End:
		s.pool.End(kind.End.ID, decodeOutcome(kind.End), now)
	case *peerpb.Call_Withdraw:
		if !s.pool.Withdraw(kind.Withdraw) {
			s.pool.End(kind.Withdraw, dispatch.Unused{}, now)
		}
	}
	s.decide()
}

// recall books what a router's requests got by another box, unless it asked this one within
// the time that counts: what it got here is known, and would count twice. The lock is held.
func (s *scheduler) recordServed(streamID uint64, served *peerpb.Served, now time.Time) {
	r := s.streams[streamID]
	if r == nil || now.Sub(s.leftAt[r.box]) < s.pool.Rules.Window {
		return
	}
	s.pool.AddHistory(dispatch.GrantTotal{Customer: served.Customer, Route: served.Route, Tokens: float64(served.Tokens)}, now)
}

func (s *scheduler) handleRequest(streamID uint64, message *peerpb.Ask, stream *peer.DispatchStream, now time.Time) {
	req := decodeAsk(message, streamID, now)
	if message.Endpoint != "" {
		s.pool.Adopt(req, message.Endpoint, message.Begun, now)
		return
	}
	s.pool.Routers = 1
	s.learnPromptCaches()
	s.pool.Submit(req, now)
	s.decide()
	if s.pool.IsWaiting(req.ID) {
		stream.Send(&peerpb.Verdict{ID: req.ID, Queued: true})
	}
}
