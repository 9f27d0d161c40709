package peer

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"

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
