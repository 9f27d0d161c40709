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

// errNoResponse reports that the dispatcher did not respond in time.
var errNoResponse = errors.New("no response from the dispatcher in time")

// errStreamEnded reports that the stream ended while a request waited for its verdict.
var errStreamEnded = errors.New("the stream to the dispatcher ended")

// errLateResponse reports that the dispatcher responded to other requests but not to this one. A
// dispatcher that is alive is not suspected for that.
var errLateResponse = errors.New("the response of the dispatcher is late")

// errAbsentEngines reports that the dispatcher grants engines that are absent.
var errAbsentEngines = errors.New("the dispatcher grants engines that are absent")

// askRemote asks another box for a verdict. An error means that this box is of no use now,
// unless the context has ended.
func (s *scheduler) askRemote(ctx context.Context, req *dispatch.Request, box string) (verdict, error) {
	r, err := s.connect(ctx, box)
	if err != nil {
		return verdict{}, err
	}
	p := &pending{remote: r, queued: make(chan struct{}, 1), decided: make(chan verdict, 1), askedAt: time.Now()}
	s.mu.Lock()
	s.pending[req.ID] = p
	sent := r.stream.Send(encodeRequest(req, "", false))
	timeout := s.responseTimes.timeout(req.LatencyTarget)
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

// shouldKeepWaiting reports whether a request whose response is overdue waits longer: the
// dispatcher has responded to other requests since, or this box itself is late and may not have
// read the response yet. Asking another box would only add load, because all running requests
// have to be reported to it. For a request that is already queued only verdicts count: a
// dispatcher that queues everything and decides nothing is of no use, and without this rule each
// of its requests waited for a second in vain.
func (s *scheduler) shouldKeepWaiting(r *remote, p *pending, due time.Time, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ownLate := now.Sub(due) > timeout/2
	return (ownLate || r.respondedSince(p)) && now.Sub(p.askedAt) < maxResponseWait
}

// respondedSince reports whether, since a request was asked, the dispatcher sent to others what
// this request still waits for: a first response, or a verdict.
func (r *remote) respondedSince(p *pending) bool {
	if p.responded {
		return r.verdictAt.After(p.askedAt)
	}
	return r.respondedAt.After(p.askedAt)
}

// recordTimeout records that no response came in time. It reports whether the dispatcher
// responded to other requests meanwhile.
func (s *scheduler) recordTimeout(r *remote, p *pending, id string) (responded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseTimes.recordTimeout(id, p.askedAt)
	return r.respondedSince(p)
}

// opening is a stream to another box that is being opened.
type opening struct {
	box string
	// done is closed when remote or err is set.
	done   chan struct{}
	remote *remote
	err    error
}

// connect returns the stream to the dispatcher. Requests that arrive while it is being opened
// wait for the same one: of two streams that are opened at once, one would be closed, and the
// other box would drop the requests that it holds for that stream.
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

// streamOpenTimeout bounds the wait for a stream to another box. With an existing session,
// opening one takes one round trip, about a millisecond.
const streamOpenTimeout = minResponseTimeout

// sessionOpenTimeout bounds the wait for a new session, which takes a few round trips between
// availability zones. After two unreachable boxes there is still time to decide locally before
// the request has waited for MaxWaitFraction of its latency target.
const sessionOpenTimeout = minResponseTimeout

// startOpening returns the open stream to a box, or the one that is being opened, which it
// starts if necessary.
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

// open opens a stream and reports to the box what is already running.
func (s *scheduler) open(o *opening) {
	defer close(o.done)
	stream, err := s.openStream(o.box)
	if err != nil && s.isPlain() && s.gateway.workContext.Err() == nil {
		// Requests for slots do not wait long enough to see the error.
		s.suspect(o.box, err)
	}
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

// openStream opens a stream to a box, and first a session if there is none.
func (s *scheduler) openStream(box string) (*peer.DispatchStream, error) {
	g := s.gateway
	if err := g.connectTo(g.workContext, box); err != nil {
		return nil, err
	}
	return g.exchange.OpenDispatch(box, s.groupName)
}

// setRemote sets the dispatcher to ask, and sends it the rests, cached parts, rates of engines,
// running requests and recent grants that it needs for its decisions. The caller holds the lock.
func (s *scheduler) setRemote(r *remote) {
	if s.remote != nil {
		s.remote.stream.Close()
	}
	s.remote, s.localSince = r, time.Time{}
	now := time.Now()
	r.usedAt = now
	for _, rest := range s.gateway.rests.active(now) {
		if s.hasEngine(rest.Endpoint) {
			r.stream.Send(encodeRest(rest, now))
		}
	}
	incarnation := s.gateway.fleet.IncarnationOf(r.box)
	sameIncarnation := incarnation != 0 && incarnation == s.syncedIncarnation
	s.syncedIncarnation = incarnation
	if !sameIncarnation || s.persistent {
		for _, cached := range s.pool.CachedParts() {
			r.stream.Send(encodeCachedParts(cached))
		}
	}
	running := make([]*dispatch.Request, 0, len(s.running))
	for _, one := range s.running {
		r.stream.Send(encodeRequest(one.req, one.endpoint, one.begun))
		running = append(running, one.req)
	}
	for _, total := range s.granted.Report(running, now) {
		r.stream.Send(encodeGrantTotal(total))
	}
	s.log.Info("another box dispatches",
		zap.String("Service", s.groupName),
		zap.String("Box", r.box),
		zap.Float64("Cores", s.coresOf(r.box)),
		zap.Int("Running", len(s.running)))
	s.gateway.work.Go(func() error {
		s.sendCalls(r)
		return nil
	})
	s.gateway.work.Go(func() error {
		s.receiveVerdicts(r)
		return nil
	})
}

// sendCalls sends what is queued for the dispatcher until the stream ends.
func (s *scheduler) sendCalls(r *remote) {
	err := r.stream.Write(s.gateway.workContext)
	if err != nil && s.gateway.workContext.Err() == nil {
		s.log.Warn("stream to the box that dispatches not written", zap.String("Box", r.box), zap.Error(err))
	}
}

// receiveVerdicts handles verdicts until the stream ends.
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
		s.remote, s.localSince = nil, time.Now()
		s.log.Info("stream to the box that dispatches ended", zap.String("Box", r.box), zap.Error(err))
	}
}

// handleVerdict handles one response. A grant for which no request waits any more is returned,
// unless the request runs meanwhile, by another decision: the dispatcher knows grants only by the
// ID of their request, and would end the one in use. The late one was returned when the request was
// withdrawn.
func (s *scheduler) handleVerdict(r *remote, message *peerpb.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.respondedAt = time.Now()
	p := s.pending[message.ID]
	if p == nil || p.remote != r {
		s.responseTimes.recordLate(message.ID, time.Now())
	} else if !p.responded {
		p.responded = true
		s.responseTimes.record(time.Since(p.askedAt))
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
	r.unansweredSince = time.Time{}
	v.decidedBy = r.box
	if !s.resolvePending(message.ID, r, v) && v.endpoint != "" && s.running[message.ID] == nil {
		r.stream.Send(encodeOutcome(message.ID, dispatch.Unused{}))
	}
}

// ServeDispatch dispatches for another box until its stream ends.
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
		s.handleCall(streamID, call, stream)
	}
}

// startServing registers a stream and returns its number. Requests that arrive on a stream get
// their verdicts on it and are dropped with it, whatever other streams the same box opens and
// closes.
func (s *scheduler) startServing(from peer.Sender, stream *peer.DispatchStream) (streamID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStream++
	s.preparePool()
	s.streams[s.lastStream] = &incomingStream{box: from.Box, zone: from.Zone, stream: stream, since: time.Now()}
	s.log.Info("dispatching for a box",
		zap.String("Service", s.groupName),
		zap.String("Box", from.Box),
		zap.Uint64("Stream", s.lastStream),
		zap.Int("Streams", len(s.streams)))
	return s.lastStream
}

// groupNamed returns the group of engines with a name as used between boxes; nil if there is
// none.
func (g *Gateway) groupNamed(name string) *scheduler {
	service := name[:max(0, strings.LastIndexByte(name, '/'))]
	p := g.pool(service)
	if p == nil {
		return nil
	}
	return p.groupNamed(name)
}

// stopServing drops a stream with its waiting and running requests.
func (s *scheduler) stopServing(from peer.Sender, streamID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, streamID)
	s.streamEndedAt[from.Box] = time.Now()
	s.pool.DropStream(streamID, time.Now())
	s.log.Info("no longer dispatching for a box",
		zap.String("Service", s.groupName),
		zap.String("Box", from.Box),
		zap.Uint64("Stream", streamID))
}

// handleCall handles one message of a box that asks this one.
func (s *scheduler) handleCall(streamID uint64, call *peerpb.Call, stream *peer.DispatchStream) {
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
			Rate:     float64(kind.Kept.Rate),
		}, now)
		return
	case *peerpb.Call_Rest:
		s.pool.SetRest(streamID, decodeRest(kind.Rest, now), now)
		return
	case *peerpb.Call_Served:
		s.recordGrantTotal(streamID, kind.Served, now)
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

// recordGrantTotal records what the requests of a router were granted by another dispatcher. If
// the router asked this box within the share window, its grants are already recorded here and
// would count twice. The caller holds the lock.
func (s *scheduler) recordGrantTotal(streamID uint64, served *peerpb.Served, now time.Time) {
	r := s.streams[streamID]
	if r == nil || now.Sub(s.streamEndedAt[r.box]) < s.pool.Rules.Window {
		return
	}
	s.pool.AddHistory(dispatch.GrantTotal{Customer: served.Customer, Route: served.Route, Tokens: float64(served.Tokens)}, now)
}

// handleRequest handles a request of another box: one that already runs at an engine, or one
// that waits for a verdict. The caller holds the lock.
func (s *scheduler) handleRequest(streamID uint64, message *peerpb.Ask, stream *peer.DispatchStream, now time.Time) {
	req := decodeRequest(message, streamID, now)
	if from := s.streams[streamID]; from != nil {
		req.Zone = from.zone
	}
	if message.Endpoint != "" {
		s.pool.Adopt(req, message.Endpoint, message.Begun, now)
		return
	}
	s.pool.Routers = 1
	s.learnPrefixCaches()
	s.pool.Submit(req, now)
	s.decide()
	if s.pool.IsWaiting(req.ID) {
		stream.Send(&peerpb.Verdict{ID: req.ID, Queued: true})
	}
}
