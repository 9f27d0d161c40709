package endpoint

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
)

// respondOnce responds to the first request of a connection and ignores the
// rest.
func respondOnce(conn net.Conn) error {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := readRequest(reader); err != nil {
		return nil
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, reader)
	return err
}

func TestSilentConnections(t *testing.T) {
	Convey("After one reused connection was silent, no other idle connection is used", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		group := errgroup.Group{}
		group.Go(func() error {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return nil
				}
				group.Go(func() error { return respondOnce(conn) })
			}
		})
		defer func() { _ = group.Wait() }()
		defer listener.Close()
		client := &Client{Address: listener.Addr().String(), ConnectTimeout: time.Second}
		defer client.Close()
		call := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			request := &fasthttp.Request{}
			request.SetRequestURI("http://e/p")
			request.Header.SetMethod(fasthttp.MethodPost)
			request.SetBodyString("x")
			response, err := client.Do(ctx, &Call{Request: request, Sending: func() error { return nil }, Match: func(*fasthttp.ResponseHeader) Match { return MatchNamed }})
			if err != nil {
				return err
			}
			defer response.Close()
			_, err = response.ReadAll(100)
			return err
		}
		var idle []*conn
		for range 3 {
			So(call(20*time.Second), ShouldBeNil)
			idle = append(idle, client.popIdle())
		}
		for _, one := range idle {
			client.release(one)
		}
		So(call(100*time.Millisecond), ShouldNotBeNil)
		So(client.idle, ShouldBeEmpty)
		So(call(20*time.Second), ShouldBeNil)
	})
}
