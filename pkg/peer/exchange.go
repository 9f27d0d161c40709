// Package peer keeps the boxes of a fleet informed of each other. Each box
// tells every other one, over a session that it opens itself, what it has
// served and what waits; it keeps nothing that another box depends on.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/keepalive"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Teller gives what this box tells its peers.
type Teller interface {
	// State is how things stand now. It is called for each peer and message.
	State() State
	// Snapshot is the settings in force; revision 0 means none.
	Snapshot() (revision uint64, content []byte)
}

// DirectoryTeller gives peers what this box knows of the endpoints.
type DirectoryTeller interface {
	Directory() *peerpb.Directory
}

// DispatchServer answers routers that ask this box for engines.
type DispatchServer interface {
	// ServeDispatch serves a stream until it breaks.
	ServeDispatch(from Sender, service string, stream *DispatchStream) error
}

// Listener takes what peers tell.
type Listener interface {
	// Heard takes a message. First marks the first one of a stream, which
	// holds everything that the peer knows.
	Heard(from Sender, news State, first bool)
	// Silent reports that the peer's streams have ended. It must not call the
	// Exchange.
	Silent(from Sender)
}

// Sender is the box that a message came from.
type Sender struct {
	Box         string
	Zone        string
	Incarnation uint64
	// OperatorAddress is where operators reach the box.
	OperatorAddress string
	// PeerAddress is where other boxes reach it.
	PeerAddress string
	// Cores is the processor time that the box has; 0 means unknown.
	Cores float64
}

// State is what one box tells the others.
type State struct {
	// Revision is the revision of the settings in force.
	Revision uint64
	// Leaving is set once the box stops taking work.
	Leaving bool
	// Directory is the version of what is known of the endpoints.
	Directory uint64
	// Looks is how often the box looked at the endpoints in the store.
	Looks uint64
	// Pools are by name. In a received state, only what changed is there.
	Pools map[string]PoolState
}

// PoolState is one pool in a State.
type PoolState struct {
	// Demand is the number of requests waiting and running.
	Demand int
	// Customers are by name.
	Customers map[string]CustomerState
}

// CustomerState is one customer in a PoolState. All amounts are weighted tokens.
type CustomerState struct {
	Served  uint64
	Pending uint64
	// Waiting is twice the mean number of requests waiting.
	Waiting uint32
	// Lead is how far ahead of the furthest behind; sent in first messages.
	Lead uint64
}

// Exchange runs the sessions of one box.
type Exchange struct {
	// Box and Incarnation introduce this process.
	Box         settings.Box
	Incarnation uint64
	Teller      Teller
	Listener    Listener
	// Directory answers peers that ask for the endpoints; nil refuses them.
	Directory DirectoryTeller
	// Dispatch answers routers that ask for engines; nil refuses them.
	Dispatch DispatchServer
	Log      *zap.Logger
	// Cores is the processor time that this box has; 0 means unknown.
	Cores float64
	// TLS secures sessions; nil means plain TCP.
	TLS *tls.Config
	// Traffic counts what the exchange sends and receives.
	Traffic Traffic

	mu    sync.Mutex
	peers map[string]*link
	// heard counts the open streams of each sender. A peer that opens a new one
	// before the old one lapses is not silent.
	heard map[uint64]int
	group *errgroup.Group
	ctx   context.Context
}

// link is the session to one peer that this box opened.
type link struct {
	name    string
	address string
	cancel  context.CancelFunc
	// wake ends the wait for the next update. Capacity 1.
	wake chan struct{}
	// redial ends the wait before the session is opened again. Capacity 1.
	redial  chan struct{}
	session atomic.Pointer[yamux.Session]
	// doubted is set while the session is asked for a sign of life.
	doubted atomic.Bool
}

// Run serves peers on the listener and keeps a session to each known peer,
// until the context ends.
func (e *Exchange) Run(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = trace.Wrap(err, "exchanging with peers") }()
	group, ctx := errgroup.WithContext(ctx)
	e.mu.Lock()
	e.group = group
	e.ctx = ctx
	e.peers = map[string]*link{}
	e.heard = map[uint64]int{}
	e.mu.Unlock()
	e.SetPeers(e.Box.Peers)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error { return e.accept(ctx, group, listener) })
	return group.Wait()
}

// SetPeers says which peers to tell. Sessions to peers that are no longer
// among them are closed.
func (e *Exchange) SetPeers(peers map[string]settings.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil || e.ctx.Err() != nil {
		return
	}
	for name, known := range e.peers {
		if peer, ok := peers[name]; !ok || peer.Address != known.address {
			known.cancel()
			delete(e.peers, name)
		}
	}
	for name, peer := range peers {
		if _, known := e.peers[name]; known || name == e.Box.Name {
			continue
		}
		ctx, cancel := context.WithCancel(e.ctx)
		added := &link{
			name:    name,
			address: peer.Address,
			cancel:  cancel,
			wake:    make(chan struct{}, 1),
			redial:  make(chan struct{}, 1),
		}
		e.peers[name] = added
		e.group.Go(func() error {
			e.keep(ctx, added)
			return nil
		})
	}
}

// redialSoonest is the first wait after a session that ended or could not be
// opened; it doubles up to the heartbeat. A fleet that starts together has its boxes
// up within a few hundred milliseconds of each other: with a wait of a whole
// heartbeat, a third of the sessions stood 1 to 1.7 s late, and as long several
// boxes dispatched for the same engines.
const redialSoonest = 50 * time.Millisecond

// keep opens the session to a peer again and again until it is cancelled.
func (e *Exchange) keep(ctx context.Context, l *link) {
	pause := redialSoonest
	for ctx.Err() == nil {
		began := time.Now()
		err := e.tell(ctx, l)
		if ctx.Err() != nil {
			return
		}
		e.Log.Debug("session to peer ended", zap.String("Peer", l.name), zap.Error(err))
		if time.Since(began) > e.Box.Exchange.Lapse.Duration {
			pause = redialSoonest
		}
		if interval.WaitOr(ctx, interval.Jittered(pause), l.redial) != nil {
			return
		}
		pause = min(2*pause, e.Box.Exchange.Heartbeat.Duration)
	}
}

// Redial has the session to a peer opened now, if there is none: it was just heard.
func (e *Exchange) Redial(box string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.peers[box]
	if l == nil {
		return
	}
	select {
	case l.redial <- struct{}{}:
	default:
	}
}

// doubtTime is how long a doubted session may take to answer. On one that lives an
// answer takes a millisecond. A box that is short of processor time may take more than
// half a second, and closing its sessions then costs it more: with 0.5 s, 56 of them
// were closed in 25 s of a day with 85 boxes, none of them silent for good.
const doubtTime = 1500 * time.Millisecond

// Doubt has a session to a peer closed, and opened anew, unless it gives a sign of
// life: its connection may have gone silent while new ones work.
func (e *Exchange) Doubt(box string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.peers[box]
	if l == nil || e.ctx.Err() != nil {
		return
	}
	session := l.session.Load()
	if session == nil || !l.doubted.CompareAndSwap(false, true) {
		return
	}
	e.group.Go(func() error {
		defer l.doubted.Store(false)
		silent := time.AfterFunc(doubtTime, func() { session.Close() })
		defer silent.Stop()
		if _, err := session.Ping(); err != nil {
			e.Log.Warn("session to peer gave no sign of life", zap.String("Peer", box), zap.Error(err))
		}
		return nil
	})
}

// Reaches tells whether there is a session to a peer.
func (e *Exchange) Reaches(box string) bool { return e.session(box) != nil }

// tell opens a session and sends updates on it until it breaks.
func (e *Exchange) tell(ctx context.Context, l *link) (err error) {
	raw, err := e.dial(ctx, l.address)
	if err != nil {
		return err
	}
	session, err := yamux.Client(&countedConn{Conn: raw, traffic: &e.Traffic}, e.sessionConfig())
	if err != nil {
		raw.Close()
		return err
	}
	defer session.Close()
	l.session.Store(session)
	defer l.session.Store(nil)
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	stream, err := session.Open()
	if err != nil {
		return err
	}
	e.Log.Info("session to peer opened", zap.String("Peer", l.name))
	return e.sendUpdates(ctx, stream, l.wake)
}

// Wake has what changed told to all peers at once. It is for news that can not
// wait, such as a new revision of the settings.
func (e *Exchange) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.peers {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (e *Exchange) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := keepalive.Dialer(e.Box.Exchange.DialTimeout.Duration, e.Box.Exchange.Lapse.Duration)
	if e.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: dialer, Config: e.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

// sendUpdates sends everything once and then what changed, at least a
// heartbeat in each heartbeat interval.
func (e *Exchange) sendUpdates(ctx context.Context, stream net.Conn, wake <-chan struct{}) error {
	timing := e.Box.Exchange
	encoder := newEncoder()
	hello := &peerpb.Opening{Purpose: &peerpb.Opening_Hello{Hello: e.hello()}}
	if err := send(stream, hello, timing.Lapse.Duration); err != nil {
		return err
	}
	lastSent := time.Time{}
	for {
		update, changed := encoder.encode(e.Teller.State())
		if changed || time.Since(lastSent) >= timing.Heartbeat.Duration {
			if err := send(stream, update, timing.Lapse.Duration); err != nil {
				return err
			}
			lastSent = time.Now()
		}
		if err := interval.WaitOr(ctx, interval.Jittered(timing.Interval.Duration), wake); err != nil {
			return err
		}
	}
}

// coreGrain is the part of a core in which boxes tell their processor time.
const coreGrain = 1000

// hello introduces this process.
func (e *Exchange) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Box:             e.Box.Name,
		Zone:            e.Box.Zone,
		Incarnation:     e.Incarnation,
		OperatorAddress: e.Box.OperatorAddress,
		PeerAddress:     e.Box.PeerAddress,
		Cores:           uint32(e.Cores * coreGrain),
	}
}

// Fetch asks peers for settings of at least a revision, one after the other,
// the named one first, and returns the first that has them.
func (e *Exchange) Fetch(first string, revision uint64) (found uint64, content []byte, err error) {
	defer func() { err = trace.Wrap(err, "fetching settings from peers") }()
	for _, l := range e.links(first) {
		session := l.session.Load()
		if session == nil {
			continue
		}
		snapshot, err := e.fetchFrom(session, &peerpb.SnapshotRequest{Revision: revision})
		if err == nil && snapshot.Revision >= revision && snapshot.Revision > 0 {
			return snapshot.Revision, snapshot.Content, nil
		}
	}
	return 0, nil, trace.NotFound("no reachable peer has revision %d", revision)
}

func (e *Exchange) links(first string) []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := make([]*link, 0, len(e.peers))
	for _, l := range e.peers {
		links = append(links, l)
		if l.name == first {
			last := len(links) - 1
			links[0], links[last] = links[last], links[0]
		}
	}
	return links
}

// FetchDirectory asks one peer for what it knows of the endpoints.
func (e *Exchange) FetchDirectory(from string) (directory *peerpb.Directory, err error) {
	defer func() { err = trace.Wrap(err, "fetching the directory from %s", from) }()
	session := e.session(from)
	if session == nil {
		return nil, trace.NotFound("no session to the peer")
	}
	snapshot, err := e.fetchFrom(session, &peerpb.SnapshotRequest{Directory: true})
	if err != nil {
		return nil, err
	}
	directory = &peerpb.Directory{}
	return directory, proto.Unmarshal(snapshot.Content, directory)
}

// session returns the open session to a peer; nil means that there is none.
func (e *Exchange) session(name string) *yamux.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.peers[name]
	if l == nil {
		return nil
	}
	return l.session.Load()
}

func (e *Exchange) fetchFrom(session *yamux.Session, request *peerpb.SnapshotRequest) (snapshot *peerpb.Snapshot, err error) {
	stream, err := session.Open()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	timeout := e.Box.Exchange.Lapse.Duration
	opening := &peerpb.Opening{Purpose: &peerpb.Opening_SnapshotRequest{
		SnapshotRequest: request,
	}}
	if err := send(stream, opening, timeout); err != nil {
		return nil, err
	}
	if err := stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	snapshot = &peerpb.Snapshot{}
	return snapshot, receive(bufio.NewReader(stream), snapshot)
}

// sessionConfig turns the library's own heartbeats off; ours carry news.
func (e *Exchange) sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = e.Box.Exchange.Lapse.Duration
	config.StreamOpenTimeout = e.Box.Exchange.Lapse.Duration
	config.LogOutput = io.Discard
	return config
}
