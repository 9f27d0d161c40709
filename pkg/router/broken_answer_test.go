package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// TestBrokenHeadsGiveNoAnswer guards against answers of endpoints whose head is malformed and that reach their
// callers.
func TestBrokenHeadsGiveNoAnswer(t *testing.T) {
	heads := map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n",
		"status 010":             "HTTP/1.1 010 OK\r\n",
		"status 600":             "HTTP/1.1 600 OK\r\n",
		"a switch of protocols":  "HTTP/1.1 101 Switching Protocols\r\n",
		"a control byte":         "HTTP/1.1 200 O\x01K\r\n",
		"a blank in a name":      "HTTP/1.1 200 OK\r\nX Own: 1\r\n",
		"a blank before a colon": "HTTP/1.1 200 OK\r\nX-Own : 1\r\n",
		"a folded line":          "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\tX-Other: 2\r\n",
		"a line without CR":      "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\nX-Other: 2\r\n",
		"chunks of HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"000 behind an interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
	}
	for name, head := range heads {
		handler := func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(conn net.Conn) { _, _ = io.WriteString(conn, head+"Content-Length: 6\r\n\r\nbroken") })
		}
		withRouter(t, handler, func(address string) {
			Convey("A caller gets no answer whose endpoint sends "+name, t, func() {
				const model = `{"model":"m","messages":[]}`
				for _, call := range []string{"GET /a HTTP/1.1\r\n", fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: %d\r\n", len(model))} {
					line := exchange(address, call+"Host: a\r\nAuthorization: Bearer "+testKey+"\r\n\r\n"+model)
					So(line, ShouldStartWith, "HTTP/1.1 502")
				}
			})
		})
	}
}

// TestResetDuringUploadIsNoEnd guards against a part of an answer that its caller gets as complete because its
// endpoint reset the connection while the request was still being written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := errgroup.Group{}
	endpoint.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			header := &fasthttp.RequestHeader{}
			if header.Read(bufio.NewReader(conn)) == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	})
	withRouterTo(t, listener.Addr().String(), func(address string) {
		Convey("The caller gets an error, or a body that is cut", t, func() {
			for range 10 {
				request, response := &fasthttp.Request{}, &fasthttp.Response{}
				request.SetRequestURI("http://" + address + "/a")
				request.Header.SetMethod(fasthttp.MethodPost)
				request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+testKey)
				request.SetBody(make([]byte, 7<<20))
				err := fasthttp.DoTimeout(request, response, 20*time.Second)
				So(err != nil || response.StatusCode() >= fasthttp.StatusInternalServerError, ShouldBeTrue)
			}
		})
	})
	listener.Close()
	_ = endpoint.Wait()
}
