package gateway

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// TestCloseDoesNotWait guards against closing connections that wait for an answer which nobody will
// read: it held a goroutine for writeTimeout, and for connections over the server's limit the accept
// loop.
func TestCloseDoesNotWait(t *testing.T) {
	const maxTime = 2 * time.Second
	for name, prepare := range map[string]func(caller *net.TCPConn, conn *callerConn){
		"A request that was never read": func(caller *net.TCPConn, conn *callerConn) {
			_, err := caller.Write(make([]byte, 5*maxUncountedBytes))
			So(err, ShouldBeNil)
			for deadline := time.Now().Add(maxTime); conn.queued == 0 && time.Now().Before(deadline); {
				conn.recount()
			}
			So(conn.queued, ShouldBeGreaterThan, 0)
		},
		"An answer whose caller reset the connection": func(caller *net.TCPConn, conn *callerConn) {
			So(caller.SetReadBuffer(4<<10), ShouldBeNil)
			So(conn.SetWriteBuffer(1<<20), ShouldBeNil)
			_, err := conn.Write(make([]byte, 256<<10))
			So(err, ShouldBeNil)
			conn.recount()
			So(conn.unacknowledgedBytes(), ShouldBeGreaterThan, maxUncountedBytes)
			So(caller.SetLinger(0), ShouldBeNil)
			So(caller.Close(), ShouldBeNil)
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
		},
		"An answer whose write timed out": func(caller *net.TCPConn, conn *callerConn) {
			So(conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), ShouldBeNil)
			_, err := conn.Write(make([]byte, 64<<20))
			So(err, ShouldNotBeNil)
		},
	} {
		Convey(name+" does not delay closing", t, func() {
			m := newTestMemory(100 << 20)
			m.gateway.workContext = t.Context()
			plain, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listener := m.listener(plain)
			defer listener.Close()
			caller, err := net.Dial("tcp", plain.Addr().String())
			So(err, ShouldBeNil)
			defer caller.Close()
			accepted, err := listener.Accept()
			So(err, ShouldBeNil)
			prepare(caller.(*net.TCPConn), accepted.(*callerConn))
			began := time.Now()
			_ = accepted.Close()
			So(time.Since(began), ShouldBeLessThan, maxTime)
		})
	}
}

// TestSmallAnswers guards against system calls after each refusal, and against small answers that
// add up unread and are never counted.
func TestSmallAnswers(t *testing.T) {
	Convey("Small answers are not measured one by one, but count once enough were written", t, func() {
		m := newTestMemory(100 << 20)
		m.gateway.workContext = t.Context()
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener := m.listener(plain)
		defer listener.Close()
		caller, err := net.Dial("tcp", plain.Addr().String())
		So(err, ShouldBeNil)
		So(caller.(*net.TCPConn).SetReadBuffer(4<<10), ShouldBeNil)
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		conn := accepted.(*callerConn)
		_, err = caller.Write(make([]byte, 10))
		So(err, ShouldBeNil)
		const answer = 300
		counted := false
		for written := answer; !counted && written < 64<<10; written += answer {
			_, err = conn.Write(make([]byte, answer))
			So(err, ShouldBeNil)
			m.trackConnection(conn, fasthttp.StateIdle)
			counted = conn.queued > 0
			So(counted, ShouldEqual, written > maxUncountedBytes)
		}
		So(counted, ShouldBeTrue)
		So(caller.Close(), ShouldBeNil)
		_ = conn.Close()
		m.trackConnection(conn, fasthttp.StateClosed)
		So(m.budget.Used(), ShouldEqual, 0)
	})
}
