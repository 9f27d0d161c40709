package peer

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// OriginAnswer is what a box knows of the origin of a stream.
type OriginAnswer struct {
	// Known is set if the origin is recorded. Only is set if it is not, and all endpoints of the
	// service have run the same release for as long as the stream can have lasted.
	Known, Only bool
	// Release is set with Known or Only; endpoints need not state one.
	Release string
}

// OriginStream sends another box the origins of streams.
type OriginStream struct {
	stream  net.Conn
	timeout time.Duration
	traffic *Traffic

	mu sync.Mutex
	// waiting are the origins not yet sent; at most maxOutboxLength.
	waiting []continuation.Origin
	// ended is set once Write takes no more.
	ended bool
	// ready signals that origins wait. Capacity 1.
	ready chan struct{}
}

// OpenOrigins opens a stream to a box, to which there must be a session.
func (e *Exchange) OpenOrigins(box string) (stream *OriginStream, err error) {
	defer func() { err = trace.Wrap(err, "opening a stream of origins to %s", box) }()
	session := e.session(box)
	if session == nil {
		return nil, trace.NotFound("no session to the peer")
	}
	raw, err := session.Open()
	if err != nil {
		return nil, err
	}
	opening := &peerpb.Opening{Purpose: &peerpb.Opening_OriginsHello{OriginsHello: &peerpb.OriginsHello{}}}
	if err := send(raw, opening, e.Box.Exchange.Lapse.Duration, &e.Traffic.Origins); err != nil {
		raw.Close()
		return nil, err
	}
	return &OriginStream{stream: raw, timeout: e.Box.Exchange.Lapse.Duration, traffic: &e.Traffic, ready: make(chan struct{}, 1)}, nil
}

// Send queues an origin. It never blocks, and reports false if too many wait or Write has ended.
func (s *OriginStream) Send(origin continuation.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || len(s.waiting) >= maxOutboxLength {
		return false
	}
	s.waiting = append(s.waiting, origin)
	signal(s.ready)
	return true
}

// take removes and returns the queued origins. If there are none and the stream is idle, none can be
// queued any more.
func (s *OriginStream) take(isIdle bool) (origins []continuation.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	origins, s.waiting = s.waiting, nil
	s.ended = isIdle && len(origins) == 0
	return origins
}

// Close closes the stream.
func (s *OriginStream) Close() error { return s.stream.Close() }

// Write sends the queued origins, all that wait at once, until the context ends, writing fails or
// nothing was queued for the idle time.
func (s *OriginStream) Write(ctx context.Context, idle time.Duration) error {
	defer s.Close()
	for {
		isIdle := false
		timer := time.NewTimer(idle)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			isIdle = true
		case <-s.ready:
			timer.Stop()
		}
		origins := s.take(isIdle)
		switch {
		case len(origins) == 0 && isIdle:
			return nil
		case len(origins) == 0:
			continue
		}
		if err := send(s.stream, encodeOrigins(origins, time.Now()), s.timeout, &s.traffic.Origins); err != nil {
			return err
		}
	}
}

// AwaitClose waits until the receiver closes the stream, as a box of an earlier build does at once.
func (s *OriginStream) AwaitClose() {
	var none [1]byte
	_, _ = s.stream.Read(none[:])
}

// receiveOrigins passes on the origins that arrive on a stream, until its sender closes it.
func (e *Exchange) receiveOrigins(stream net.Conn, reader *bufio.Reader) error {
	if e.Origins == nil {
		return trace.BadParameter("this box keeps no origins of streams")
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	for {
		message := &peerpb.Origins{}
		if err := receive(reader, message); err != nil {
			return err
		}
		origins, err := decodeOrigins(message, time.Now())
		if err != nil {
			return err
		}
		e.Origins.AddOrigins(origins)
	}
}

// FetchOrigin asks a box, to which there must be a session, for the release that began a stream.
func (e *Exchange) FetchOrigin(box string, key continuation.Key, service string) (answer OriginAnswer, err error) {
	defer func() { err = trace.Wrap(err, "asking %s for the origin of a stream", box) }()
	request := &peerpb.OriginRequest{Key: uint64(key), Service: service}
	snapshot, err := e.fetchSnapshot(box, &peerpb.SnapshotRequest{Origin: request})
	if err != nil {
		return answer, err
	}
	if snapshot.Origin == nil {
		return answer, trace.NotImplemented("the box runs an earlier build")
	}
	return OriginAnswer{Known: snapshot.Origin.Known, Only: snapshot.Origin.Only, Release: snapshot.Origin.Release}, nil
}

func encodeOriginAnswer(answer OriginAnswer) *peerpb.OriginAnswer {
	return &peerpb.OriginAnswer{Known: answer.Known, Only: answer.Only, Release: answer.Release}
}

func encodeOrigins(origins []continuation.Origin, now time.Time) *peerpb.Origins {
	message := &peerpb.Origins{}
	for _, origin := range origins {
		number := slices.Index(message.Releases, origin.Release)
		if number < 0 {
			number = len(message.Releases)
			message.Releases = append(message.Releases, origin.Release)
		}
		message.Keys = append(message.Keys, uint64(origin.Key))
		message.Numbers = append(message.Numbers, uint32(number))
		message.Remaining = append(message.Remaining, uint32(max(0, origin.Expires.Sub(now).Milliseconds())))
	}
	return message
}

// decodeOrigins is the inverse of encodeOrigins.
func decodeOrigins(message *peerpb.Origins, now time.Time) (origins []continuation.Origin, err error) {
	if len(message.Numbers) != len(message.Keys) || len(message.Remaining) != len(message.Keys) {
		return nil, trace.BadParameter("the parallel fields of origins differ in length")
	}
	for i, key := range message.Keys {
		if int(message.Numbers[i]) >= len(message.Releases) {
			return nil, trace.BadParameter("an origin names release %d of %d", message.Numbers[i], len(message.Releases))
		}
		origins = append(origins, continuation.Origin{
			Key:     continuation.Key(key),
			Release: message.Releases[message.Numbers[i]],
			Expires: now.Add(min(time.Duration(message.Remaining[i])*time.Millisecond, continuation.MaxLifetime)),
		})
	}
	return origins, nil
}

func encodeReleases(summary continuation.Summary) *peerpb.ReleaseSummary {
	message := &peerpb.ReleaseSummary{KnownFor: summary.KnownFor.Microseconds()}
	for _, seen := range summary.Seen {
		message.Seen = append(message.Seen, &peerpb.SeenRelease{Service: seen.Service, Release: seen.Release, Ago: seen.Ago.Microseconds()})
	}
	return message
}

// decodeReleases is the inverse of encodeReleases, but for the version, which only states that
// there is a summary.
func decodeReleases(message *peerpb.ReleaseSummary) (summary continuation.Summary) {
	if message == nil {
		return summary
	}
	summary = continuation.Summary{Version: 1, KnownFor: time.Duration(message.KnownFor) * time.Microsecond}
	for _, seen := range message.Seen {
		summary.Seen = append(summary.Seen, continuation.Seen{Service: seen.Service, Release: seen.Release, Ago: time.Duration(seen.Ago) * time.Microsecond})
	}
	return summary
}
