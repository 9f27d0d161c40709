package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/settings"
)

// blackholeProxy forwards connections to an address. After dropAll, the connections open at
// that time stay open and forward nothing any more; new ones work.
type blackholeProxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu      sync.Mutex
	conns   []net.Conn
	dropped map[net.Conn]bool
}

func (p *blackholeProxy) run() error {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			from.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, from, to)
		p.mu.Unlock()
		p.group.Go(func() error { return p.forward(from, to) })
		p.group.Go(func() error { return p.forward(to, from) })
	}
}

func (p *blackholeProxy) forward(from, to net.Conn) error {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		dropped := p.dropped[from]
		p.mu.Unlock()
		if err != nil && !dropped {
			to.Close()
		}
		if err != nil {
			return nil
		}
		if !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				return nil
			}
		}
	}
}

func (p *blackholeProxy) dropAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		p.dropped[conn] = true
	}
}

func (p *blackholeProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.mu.Unlock()
	_ = p.group.Wait()
}

// idleBox has an empty state and ignores updates.
type idleBox struct{}

func (idleBox) State() State                     { return State{} }
func (idleBox) Snapshot() (uint64, []byte)       { return 0, nil }
func (idleBox) HandleUpdate(Sender, State, bool) {}
func (idleBox) HandlePeerLost(Sender)            {}

// answeringServer reads each stream until it ends.
type answeringServer struct{}

func (answeringServer) ServeDispatch(_ Sender, _ string, stream *DispatchStream) error {
	_, err := io.Copy(io.Discard, stream.stream)
	return err
}

func TestDoubtedSession(t *testing.T) {
	Convey("A session over a dead connection is reopened when it is checked", t, func() {
		farListener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		proxyListener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		proxy := &blackholeProxy{listener: proxyListener, target: farListener.Addr().String(), dropped: map[net.Conn]bool{}}
		proxy.group.Go(proxy.run)
		defer proxy.close()
		ctx, cancel := context.WithCancel(context.Background())
		group := errgroup.Group{}
		defer func() { _ = group.Wait() }()
		defer cancel()
		exchange := func(name string, incarnation uint64) *Exchange {
			own := settings.DefaultBox()
			own.Name = name
			return &Exchange{Box: own, Incarnation: incarnation, States: idleBox{}, Handler: idleBox{}, Dispatch: answeringServer{}, Log: zap.NewNop()}
		}
		far, near := exchange("far", 1), exchange("near", 2)
		near.Box.Peers = map[string]settings.Peer{"far": {Address: proxyListener.Addr().String()}}
		own, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		group.Go(func() error { return far.Run(ctx, farListener) })
		group.Go(func() error { return near.Run(ctx, own) })
		eventually := func(holds func() bool) bool {
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
				if holds() {
					return true
				}
				<-time.After(10 * time.Millisecond)
			}
			return false
		}
		So(eventually(func() bool { return near.IsConnected("far") }), ShouldBeTrue)
		first := near.session("far")
		near.CheckSession("far")
		<-time.After(2 * pingTimeout)
		So(near.session("far"), ShouldEqual, first)
		proxy.dropAll()
		near.CheckSession("far")
		So(eventually(func() bool {
			now := near.session("far")
			return now != nil && now != first
		}), ShouldBeTrue)
	})
}
