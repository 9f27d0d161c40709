package peer

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// endingServer returns at once, without an error.
type endingServer struct{}

func (endingServer) ServeDispatch(Sender, string, *DispatchStream) error { return nil }

// TestDispatchEndsWithItsServer guards against goroutines of a stream that outlive its server
// and keep a box from stopping; synctest reports them as a deadlock.
func TestDispatchEndsWithItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		e := &Exchange{Dispatch: endingServer{}}
		hello := &peerpb.DispatchHello{Router: &peerpb.Hello{Box: "box-1"}}
		if err := e.serveDispatch(local, bufio.NewReader(local), hello); err != nil {
			t.Logf("the stream ended with: %v", err)
		}
	})
}

// TestUnwritableDispatchStreamIsClosed guards against a stream that sends nothing any more while both
// boxes wait for answers on it.
func TestUnwritableDispatchStreamIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		stream := NewDispatchStream(local, time.Second)
		stream.Send(&peerpb.Call{Kind: &peerpb.Call_Ask{Ask: &peerpb.Ask{ID: "\xff"}}})
		if err := stream.Write(t.Context()); err == nil {
			t.Error("a message that cannot be encoded was written")
		}
		if err := stream.Receive(&peerpb.Verdict{}); err == nil {
			t.Error("the stream is still read")
		}
	})
}
