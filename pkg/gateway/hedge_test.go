package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/endpoint"
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
	response, err := client.Do(ctx, &endpoint.Call{Request: out, Sending: func() error { return nil }})
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
		s := &stream{call: c, events: 4, lastEvent: "4", lastEventAt: last}
		s.goOnWith(&answer{
			to:     destination{begin: func() {}},
			stream: &stream{call: c, lastEvent: "4", err: io.EOF},
		})
		So(s.lastEventAt, ShouldEqual, last)
		So(c.progressAt, ShouldEqual, last)
		So(s.lastEvent, ShouldEqual, "4")
	})
}
