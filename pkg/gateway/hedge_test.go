package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/route"
)

// newTestResponse returns a response whose head was received from an endpoint.
func newTestResponse(t testing.TB, ctx context.Context) *endpoint.Response {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { listener.Close() })
	serving := errgroup.Group{}
	serving.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		if _, err = conn.Read(make([]byte, 4<<10)); err != nil {
			return err
		}
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
		return err
	})
	client := &endpoint.Client{Address: listener.Addr().String(), ConnectTimeout: time.Second, HeaderBytes: 4 << 10}
	out := &fasthttp.Request{}
	out.SetRequestURI("http://endpoint/")
	response, err := client.Do(ctx, &endpoint.Call{
		Request: out,
		Sending: func() error { return nil },
		Match:   func(*fasthttp.ResponseHeader) endpoint.Match { return endpoint.MatchNamed },
	})
	So(err, ShouldBeNil)
	So(serving.Wait(), ShouldBeNil)
	return response
}

// newTestCall returns a call of a box, without a connection of a caller.
func newTestCall(t testing.TB, g *Gateway) *call {
	http := &fasthttp.RequestCtx{}
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close(); there.Close() })
	http.Init2(here, nil, false)
	return &call{requestFacts: requestFacts{gateway: g, http: http, route: &route.Route{}}, ctx: t.Context()}
}

// TestUnusedAnswerEndsItsAttempt guards against attempts that are counted as in progress for ever, and hold
// up roll-outs, after a caller left while the second endpoint answered.
func TestUnusedAnswerEndsItsAttempt(t *testing.T) {
	Convey("An answer that is not used leaves no attempt in progress", t, func() {
		g := newTestBox(t, 0)
		first, second := newTestCall(t, g), newTestCall(t, g)
		ctx := second.startGuard(destination{})
		finished := 0
		unused := &answer{
			to:       destination{finish: func(outcome) { finished++ }},
			response: newTestResponse(t, ctx),
			guard:    second.guard,
		}
		h := &hedger{call: first}
		h.current = &hedge{hedger: h, call: second, cancel: func(error) {}, answer: unused}
		h.close()
		So(finished, ShouldEqual, 1)
		So(g.attempts.attempts, ShouldBeEmpty)
		So(ctx.Err(), ShouldNotBeNil)
	})
}

// TestEmptyContinuationKeepsTimes guards against the time of the last event being lost when a stream goes on
// at an engine that has no event left: the roll-out then counted a negative time between two events.
func TestEmptyContinuationKeepsTimes(t *testing.T) {
	Convey("A continuation without events does not change when the last event arrived", t, func() {
		c := newTestCall(t, newTestBox(t, 0))
		last := time.Now()
		c.progressAt = last
		s := &stream{call: c, events: 4, eventOrder: orderAfter("4"), lastEventAt: last}
		s.goOnWith(&answer{
			to:     destination{begin: func() {}},
			stream: &stream{call: c, eventOrder: orderAfter("4"), err: io.EOF},
		})
		So(s.lastEventAt, ShouldEqual, last)
		So(c.progressAt, ShouldEqual, last)
		So(s.lastEvent, ShouldEqual, "4")
	})
}

// TestEndOfSecondEndpointIsReported guards against the dispatcher not being told under which request the
// endpoint ended that had answered beside a silent one.
func TestEndOfSecondEndpointIsReported(t *testing.T) {
	Convey("The end of an endpoint is reported whichever call made its attempt", t, func() {
		g := newTestBox(t, 64)
		s := g.pool("llm").groups[0]
		s.granted.Window, s.poolHistories = time.Second, newHistories(time.Second)
		found := g.registry.Directory().EndpointsOf("llm")[0]
		first, second := newTestCall(t, g), newTestCall(t, g)
		second.ID = "q"
		first.fingerprint = quarantine.FingerprintOf([]byte("POST"), []byte("/"), nil, []byte("body"))
		req := &dispatch.Request{ID: "q", Fingerprint: first.fingerprint}
		s.running["q"] = &grantedRequest{req: req, endpoint: found.ID}
		to, usable := second.checkGrant(s, "q", verdict{endpoint: found.ID})
		So(usable, ShouldBeTrue)

		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		s.remote = &remote{box: "box-2", stream: peer.NewDispatchStream(here, time.Second), ended: make(chan struct{})}
		to.finish(first.recordBroken(to, io.ErrUnexpectedEOF))
		writing := errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		writing.Go(func() error { return s.remote.stream.Write(ctx) })
		So(there.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		message := &peerpb.Call{}
		So(protodelim.UnmarshalFrom(bufio.NewReader(there), message), ShouldBeNil)
		cancel()
		ended, isEnd := decodeOutcome(message.GetEnd()).(dispatch.Ended)
		So(isEnd, ShouldBeTrue)
		So(ended.End.Fingerprint, ShouldEqual, first.fingerprint)
	})
}

// TestSilentEndpointIsNotedAtTheDeadline guards against silent endpoints that seem sound: while no other
// endpoint takes their requests, these end by their deadline, which says nothing about an endpoint.
func TestSilentEndpointIsNotedAtTheDeadline(t *testing.T) {
	Convey("An endpoint that is silent until the request ends has failed it", t, func() {
		g := newTestBox(t, 64)
		g.budget.settings = Settings{RetryRatio: 1, RetryExtra: 10, RetryWindow: time.Minute}
		to := destination{Endpoint: g.registry.Directory().EndpointsOf("llm")[0]}
		c := newTestCall(t, g)
		c.service.Name, c.deadline = "without-endpoints", time.Now().Add(time.Minute)
		c.route = &route.Route{Repeatable: true, MaxAttempts: 2}
		ctx, cancel := context.WithCancelCause(t.Context())
		c.ctx = ctx
		c.startGuard(to)
		So(c.lifecycle.Advance(request.Queued), ShouldBeNil)
		So(c.lifecycle.Advance(request.Sending), ShouldBeNil)
		c.hedger.arm(time.Hour, "")
		refuse := func() {
			c.hedger.begin()
			So(c.hedger.group.Wait(), ShouldBeNil)
			So(c.hedger.current, ShouldBeNil)
		}
		Convey("if no other endpoint takes it", func() {
			refuse()
			cancel(errDeadline)
			So(c.classifyFailure(to, errDeadline), ShouldEqual, outcomeFailed)
		})
		Convey("also after the request went back to it", func() {
			c.hedger.back = reservation{earned: 1}
			So(c.prepareWayBack(&to), ShouldBeTrue)
			c.startGuard(to)
			cancel(errDeadline)
			So(c.classifyFailure(to, errDeadline), ShouldEqual, outcomeFailed)
			c.attemptBegan = true
			So(c.classifyFailure(to, errDeadline), ShouldEqual, outcomeUnknown)
		})
		Convey("but not if it has sent an event since", func() {
			refuse()
			So(c.hedger.heard("1", time.Hour), ShouldBeTrue)
			cancel(errDeadline)
			So(c.classifyFailure(to, errDeadline), ShouldEqual, outcomeUnknown)
		})
		Convey("and not if the request ends sooner", func() {
			cancel(errDeadline)
			So(c.classifyFailure(to, errDeadline), ShouldEqual, outcomeUnknown)
		})
		c.hedger.close()
	})
}

// TestWayBackKeepsBoundOfDeadlyRequests guards against more engines than may still end under a request that run it
// at once, after the request went back to one that it had been left for.
func TestWayBackKeepsBoundOfDeadlyRequests(t *testing.T) {
	Convey("A request under which an engine ended goes back only while fewer run it than may still end", t, func() {
		g := newTestBox(t, 64)
		g.budget.settings = Settings{RetryRatio: 1, RetryExtra: 10, RetryWindow: time.Minute}
		s := g.pool("llm").groups[0]
		s.granted.Window, s.poolHistories = time.Second, newHistories(time.Second)
		s.pool.Rules.Window = time.Second
		engines := g.registry.Directory().EndpointsOf("llm")
		c := newTestCall(t, g)
		c.service.Name, c.deadline = "llm", time.Now().Add(time.Minute)
		c.route = &route.Route{Repeatable: true, Resumable: true, MaxAttempts: 2}
		c.fingerprint = quarantine.FingerprintOf([]byte("POST"), []byte("/"), nil, []byte("body"))
		c.left = &destination{Endpoint: engines[0], group: s}
		g.ledger.RecordEnd(c.fingerprint, quarantine.InstanceOf("llm", engines[1].ID, engines[1].Born), time.Now())
		for _, other := range engines[2:4] {
			repeat := newTestCall(t, g)
			repeat.fingerprint = c.fingerprint
			repeat.startGuard(destination{Endpoint: other})
			c.guard = repeat.guard
		}
		Convey("which are two here", func() {
			c.guard = nil
			_, ok := c.acquireLeft()
			So(ok, ShouldBeFalse)
		})
		Convey("and its own attempt that broke is none of them", func() {
			to, ok := c.acquireLeft()
			So(ok, ShouldBeTrue)
			So(to.ID, ShouldEqual, engines[0].ID)
		})
	})
}
