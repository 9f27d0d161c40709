package endpoint

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBacklog guards against a count that misses what the kernel keeps for a peer that reads
// nothing: it would never be taken for a slow reader.
func TestBacklog(t *testing.T) {
	Convey("What a peer has not read counts, and the peer's reading shows", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		peer, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer peer.Close()
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		defer accepted.Close()
		conn := accepted.(*net.TCPConn)
		So(QueuesOf(conn), ShouldResemble, Queues{})

		_, err = peer.Write(make([]byte, 100))
		So(err, ShouldBeNil)
		So(conn.SetWriteDeadline(time.Now().Add(200*time.Millisecond)), ShouldBeNil)
		_, err = conn.Write(make([]byte, 64<<20))
		So(isTimeout(err), ShouldBeTrue)
		before := QueuesOf(conn)
		So(before.Unacknowledged, ShouldBeGreaterThan, 0)
		So(before.Unread, ShouldEqual, 100)

		_, err = peer.Read(make([]byte, 8<<20))
		So(err, ShouldBeNil)
		deadline := time.Now().Add(5 * time.Second)
		for QueuesOf(conn).Acknowledged <= before.Acknowledged && time.Now().Before(deadline) {
			_, _ = peer.Read(make([]byte, 1<<20))
		}
		So(QueuesOf(conn).Acknowledged, ShouldBeGreaterThan, before.Acknowledged)
		conn.Close()
		So(QueuesOf(conn), ShouldResemble, Queues{})
	})
}
