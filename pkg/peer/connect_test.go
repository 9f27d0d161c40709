package peer

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/settings"
)

// noopBox has an empty state and ignores updates.
type noopBox struct{}

func (noopBox) State() State                     { return State{} }
func (noopBox) Snapshot() (uint64, []byte)       { return 0, nil }
func (noopBox) HandleUpdate(Sender, State, bool) {}
func (noopBox) HandlePeerLost(Sender)            {}

// startExchange runs an exchange on loopback until the test ends.
func startExchange(t *testing.T, name string, incarnation uint64) (e *Exchange, address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	own := settings.DefaultBox()
	own.Name = name
	e = &Exchange{Box: own, Incarnation: incarnation, States: noopBox{}, Handler: noopBox{}, Log: zap.NewNop()}
	ctx, stop := context.WithCancel(context.Background())
	group := errgroup.Group{}
	group.Go(func() error { return e.Run(ctx, listener) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	address = listener.Addr().String()
	for {
		e.mu.Lock()
		runs := e.group != nil
		e.mu.Unlock()
		if runs {
			return e, address
		}
		time.Sleep(time.Millisecond)
	}
}

func TestReach(t *testing.T) {
	Convey("Connect opens a session, and keeps it although the box is not a contact yet", t, func() {
		asking, _ := startExchange(t, "asking", 1)
		_, address := startExchange(t, "asked", 2)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(asking.IsConnected("asked"), ShouldBeFalse)
		So(asking.Connect(ctx, "asked", address), ShouldBeNil)
		So(asking.IsConnected("asked"), ShouldBeTrue)
		asking.SetContacts(map[string]Contact{})
		So(asking.Connect(ctx, "asked", address), ShouldBeNil)
		So(asking.IsConnected("asked"), ShouldBeTrue)
	})
	Convey("If nobody answers, Connect fails at once", t, func() {
		asking, _ := startExchange(t, "asking", 1)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		So(asking.Connect(ctx, "gone", address), ShouldNotBeNil)
		So(ctx.Err(), ShouldBeNil)
	})
}
