package router_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/router"
	"github.com/quaylead/quaylead/pkg/settings"
)

const testKey = "a-key"

// freeAddress returns the address of a listener that is closed again.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// serveEndpoint runs a handler as an endpoint and returns its address.
func serveEndpoint(tb testing.TB, group *errgroup.Group, handler fasthttp.RequestHandler) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	group.Go(func() error { return server.Serve(listener) })
	tb.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// withRouter runs a router in front of one plain endpoint and one model endpoint.
func withRouter(tb testing.TB, handler fasthttp.RequestHandler, test func(address string)) {
	tb.Helper()
	withRouterTo(tb, serveEndpoint(tb, &errgroup.Group{}, handler), test)
}

// withRouterTo does the same with an endpoint that listens at an address.
func withRouterTo(tb testing.TB, endpointAddress string, test func(address string)) {
	tb.Helper()
	box := settings.DefaultBox()
	box.Name = "box-1"
	box.Zone = "lhr-a"
	box.CallerAddress = freeAddress(tb)
	box.OperatorAddress = freeAddress(tb)
	box.PeerAddress = freeAddress(tb)
	box.Limits.DrainWait = settings.Duration{}
	box.Limits.ReadTimeout = settings.Duration{Duration: 2 * time.Second}
	box.Log.Level = "error"
	defaults := settings.BuiltinDefaults()
	customer := defaults.Customer
	sum := sha256.Sum256([]byte(testKey))
	customer.KeyHashes = []string{hex.EncodeToString(sum[:])}
	one := map[string]settings.Endpoint{"one": {Address: endpointAddress, Zone: "lhr-a", Slots: 64}}
	plain := defaults.Pool
	plain.Kind = settings.PlainPool
	plain.Paths = []string{"/"}
	plain.ReportPath = ""
	plain.Endpoints = one
	model := defaults.Pool
	model.Models = []string{"m"}
	model.ReportPath = ""
	model.Endpoints = one
	r := &router.Router{Box: box, Initial: &settings.Fleet{
		Customers: map[string]settings.Customer{"ward": customer},
		Pools:     map[string]settings.Pool{"plain": plain, "model": model},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	running := &errgroup.Group{}
	running.Go(func() error { return r.Run(ctx) })
	awaitReady(tb, box.OperatorAddress)
	test(box.CallerAddress)
	cancel()
	if err := running.Wait(); err != nil {
		tb.Fatal(err)
	}
}

func awaitReady(tb testing.TB, address string) {
	tb.Helper()
	for range 500 {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			return
		}
	}
	tb.Fatal("the router did not become ready")
}

// exchange sends raw bytes and returns the status line, or the error.
func exchange(address, raw string) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	if _, err := c.Write([]byte(raw)); err != nil {
		return err.Error()
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "closed"
	}
	return strings.TrimSpace(line)
}

// TestHostileCallers sends malformed requests. Each gets a response or a closed
// connection, and the router continues to serve.
func TestHostileCallers(t *testing.T) {
	authorised := "Host: a\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := []struct {
		name   string
		raw    string
		expect []string
	}{
		{"no HTTP at all", "\x00\x01\x02\r\n\r\n", []string{"HTTP/1.1 400", "closed"}},
		{"a giant header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 1<<20) + "\r\n\r\n", []string{"HTTP/1.1 400", "HTTP/1.1 431", "closed", "write"}},
		{"a negative length", "POST / HTTP/1.1\r\n" + authorised + "Content-Length: -5\r\n\r\n", []string{"HTTP/1.1 400", "closed"}},
		{"two lengths", "POST / HTTP/1.1\r\n" + authorised + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", []string{"HTTP/1.1 400", "closed"}},
		{"a body over the limit", "POST / HTTP/1.1\r\n" + authorised + "Content-Length: 99999999999\r\n\r\n", []string{"HTTP/1.1 400", "HTTP/1.1 413", "closed"}},
		{"a broken chunk", "POST / HTTP/1.1\r\n" + authorised + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", []string{"HTTP/1.1 400", "closed"}},
		{"a body that never comes", "POST / HTTP/1.1\r\n" + authorised + "Content-Length: 5\r\n\r\n", []string{"HTTP/1.1 400", "HTTP/1.1 408", "closed"}},
		{"no key", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", []string{"HTTP/1.1 401"}},
		{"a wrong key", "GET /a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer b\r\n\r\n", []string{"HTTP/1.1 401"}},
		{"a model request that is no JSON", "POST /v1/chat/completions HTTP/1.1\r\n" + authorised + "Content-Length: 3\r\n\r\nabc", []string{"HTTP/1.1 400"}},
		{"a model request that is null", "POST /v1/chat/completions HTTP/1.1\r\n" + authorised + "Content-Length: 4\r\n\r\nnull", []string{"HTTP/1.1 400"}},
		{"an unknown model", "POST /v1/chat/completions HTTP/1.1\r\n" + authorised + "Content-Length: 13\r\n\r\n{\"model\":\"x\"}", []string{"HTTP/1.1 404"}},
		{"a timeout that is none", "GET /a HTTP/1.1\r\n" + authorised + "Quaylead-Timeout: soon\r\n\r\n", []string{"HTTP/1.1 400"}},
	}
	Convey("Given a router", t, func() {
		withRouter(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fine") }, func(address string) {
			for _, c := range cases {
				got := exchange(address, c.raw)
				matched := false
				for _, prefix := range c.expect {
					matched = matched || strings.HasPrefix(got, prefix)
				}
				SoMsg(fmt.Sprintf("%s got %q", c.name, got), matched, ShouldBeTrue)
			}
			good := exchange(address, "GET /a HTTP/1.1\r\n"+authorised+"\r\n")
			So(good, ShouldEqual, "HTTP/1.1 200 OK")
		})
	})
}

// TestEndpointsThatAnswerBadly checks that no faulty response is forwarded as
// complete.
func TestEndpointsThatAnswerBadly(t *testing.T) {
	// The standard library's client does not retry a call on a new connection.
	get := func(address string) (status int, run string, err error) {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		call, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/a", nil)
		if err != nil {
			return 0, "", err
		}
		call.Header.Set("Authorization", "Bearer "+testKey)
		call.Header.Set("X-Request-Id", "mine")
		response, err := client.Do(call)
		if err != nil {
			return 0, "", err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return response.StatusCode, response.Header.Get("Quaylead-Run"), err
	}
	Convey("A response to another request is refused as unknown", t, func() {
		handler := func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set("X-Request-Id", "other") }
		withRouter(t, handler, func(address string) {
			status, run, err := get(address)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, fasthttp.StatusBadGateway)
			So(run, ShouldEqual, "unknown")
		})
	})
	Convey("A body shorter than announced is visibly cut", t, func() {
		handler := func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
				c.Close()
			})
		}
		withRouter(t, handler, func(address string) {
			_, _, err := get(address)
			So(err, ShouldNotBeNil)
		})
	})
	Convey("A proof of not run lets the refusal say so", t, func() {
		handler := func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.Response.Header.Set("X-Not-Run", "full")
		}
		withRouter(t, handler, func(address string) {
			status, run, err := get(address)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, fasthttp.StatusBadGateway)
			So(run, ShouldEqual, "not-run")
		})
	})
}

// BenchmarkOverhead alternates calls through the router with direct ones, and
// reports the difference and the ratio of their p50 and p99 latencies.
func BenchmarkOverhead(b *testing.B) {
	group := &errgroup.Group{}
	handler := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fine") }
	direct := serveEndpoint(b, group, handler)
	withRouter(b, handler, func(routed string) {
		call := func(address string) time.Duration {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(request)
			defer fasthttp.ReleaseResponse(response)
			request.SetRequestURI("http://" + address + "/a")
			request.Header.Set("Authorization", "Bearer "+testKey)
			began := time.Now()
			if err := fasthttp.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
				b.Fatal(err, response.StatusCode())
			}
			return time.Since(began)
		}
		var directTimes, routedTimes []time.Duration
		for b.Loop() {
			directTimes = append(directTimes, call(direct))
			routedTimes = append(routedTimes, call(routed))
		}
		report(b, "p50", 0.5, directTimes, routedTimes)
		report(b, "p99", 0.99, directTimes, routedTimes)
	})
}

func report(b *testing.B, name string, quantile float64, direct, routed []time.Duration) {
	at := func(times []time.Duration) float64 {
		sorted := slices.Clone(times)
		slices.Sort(sorted)
		return float64(sorted[int(quantile*float64(len(sorted)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(at(routed)-at(direct), "ms-overhead-"+name)
	b.ReportMetric(at(routed)/at(direct), "ratio-"+name)
}

// BenchmarkThroughput calls the router from many callers at once. The callers and
// the endpoint share the machine with it.
func BenchmarkThroughput(b *testing.B) {
	withRouter(b, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fine") }, func(routed string) {
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI("http://" + routed + "/a")
			request.Header.Set("Authorization", "Bearer "+testKey)
			for pb.Next() {
				if err := fasthttp.Do(request, response); err != nil {
					b.Error(err)
					return
				}
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	})
}
