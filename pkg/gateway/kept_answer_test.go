package gateway

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/route"
)

// TestCutAnswer guards against memory that stays reserved for an answer which its endpoint cut: the
// next attempt of the same request then finds less room, or none.
func TestCutAnswer(t *testing.T) {
	for name, read := range map[string]func(c *call, response *endpoint.Response) error{
		"an answer": func(c *call, response *endpoint.Response) error {
			_, err := c.readAnswer(response)
			return err
		},
		"a stream before its first event": func(c *call, response *endpoint.Response) error {
			return c.newStream(destination{}, response, "").awaitEvent()
		},
	} {
		Convey("The buffer of "+name+" that was cut is released before the next attempt", t, func() {
			testCutAnswer(t, read)
		})
	}
}

func testCutAnswer(t *testing.T, read func(c *call, response *endpoint.Response) error) {
	m := newTestMemory(100 << 20)
	m.gateway.workContext = t.Context()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	listener := m.listener(callers)
	defer listener.Close()
	caller, err := net.Dial("tcp", callers.Addr().String())
	So(err, ShouldBeNil)
	defer caller.Close()
	accepted, err := listener.Accept()
	So(err, ShouldBeNil)
	defer accepted.Close()

	endpoints, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer endpoints.Close()
	serving := errgroup.Group{}
	serving.Go(func() error {
		conn, err := endpoints.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		if _, err = conn.Read(make([]byte, 4<<10)); err != nil {
			return err
		}
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\npart"))
		return err
	})
	http := &fasthttp.RequestCtx{}
	http.Init2(accepted, nil, false)
	client := &endpoint.Client{Address: endpoints.Addr().String(), ConnectTimeout: time.Second, HeaderBytes: 4 << 10}
	out := fasthttp.AcquireRequest()
	out.SetRequestURI("http://endpoint/")
	response, err := client.Do(t.Context(), &endpoint.Call{
		Request: out,
		Sending: func() error { return nil },
		Match:   func(*fasthttp.ResponseHeader) endpoint.Match { return endpoint.MatchNamed },
		Written: func() {},
	})
	So(err, ShouldBeNil)
	defer response.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	c := &call{requestFacts: requestFacts{gateway: m.gateway, http: http, route: &route.Route{}}, ctx: ctx, cancel: cancel}
	err = read(c, response)
	So(err, ShouldNotBeNil)
	So(errors.Is(err, context.Canceled), ShouldBeFalse)
	So(m.budget.Used(), ShouldEqual, 0)
	So(serving.Wait(), ShouldBeNil)
}
