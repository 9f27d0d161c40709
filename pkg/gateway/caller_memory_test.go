package gateway

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/registry"
)

// keyTranslator knows no customers.
type keyTranslator struct{ Translator }

// ParseKey returns no key.
func (keyTranslator) ParseKey(*fasthttp.RequestHeader) string { return "" }

// ParseRequest returns nothing.
func (keyTranslator) ParseRequest(*fasthttp.RequestHeader) (RequestInfo, error) {
	return RequestInfo{}, nil
}

func newTestMemory(maxMemory int64) *callerMemory {
	g := &Gateway{Settings: Settings{MaxMemory: maxMemory}, Translator: keyTranslator{}, Metrics: &Metrics{}, registry: &registry.Registry{}}
	g.memory = newCallerMemory(g)
	return g.memory
}

func headerWithBody(length int) *fasthttp.RequestHeader {
	header := &fasthttp.RequestHeader{}
	header.SetMethod(fasthttp.MethodPost)
	header.SetContentLength(length)
	return header
}

func TestIncomingBodies(t *testing.T) {
	Convey("Without a bound of the memory there is no account", t, func() {
		So(newTestMemory(0), ShouldBeNil)
	})
	Convey("A body is reserved when its header arrives, and refused beyond the limit", t, func() {
		m := newTestMemory(10 << 20)
		So(m.receiveHeader(headerWithBody(1<<19)), ShouldResemble, fasthttp.RequestConfig{})
		So(m.budget.Used(), ShouldEqual, 1<<19+requestBytes)
		refused := headerWithBody(1 << 20)
		So(m.receiveHeader(refused).MaxRequestBodySize, ShouldEqual, refusedBodyBytes)
		So(m.takeBody(refused).refused, ShouldBeTrue)
		So(m.budget.Used(), ShouldEqual, 1<<19+requestBytes)
	})
	Convey("A body in chunks reserves the bound of a body", t, func() {
		m := newTestMemory(1 << 30)
		m.receiveHeader(headerWithBody(-1))
		So(m.budget.Used(), ShouldEqual, maxBodyBytes+requestBytes)
	})
	Convey("Callers that disconnect before their bodies were read leave nothing reserved", t, func() {
		m := newTestMemory(1 << 30)
		header := headerWithBody(1000)
		m.receiveHeader(header)
		m.receiveHeader(header)
		So(m.budget.Used(), ShouldEqual, 1000+requestBytes)
		m.dropExpiredBodies(time.Now().Add(readTimeout))
		So(m.budget.Used(), ShouldEqual, 1000+requestBytes)
		m.dropExpiredBodies(time.Now().Add(3 * readTimeout))
		So(m.budget.Used(), ShouldEqual, 0)
		So(m.bodies, ShouldBeEmpty)
	})
}

func TestCallerConnections(t *testing.T) {
	Convey("What a caller does not read counts as its customer's until the connection is closed", t, func() {
		m := newTestMemory(100 << 20)
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener := m.listener(plain)
		defer listener.Close()
		caller, err := net.Dial("tcp", plain.Addr().String())
		So(err, ShouldBeNil)
		defer caller.Close()
		So(caller.(*net.TCPConn).SetReadBuffer(4<<10), ShouldBeNil)
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		conn := accepted.(*callerConn)
		m.budget.Add("ward", 1000)
		conn.begin("ward", 1000)
		So(conn.keep(8<<20), ShouldBeTrue)
		So(conn.keep(2<<20), ShouldBeFalse)
		began := time.Now()
		So(conn.measure(began).Bytes, ShouldEqual, 0)

		writing := errgroup.Group{}
		writing.Go(func() error {
			_, err := conn.Write(make([]byte, 8<<20))
			return err
		})
		var unread int64
		for deadline := time.Now().Add(5 * time.Second); unread == 0 && time.Now().Before(deadline); {
			unread = conn.measure(time.Now()).Bytes
		}
		So(unread, ShouldBeGreaterThan, 8<<20)
		So(m.budget.UsedBy("ward"), ShouldEqual, unread)
		// Nothing is read from here on, so the time does not move.
		<-time.After(200 * time.Millisecond)
		since := conn.measure(time.Now()).Since
		So(conn.measure(time.Now().Add(time.Hour)).Since, ShouldEqual, since)

		conn.reset()
		So(writing.Wait(), ShouldNotBeNil)
		So(conn.isCut(), ShouldBeTrue)
		m.trackConnection(conn, fasthttp.StateClosed)
		So(m.budget.Used(), ShouldEqual, 0)
		So(m.openConns(), ShouldBeEmpty)
		_, err = caller.Read(make([]byte, 1))
		for err == nil {
			_, err = caller.Read(make([]byte, 1<<20))
		}
		So(err.Error(), ShouldContainSubstring, "reset")
	})
}
