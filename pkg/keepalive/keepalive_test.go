package keepalive

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// option reads a TCP option of a connection.
func option(conn net.Conn, name int) (value int) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	So(err, ShouldBeNil)
	So(raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
	}), ShouldBeNil)
	So(err, ShouldBeNil)
	return value
}

func TestConnections(t *testing.T) {
	Convey("Both ends probe the connection within the timeout", t, func() {
		listener, err := Listen("127.0.0.1:0", 9*time.Second, 0)
		So(err, ShouldBeNil)
		defer listener.Close()
		accepted := make(chan net.Conn, 1)
		group := errgroup.Group{}
		group.Go(func() error {
			conn, err := listener.Accept()
			accepted <- conn
			return err
		})
		conn, err := Dialer(time.Second, 3*time.Second).Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		So(group.Wait(), ShouldBeNil)
		other := <-accepted
		defer other.Close()
		So(option(conn, unix.TCP_KEEPIDLE), ShouldEqual, 1)
		So(option(conn, unix.TCP_KEEPINTVL), ShouldEqual, 1)
		So(option(conn, unix.TCP_KEEPCNT), ShouldEqual, probeCount)
		So(option(conn, unix.TCP_USER_TIMEOUT), ShouldEqual, 3000)
		So(option(other, unix.TCP_KEEPIDLE), ShouldEqual, 3)
		So(option(other, unix.TCP_KEEPINTVL), ShouldEqual, 3)
	})
}

func TestKernelBuffers(t *testing.T) {
	Convey("Accepted connections inherit the bound of what the kernel keeps for them", t, func() {
		const bytes = 64 << 10
		listener, err := Listen("127.0.0.1:0", 9*time.Second, bytes)
		So(err, ShouldBeNil)
		defer listener.Close()
		dialed, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer dialed.Close()
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		defer accepted.Close()
		raw, err := accepted.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		var received, sent int
		So(raw.Control(func(fd uintptr) {
			received, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
			sent, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF)
		}), ShouldBeNil)
		// The kernel doubles the number for its own overhead.
		So(received, ShouldEqual, 2*bytes)
		So(sent, ShouldEqual, 2*bytes)
	})
}
