package gateway

import (
	"bytes"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/request"
)

// stream is an engine's series of events on its way to the caller. Only whole
// events are passed on. It ends in order only if the engine ended it; otherwise
// the caller sees a cut. Its Close settles the request.
type stream struct {
	call  *call
	to    destination
	reply *endpoint.Reply

	// buffer holds what was read: buffer[:ready] may be passed on, the rest is
	// the beginning of an event.
	buffer []byte
	ready  int
	// lastEvent is the number of the last event in buffer[:ready] or before.
	lastEvent string
	events    int
	// sentAt is when the attempt began, firstAfter the age of the request at its
	// first event, eventAt when the last one came, and pause the longest time
	// between two.
	sentAt      time.Time
	firstAfter  time.Duration
	lastEventAt time.Time
	maxPause    time.Duration
	// granted is what was predicted.
	grant verdict
	whole bool
	err   error
	// settled is set once the current attempt was settled.
	settled bool
	closed  bool
}

// mostEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	eventEnd     = []byte("\n\n")
	eventIDField = []byte("id:")
)

// prime waits until there is something to pass on. An error leaves nothing
// delivered.
func (s *stream) prime() error {
	for s.ready == 0 && s.err == nil {
		s.fill()
	}
	if s.ready == 0 && !errors.Is(s.err, io.EOF) {
		return s.err
	}
	return nil
}

// Read passes on whole events as they come.
func (s *stream) Read(p []byte) (int, error) {
	for s.ready == 0 {
		if s.err == nil {
			s.fill()
			continue
		}
		if errors.Is(s.err, io.EOF) {
			s.whole = true
			return 0, io.EOF
		}
		broken := s.err
		s.reply.Close()
		if err := s.resume(broken); err != nil {
			s.settled = true
			return 0, broken
		}
		s.buffer, s.err = s.buffer[:0], nil
		s.to.begin()
	}
	n := copy(p, s.buffer[:s.ready])
	rest := copy(s.buffer, s.buffer[n:])
	s.buffer = s.buffer[:rest]
	s.ready -= n
	return n, s.call.http.Conn().SetWriteDeadline(time.Now().Add(writeTimeout))
}

// fill reads once and looks for events that became whole.
func (s *stream) fill() {
	const least = 2048
	if len(s.buffer) > maxEventBytes {
		s.err = &endpoint.TooLargeError{Limit: maxEventBytes}
		return
	}
	if cap(s.buffer)-len(s.buffer) < least {
		grown := make([]byte, len(s.buffer), 2*cap(s.buffer)+least)
		copy(grown, s.buffer)
		s.buffer = grown
	}
	n, err := s.reply.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	before := s.events
	s.scan()
	if s.events > before {
		s.recordEventTime(time.Now())
	}
	s.err = err
	if errors.Is(err, io.EOF) {
		s.ready = len(s.buffer)
	}
}

// time notes when an event came.
func (s *stream) recordEventTime(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.firstAfter = now.Sub(s.call.arrived)
	} else {
		s.maxPause = max(s.maxPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.call.guard.extend(s.call.pauseStallTimeout())
}

// late tells that the stream was slower than its route aims for.
func (s *stream) isLate() bool {
	r := s.call.route
	return (r.Aim > 0 && s.firstAfter > r.Aim) || (r.PauseAim > 0 && s.maxPause > r.PauseAim)
}

// logSettled tells of a whole answer: of each late one, and of a sample of the
// others.
func (s *stream) logSettled() {
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
		zap.Duration("GrantedAfter", s.sentAt.Sub(c.arrived)),
		zap.Duration("Wait", s.grant.wait),
		zap.Duration("Read", s.grant.readTime),
		zap.Int("Missing", s.grant.missingTokens),
		zap.Duration("Pause", s.maxPause),
		zap.Int("Events", s.events),
		zap.Duration("Age", time.Since(c.arrived)))
}

// scan moves ready past the events that are whole.
func (s *stream) scan() {
	for {
		length := bytes.Index(s.buffer[s.ready:], eventEnd)
		if length < 0 {
			return
		}
		length += len(eventEnd)
		s.recordEvent(s.buffer[s.ready : s.ready+length])
		s.ready += length
	}
}

// note keeps an event's number.
func (s *stream) recordEvent(event []byte) {
	s.events++
	for line := range bytes.Lines(event) {
		if number, found := bytes.CutPrefix(line, eventIDField); found {
			s.lastEvent = string(bytes.TrimSpace(number))
			return
		}
	}
}

// noteRollout counts a stream that ended: its pace is the mean time between two events.
func (s *stream) recordRollout(how outcome) {
	c := s.call
	switch {
	case how.isFailure():
		c.gateway.rollouts.recordAnswer(&s.to.Endpoint, c.route.Name, true, 0)
	case s.whole && s.events > 0:
		c.gateway.rollouts.recordAnswer(&s.to.Endpoint, c.route.Name, false, s.lastEventAt.Sub(s.sentAt)/time.Duration(s.events))
	}
}

// Close settles the request, whole or cut.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	c := s.call
	defer c.finish()
	s.reply.Close()
	gone := errors.Is(contextCause(c), errCallerGone)
	if !s.settled {
		how := outcomeUnknown
		if !s.whole && c.ctx.Err() == nil && s.err != nil {
			how = c.classifyBroken(s.to, s.err)
		}
		s.to.finish(how)
		s.recordRollout(how)
	}
	if s.whole {
		c.clearFingerprint(s.reply)
		_ = c.life.Advance(request.Settled)
		c.gateway.Metrics.Answered(c.customer, c.route.Name, time.Since(c.arrived))
		s.logSettled()
		return nil
	}
	c.gateway.Metrics.Cut(c.service.Name)
	c.log().Info("stream cut",
		zap.String("Request", c.ID),
		zap.Stringer("Fingerprint", c.fingerprint),
		zap.String("Customer", c.customer),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", s.to.ID),
		zap.Int("Events", s.events),
		zap.Bool("CallerGone", gone),
		zap.Duration("Age", time.Since(c.arrived)),
		zap.NamedError("Cause", contextCause(c)),
		zap.Error(s.err))
	return nil
}
