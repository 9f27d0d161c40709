package peer

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// endingServer serves no stream, and finds nothing wrong with that.
type endingServer struct{}

func (endingServer) ServeDispatch(Sender, string, *DispatchStream) error { return nil }

// TestDispatchEndsWithItsServer would end in a deadlock if anything of a stream
// outlived its server: a box could then never stop.
func TestDispatchEndsWithItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer there.Close()
		e := &Exchange{Dispatch: endingServer{}}
		hello := &peerpb.DispatchHello{Router: &peerpb.Hello{Box: "box-1"}}
		if err := e.serveDispatch(here, bufio.NewReader(here), hello); err != nil {
			t.Logf("the stream ended with: %v", err)
		}
	})
}
