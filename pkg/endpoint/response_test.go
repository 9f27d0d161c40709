package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// server handles each connection according to a script.
type server struct {
	listener net.Listener
	group    errgroup.Group
	accepted int
}

func serve(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
	s.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			s.accepted++
			script(conn, bufio.NewReader(conn))
			conn.Close()
		}
	})
	return s
}

func (s *server) close() {
	s.listener.Close()
	_ = s.group.Wait()
}

func (s *server) client() *Client {
	return &Client{Address: s.listener.Addr().String(), ConnectTimeout: time.Second}
}

// readRequest reads one request of known length from a connection.
func readRequest(reader *bufio.Reader) (body []byte, err error) {
	request := &fasthttp.Request{}
	err = request.Read(reader)
	return request.Body(), err
}

func callWith(body []byte) *Call {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetRequestURI("/path//x?y=%2F")
	request.Header.SetHost("host")
	request.SetBodyRaw(body)
	return &Call{
		Request: request,
		Sending: func() error { return nil },
		Match: func(head *fasthttp.ResponseHeader) Match {
			switch string(head.Peek("X-Id")) {
			case "":
				return MatchUnnamed
			case "mine":
				return MatchNamed
			default:
				return MatchOther
			}
		},
	}
}

// responseCases lists what a server may send and what the caller gets.
var responseCases = []struct {
	name, sent string
	// reset ends the connection by a reset in place of an orderly close.
	reset bool
	body  string
	// failed: Do returns an error; cut: the body ends too early.
	failed, cut bool
	// unframed: the header does not define where the body ends.
	unframed bool
}{
	{name: "a length", sent: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
	{name: "chunks", sent: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", body: "hello"},
	{name: "chunks with a trailer", sent: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-A: b\r\n\r\n", body: "hello"},
	{name: "no length, closed in order", sent: "HTTP/1.1 200 OK\r\n\r\nhello", body: "hello", unframed: true},
	{name: "no length, reset", sent: "HTTP/1.1 200 OK\r\n\r\nhello", reset: true, cut: true, unframed: true},
	{name: "a length, cut", sent: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", cut: true},
	{name: "chunks, cut between two", sent: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", cut: true},
	{name: "chunks, cut before the last line", sent: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", cut: true},
	{name: "a header that is cut", sent: "HTTP/1.1 200 OK\r\nContent-Le", failed: true},
	{name: "nothing", sent: "", failed: true},
	{name: "bytes that are no response", sent: "garbage garbage", failed: true},
	{name: "a response to another request before its own", body: "hello",
		sent: "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nxyzHTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nhello"},
	{name: "only a response to another request", failed: true,
		sent: "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nxyz"},
	{name: "an interim response before its own", body: "hello",
		sent: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
}

func TestReply(t *testing.T) {
	for _, c := range responseCases {
		Convey("An endpoint responds with "+c.name, t, func() {
			s := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = conn.Write([]byte(c.sent))
				if c.reset {
					// The body has to arrive before the reset discards it.
					_, _ = reader.Peek(1)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			defer s.close()
			response, err := s.client().Do(context.Background(), callWith([]byte("body")))
			if c.failed {
				var none *NoResponseError
				So(errors.As(err, &none), ShouldBeTrue)
				return
			}
			So(err, ShouldBeNil)
			defer response.Close()
			So(response.IsFramed(), ShouldEqual, !c.unframed)
			if c.reset {
				_ = response.conn.Conn.(*net.TCPConn).CloseWrite()
			}
			body, err := response.ReadAll(1000)
			if c.cut {
				So(err, ShouldNotBeNil)
				So(errors.Is(err, io.EOF), ShouldBeFalse)
				return
			}
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, c.body)
		})
	}
}

func TestConnections(t *testing.T) {
	// exchanges makes two calls and returns how many connections they took.
	exchanges := func(first string, between func(*Client)) int {
		s := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			sent := first
			for {
				if _, err := readRequest(reader); err != nil {
					return
				}
				if _, err := conn.Write([]byte(sent)); err != nil {
					return
				}
				sent = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 0\r\n\r\n"
			}
		})
		client := s.client()
		for i := range 2 {
			response, err := client.Do(context.Background(), callWith(nil))
			So(err, ShouldBeNil)
			_, err = response.ReadAll(1000)
			So(err, ShouldBeNil)
			response.Close()
			if i == 0 {
				between(client)
			}
		}
		client.Close()
		s.close()
		return s.accepted
	}
	nothing := func(*Client) {}
	Convey("A connection whose response was read completely is reused", t, func() {
		So(exchanges("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok", nothing), ShouldEqual, 1)
	})
	Convey("One whose response names no request is not", t, func() {
		So(exchanges("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", nothing), ShouldEqual, 2)
	})
	Convey("One with bytes after the response is not", t, func() {
		So(exchanges("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 0\r\n\r\n", nothing), ShouldEqual, 2)
	})
	Convey("One that the endpoint is about to close is not", t, func() {
		So(exchanges("HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", nothing), ShouldEqual, 2)
	})
	Convey("One that was idle for longer than the endpoint keeps it is not", t, func() {
		So(exchanges("HTTP/1.1 200 OK\r\nX-Id: mine\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", func(c *Client) {
			c.mu.Lock()
			defer c.mu.Unlock()
			So(c.idle[0].keepAlive, ShouldEqual, 5*time.Second)
			c.idle[0].idleSince = time.Now().Add(-4600 * time.Millisecond)
		}), ShouldEqual, 2)
	})
}

func TestEarlyAnswer(t *testing.T) {
	Convey("A response before the whole body was read is returned, and its connection is not reused", t, func() {
		// The endpoint reads the rest only after its response was read, so that the response
		// is an early one however fast the body could be written.
		release := make(chan struct{})
		s := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := reader.ReadString('\n'); err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 413 Too Large\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nno"))
			<-release
			_, _ = io.Copy(io.Discard, conn)
		})
		defer s.close()
		defer close(release)
		written := make(chan struct{})
		call := callWith(make([]byte, 32<<20))
		call.Written = func() { close(written) }
		response, err := s.client().Do(context.Background(), call)
		So(err, ShouldBeNil)
		So(response.Head.StatusCode(), ShouldEqual, 413)
		_, err = response.ReadAll(1000)
		So(err, ShouldBeNil)
		response.Close()
		select {
		case <-written:
		default:
			t.Error("the request was still read after Close")
		}
		So(response.client.idle, ShouldBeEmpty)
	})
	Convey("When a call is canceled, its request is no longer read, and only the start of it was sent", t, func() {
		const size = 32 << 20
		got := make(chan []byte, 1)
		release := make(chan struct{})
		s := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			<-release
			all, _ := io.ReadAll(reader)
			got <- all
		})
		defer s.close()
		body := bytes.Repeat([]byte("a"), size)
		ctx, cancel := context.WithCancel(context.Background())
		call := callWith(body)
		call.Sending = func() error {
			time.AfterFunc(20*time.Millisecond, cancel)
			return nil
		}
		_, err := s.client().Do(ctx, call)
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		// The caller reuses its buffers for another request.
		copy(body, bytes.Repeat([]byte("b"), size))
		close(release)
		sent := <-got
		So(strings.Contains(string(sent), "b"), ShouldBeFalse)
		So(len(sent), ShouldBeLessThan, size)
	})
}
