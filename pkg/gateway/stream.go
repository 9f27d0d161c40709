package gateway

import (
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/request"
)

// stream forwards the events of an engine to the caller. Only complete events are forwarded. It
// ends normally only if the engine ended it; otherwise the connection to the caller is closed in
// the middle of the response. A stream that the engine sends without framing has none for its
// caller either: where it ends in order, nobody but the engine knows whether it is complete. Its
// Close settles the request.
type stream struct {
	call     *call
	to       destination
	response *endpoint.Response
	// isChunked is set if the caller gets the stream in chunks, the last of which says that it is complete.
	isChunked bool

	// buffer holds what was read: buffer[:ready] can be forwarded. buffer[ready:scanned] are comments and
	// the like, which wait for the next event, since they may come without end from an endpoint that
	// fails. The rest is incomplete.
	buffer  []byte
	ready   int
	scanned int
	// eventOrder is that of the events up to buffer[:ready].
	eventOrder
	events int
	// eventsBefore is the number of events before the current response.
	eventsBefore int
	// grantedAt is when the first engine was granted, firstAfter the age of the request at its
	// first event, lastEventAt when the last event arrived, and maxGap the longest time between
	// two events.
	grantedAt   time.Time
	firstAfter  time.Duration
	lastEventAt time.Time
	maxGap      time.Duration
	// grant holds the predictions of the dispatcher for the first engine.
	grant    verdict
	complete bool
	err      error
	// settled is set once the current attempt is settled.
	settled bool
	closed  bool
}

// newStream returns the stream of an engine's response, which goes on after an event of an earlier one.
func (c *call) newStream(to destination, response *endpoint.Response, lastEvent string) *stream {
	return &stream{
		call:       c,
		to:         to,
		response:   response,
		eventOrder: c.firstOrder(lastEvent),
		grantedAt:  to.grantedAt,
		grant:      to.granted,
	}
}

// errUnproven ends a stream that its caller gets in chunks and that went on at an engine whose response has
// no framing.
var errUnproven = errors.New("the response that continued the stream had no framing, which would show its end")

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// awaitEvent waits until there is something to forward. If it fails, nothing has been delivered, and the
// response is closed.
func (s *stream) awaitEvent() error {
	for s.ready == 0 && s.err == nil {
		s.fill()
	}
	if errors.Is(s.err, errDisordered) && s.events == 0 && s.call.resumesStream() && !s.call.isContinuation() {
		s.err = errBegunAnew
	}
	if s.ready == 0 && !errors.Is(s.err, io.EOF) {
		s.call.recordUnframedEnd(&s.to, s.response, s.err)
		s.call.release(s.buffer)
		s.response.Close()
		return s.err
	}
	return nil
}

// Read returns complete events as they arrive.
func (s *stream) Read(p []byte) (int, error) {
	for s.ready == 0 {
		if s.err == nil {
			s.fill()
			continue
		}
		if errors.Is(s.err, io.EOF) {
			s.call.recordUnframedEnd(&s.to, s.response, nil)
			if s.isChunked && !s.response.IsFramed() {
				s.err = errUnproven
				return 0, s.err
			}
			s.complete = true
			return 0, io.EOF
		}
		broken := s.err
		s.call.recordUnframedEnd(&s.to, s.response, broken)
		s.response.Close()
		if err := s.resume(broken); err != nil {
			s.settled = true
			if errors.Is(broken, errUnprovenEnd) && !s.isChunked && s.call.ctx.Err() == nil {
				s.complete = true
				return 0, io.EOF
			}
			return 0, broken
		}
	}
	n := copy(p, s.buffer[:s.ready])
	rest := copy(s.buffer, s.buffer[n:])
	s.buffer = s.buffer[:rest]
	s.ready -= n
	s.scanned -= n
	return n, s.call.http.Conn().SetWriteDeadline(time.Now().Add(writeTimeout))
}

// fill reads once and scans for events that are complete by then.
func (s *stream) fill() {
	const minFree = 2048
	if len(s.buffer) > maxEventBytes {
		s.err = &endpoint.TooLargeError{Limit: maxEventBytes}
		return
	}
	if cap(s.buffer)-len(s.buffer) < minFree {
		if s.buffer, s.err = s.call.grow(s.buffer, 2*cap(s.buffer)+minFree); s.err != nil {
			return
		}
	}
	s.call.hedger.expect()
	n, err := s.response.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	before, orderBefore := s.events, s.eventOrder
	unusable := s.scan()
	if s.events > before && !s.call.hedger.heard(s.lastEvent, s.call.gapStallTimeout()) {
		// Another engine goes on after the event that was last forwarded.
		s.buffer, s.ready, s.scanned = s.buffer[:0], 0, 0
		s.events, s.eventOrder = before, orderBefore
		s.err = errStalled
		return
	}
	if s.events > before {
		s.recordEventTime(time.Now())
	}
	switch {
	case unusable != nil:
		s.err = unusable
	case errors.Is(err, io.EOF):
		s.err = s.checkEnd()
	default:
		s.err = err
	}
	if errors.Is(s.err, io.EOF) && !s.call.hedger.finish() {
		s.err = errStalled
	}
}

// checkEnd returns io.EOF if the stream is complete where its response ended. Without framing the
// response of an engine that crashed ends like any other; its events may show that it is cut, or else
// what becomes of the engine.
func (s *stream) checkEnd() error {
	insideEvent := endpoint.IsInsideEvent(s.buffer[s.scanned:])
	if insideEvent || (!s.response.IsFramed() && s.events == s.eventsBefore) {
		return s.response.CutError()
	}
	if err := s.call.checkUnframedEnd(&s.to, s.response, s.call.route.Resumable && s.lastEvent != ""); err != nil {
		return err
	}
	s.ready, s.scanned = len(s.buffer), len(s.buffer)
	return io.EOF
}

// recordGap records when an event arrived, for the times of the stream.
func (s *stream) recordGap(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.firstAfter = now.Sub(s.call.arrived)
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.call.progressAt = now
}

// recordEventTime records when an event of the current engine arrived.
func (s *stream) recordEventTime(now time.Time) {
	s.recordGap(now)
	if !s.call.attemptBegan {
		s.call.attemptBegan = true
		s.call.clearParts(&s.to)
	}
}

// isLate reports whether the stream missed the latency target or the gap target of its route.
func (s *stream) isLate() bool {
	r := s.call.route
	return (r.LatencyTarget > 0 && s.firstAfter > r.LatencyTarget) || (r.GapTarget > 0 && s.maxGap > r.GapTarget)
}

// logCompleted logs a complete response: every late one, and a sample of the others.
func (s *stream) logCompleted() {
	c := s.call
	late := s.isLate()
	if !late && !isSampled(c.ID) {
		return
	}
	c.log().Info("stream answered",
		zap.String("Request", c.ID),
		zap.String("Customer", c.customer),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", s.to.ID),
		zap.Bool("Late", late),
		zap.Duration("FirstAfter", s.firstAfter),
		zap.Duration("GrantedAfter", s.grantedAt.Sub(c.arrived)),
		zap.Duration("Wait", s.grant.wait),
		zap.Duration("Read", s.grant.readTime),
		zap.Int("Missing", s.grant.missingTokens),
		zap.String("FetchFrom", s.grant.fetchFrom),
		zap.Duration("Pause", s.maxGap),
		zap.Int("Events", s.events),
		zap.String("Framing", string(s.response.Framing())),
		zap.Duration("Age", time.Since(c.arrived)))
}

// logContinued logs that the stream goes on at another engine.
func (s *stream) logContinued(brokenAt *destination, after string) {
	s.call.log().Info("stream continued",
		zap.String("Request", s.call.ID),
		zap.String("Endpoint", s.to.ID),
		zap.String("Release", s.to.Release),
		zap.String("From", brokenAt.ID),
		zap.String("FromRelease", brokenAt.Release),
		zap.String("After", after))
}

// logNotContinued logs why a broken stream does not go on at another engine.
func (s *stream) logNotContinued(refusal *request.Refusal) {
	c := s.call
	c.log().Info("stream not continued",
		zap.String("Request", c.ID),
		zap.String("Endpoint", s.to.ID),
		zap.String("Code", string(refusal.Code)),
		zap.String("Reason", refusal.Message),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.Bool("Stopping", c.gateway.stopping.Load()))
}

var (
	// errNoEvent reports bytes of a stream that are no event.
	errNoEvent = &unusableError{reason: "the endpoint sent bytes that are no event"}
	// errBegunAnew reports an engine that begins a stream anew which the caller takes up. The caller may name any
	// event, so that this says nothing about the engine.
	errBegunAnew = &unusableError{reason: "the endpoint began the stream anew"}
	// errDisordered reports an event that the caller has got, or that belongs before one that it has got.
	errDisordered = &unusableError{reason: "the endpoint sent an event out of order"}
)

// scan advances scanned past the complete blocks, and ready past the events, up to one that can not be
// forwarded.
func (s *stream) scan() error {
	for {
		length := endpoint.EventLength(s.buffer[s.scanned:])
		if length < 0 {
			return nil
		}
		block := s.buffer[s.scanned : s.scanned+length]
		switch endpoint.KindOf(block) {
		case endpoint.BlockGarbage:
			return errNoEvent
		case endpoint.BlockEvent:
			if !s.recordEvent(block) {
				return errDisordered
			}
			s.ready = s.scanned + length
		}
		s.scanned += length
	}
}

// recordEvent counts an event and records its ID. It reports false if the event does not follow the one
// before: an engine may also begin anew when it is to continue a stream.
func (s *stream) recordEvent(event []byte) (follows bool) {
	if !s.follows(event) {
		id, _ := endpoint.EventID(event)
		s.logDisordered(id)
		return false
	}
	s.events++
	return true
}

// logDisordered logs an event with an ID that does not follow the one before.
func (s *stream) logDisordered(id string) {
	c := s.call
	c.gateway.Metrics.EventDisordered()
	c.log().Info("event out of order",
		zap.String("Request", c.ID),
		zap.String("Endpoint", s.to.ID),
		zap.String("Release", s.to.Release),
		zap.String("ID", id),
		zap.String("After", s.lastEvent),
		zap.String("AfterNumber", s.lastNumber),
		zap.Int("Events", s.events),
		zap.Int("EventsBefore", s.eventsBefore),
		zap.Int("Attempts", c.lifecycle.Attempts()))
}

// recordRollout counts the ended stream for the roll-out of its service, with the mean time
// between two events as its speed.
func (s *stream) recordRollout(result outcome) {
	c := s.call
	switch {
	case result.isFailure():
		c.gateway.rollouts.recordResponse(&s.to.Endpoint, c.route.Name, true, 0)
	case s.complete && s.events > 0:
		c.gateway.rollouts.recordResponse(&s.to.Endpoint, c.route.Name, false, s.lastEventAt.Sub(s.grantedAt)/time.Duration(s.events))
	}
}

// Close settles the request, whether the response is complete or truncated.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	c := s.call
	defer c.finish()
	s.response.Close()
	callerGone := errors.Is(contextCause(c), errCallerGone)
	if !s.settled {
		result := outcomeUnknown
		if !s.complete && c.ctx.Err() == nil && s.err != nil && !errors.Is(s.err, errUnproven) {
			result = c.recordBroken(s.to, s.err)
		}
		s.to.finish(result)
		s.recordRollout(result)
	}
	if s.complete {
		c.clearFingerprint(s.response)
		_ = c.lifecycle.Advance(request.Settled)
		c.gateway.Metrics.Completed(c.customer, c.route.Name, time.Since(c.arrived))
		c.recordRunTime()
		s.logCompleted()
		return nil
	}
	c.gateway.Metrics.Cut(c.service.Name)
	c.log().Info("stream cut",
		zap.String("Request", c.ID),
		zap.Stringer("Fingerprint", c.fingerprint),
		zap.String("Customer", c.customer),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", s.to.ID),
		zap.String("Release", s.to.Release),
		zap.Int("Events", s.events),
		zap.String("Framing", string(s.response.Framing())),
		zap.Int("Unfinished", len(s.buffer)-s.ready),
		zap.Bool("CallerGone", callerGone),
		zap.Bool("Stopping", c.gateway.stopping.Load()),
		zap.Duration("Silence", time.Since(c.progressAt)),
		zap.Duration("Age", time.Since(c.arrived)),
		zap.NamedError("Cause", contextCause(c)),
		zap.Error(s.err))
	return nil
}
