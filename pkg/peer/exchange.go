// Package peer carries what the boxes of a fleet tell each other, over sessions
// that a box opens to the contacts it is given; it keeps nothing that another box
// depends on.
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
	// Directory holds what changed after a version of the store.
	Directory(since uint64) *peerpb.Directory
}

// RowTeller gives peers what boxes say of themselves.
type RowTeller interface {
	// Rows are those with news since a mark, but for what the named box told
	// itself. The first mark of a stream is 0; the next is the one returned.
	Rows(since uint64, to string) (rows []Row, mark uint64)
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

// Row is what a box says of itself. Others pass it on unchanged.
type Row struct {
	Sender
	// Sequence rises with each change by the box itself.
	Sequence uint64
	// Leaving is set once the box stops taking work.
	Leaving bool
	// Configured is set once a configuration is in force there.
	Configured bool
	// Heard are the incarnations of the boxes that tell this one of themselves.
	Heard []uint64
}

// Contact is a box to which a session is kept.
type Contact struct {
	// Address is where the box is reached by others.
	Address string
	// Told contacts get this box's news; to others the session is kept for asking.
	Told bool
	// Chosen tells a told contact that it is not told for its own sake only.
	Chosen bool
}

// State is what one box tells the others.
type State struct {
	// Revision is the revision of the settings in force.
	Revision uint64
	// Leaving is set once the box stops taking work.
	Leaving bool
	// Directory is the version of what is known of the endpoints.
	Directory uint64
	// Known is the store's version up to which all endpoints are known.
	Known uint64
	// Looks is the number of the latest look at the endpoints in the store, by any
	// box, whose outcome is known.
	Looks uint64
	// Chosen is set where the box keeps the session by its own choice. It is set
	// by the exchange.
	Chosen bool
	// Rows are what boxes say of themselves; in a received state, what is news.
	Rows []Row
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
	// RowTeller gives the rows that go with states; nil means none.
	RowTeller RowTeller
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
	// wake ends the wait for the next update, and soon shortens it. Capacity 1.
	wake, soon chan struct{}
	// told and chosen are those of the Contact.
	told, chosen atomic.Bool
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
	e.SetContacts(ContactsOf(e.Box.Peers))
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error { return e.accept(ctx, group, listener) })
	return group.Wait()
}

// ContactsOf has all of a list of peers told.
func ContactsOf(peers map[string]settings.Peer) map[string]Contact {
	contacts := make(map[string]Contact, len(peers))
	for name, peer := range peers {
		contacts[name] = Contact{Address: peer.Address, Told: true, Chosen: true}
	}
	return contacts
}

// SetContacts says to which boxes sessions are kept. Those to boxes that are no
// longer among them are closed.
func (e *Exchange) SetContacts(contacts map[string]Contact) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil || e.ctx.Err() != nil {
		return
	}
	for name, known := range e.peers {
		if contact, ok := contacts[name]; !ok || contact.Address != known.address {
			known.cancel()
			delete(e.peers, name)
		}
	}
	for name, contact := range contacts {
		if name == e.Box.Name {
			continue
		}
		l := e.peers[name]
		if l == nil {
			l = e.addLink(name, contact.Address)
		}
		if l.told.Swap(contact.Told) != contact.Told || l.chosen.Swap(contact.Chosen) != contact.Chosen {
			wakeUp(l.wake)
		}
	}
}

// addLink has a session opened. The lock is held.
func (e *Exchange) addLink(name, address string) *link {
	ctx, cancel := context.WithCancel(e.ctx)
	added := &link{
		name:    name,
		address: address,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		soon:    make(chan struct{}, 1),
		redial:  make(chan struct{}, 1),
	}
	e.peers[name] = added
	e.group.Go(func() error {
		e.keep(ctx, added)
		return nil
	})
	return added
}

// wakeUp sends without waiting on a channel of capacity 1.
func wakeUp(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
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
	wakeUp(l.redial)
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

// Reached are the peers to which there is a session.
func (e *Exchange) Reached() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	reached := make(map[string]bool, len(e.peers))
	for name, l := range e.peers {
		if l.session.Load() != nil {
			reached[name] = true
		}
	}
	return reached
}

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
	e.Log.Info("session to peer opened", zap.String("Peer", l.name))
	for {
		if err := e.awaitTold(ctx, l, session); err != nil {
			return err
		}
		stream, err := session.Open()
		if err != nil {
			return err
		}
		err = e.sendUpdates(ctx, stream, l)
		stream.Close()
		if err != nil {
			return err
		}
	}
}

// awaitTold waits until the peer is to be told.
func (e *Exchange) awaitTold(ctx context.Context, l *link, session *yamux.Session) error {
	for !l.told.Load() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-session.CloseChan():
			return yamux.ErrSessionShutdown
		case <-l.wake:
		}
	}
	return nil
}

// Wake has what changed told to all peers at once. It is for news that can not
// wait, such as a new revision of the settings.
func (e *Exchange) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.peers {
		wakeUp(l.wake)
	}
}

// rowsDelay is how long rows with news wait for others that come with them: after a
// start or a loss of many boxes, each box has several rows to pass on within a few
// milliseconds. News crosses a fleet of 300 boxes in four or five hops, so this delays
// it by a quarter of a second.
const rowsDelay = 50 * time.Millisecond

// WakeSoon has what changed told to all peers within rowsDelay.
func (e *Exchange) WakeSoon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.peers {
		wakeUp(l.soon)
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

// sendUpdates sends everything once and then what changed, at least a heartbeat in
// each heartbeat interval, until the peer is no longer to be told.
func (e *Exchange) sendUpdates(ctx context.Context, stream net.Conn, l *link) error {
	timing := e.Box.Exchange
	encoder := newEncoder()
	hello := &peerpb.Opening{Purpose: &peerpb.Opening_Hello{Hello: e.hello()}}
	if err := send(stream, hello, timing.Lapse.Duration); err != nil {
		return err
	}
	lastSent := time.Time{}
	mark := uint64(0)
	for l.told.Load() {
		state := e.Teller.State()
		state.Chosen = l.chosen.Load()
		if e.RowTeller != nil {
			state.Rows, mark = e.RowTeller.Rows(mark, l.name)
		}
		update, changed := encoder.encode(state)
		if changed || time.Since(lastSent) >= timing.Heartbeat.Duration {
			if err := send(stream, update, timing.Lapse.Duration); err != nil {
				return err
			}
			lastSent = time.Now()
		}
		if err := e.awaitNews(ctx, l); err != nil {
			return err
		}
	}
	return nil
}

// awaitNews waits for the time of the next update.
func (e *Exchange) awaitNews(ctx context.Context, l *link) error {
	timer := time.NewTimer(interval.Jittered(e.Box.Exchange.Interval.Duration))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-l.wake:
		return nil
	case <-l.soon:
		return interval.WaitOr(ctx, rowsDelay, l.wake)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// coreGrain is the part of a core in which boxes tell their processor time.
const coreGrain = 1000

// Self introduces this process.
func (e *Exchange) Self() Sender {
	return Sender{
		Box:             e.Box.Name,
		Zone:            e.Box.Zone,
		Incarnation:     e.Incarnation,
		OperatorAddress: e.Box.OperatorAddress,
		PeerAddress:     e.Box.PeerAddress,
		Cores:           e.Cores,
	}
}

func (e *Exchange) hello() *peerpb.Hello { return helloOf(e.Self()) }

// Fetch asks peers for settings of at least a revision, one after the other,
// the named one first, and returns the first that has them.
func (e *Exchange) Fetch(first string, revision uint64) (found uint64, content []byte, err error) {
	defer func() { err = trace.Wrap(err, "fetching settings from peers") }()
	for _, l := range e.links(first) {
		found, content, err := e.FetchFrom(l.name, revision)
		if err == nil {
			return found, content, nil
		}
	}
	return 0, nil, trace.NotFound("no reachable peer has revision %d", revision)
}

// FetchFrom asks one peer for settings of at least a revision.
func (e *Exchange) FetchFrom(box string, revision uint64) (found uint64, content []byte, err error) {
	defer func() { err = trace.Wrap(err, "fetching settings from %s", box) }()
	session := e.session(box)
	if session == nil {
		return 0, nil, trace.NotFound("no session to the peer")
	}
	snapshot, err := e.fetchFrom(session, &peerpb.SnapshotRequest{Revision: revision})
	if err != nil {
		return 0, nil, err
	}
	if snapshot.Revision < revision || snapshot.Revision == 0 {
		return 0, nil, trace.NotFound("the peer has revision %d, not %d", snapshot.Revision, revision)
	}
	return snapshot.Revision, snapshot.Content, nil
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

// FetchDirectory asks one peer for what changed of the endpoints after a version.
func (e *Exchange) FetchDirectory(from string, since uint64) (directory *peerpb.Directory, err error) {
	defer func() { err = trace.Wrap(err, "fetching the directory from %s", from) }()
	session := e.session(from)
	if session == nil {
		return nil, trace.NotFound("no session to the peer")
	}
	snapshot, err := e.fetchFrom(session, &peerpb.SnapshotRequest{Directory: true, Since: since})
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

// fetchTimeout bounds a fetch from one peer, before another one is asked. Some hundred
// kilobytes take milliseconds; a box that is short of processor time may take half a
// second.
const fetchTimeout = time.Second

func (e *Exchange) fetchFrom(session *yamux.Session, request *peerpb.SnapshotRequest) (snapshot *peerpb.Snapshot, err error) {
	stream, err := session.Open()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	timeout := fetchTimeout
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
