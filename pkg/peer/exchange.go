// Package peer carries what the boxes of a fleet tell each other, over sessions
// that a box opens to the contacts it is given; it keeps nothing that another box
// depends on.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Teller gives what this box tells its peers.
type StateSource interface {
	// State is how things stand now. It is called for each peer and message.
	State() State
	// Snapshot is the settings in force; revision 0 means none.
	Snapshot() (revision uint64, content []byte)
}

// DirectoryTeller gives peers what this box knows of the endpoints.
type DirectorySource interface {
	// Directory holds what changed after a version of the store.
	Directory(since uint64) *peerpb.Directory
}

// OrdersTeller gives peers the operator's orders in force.
type OrdersSource interface {
	// Orders are nil where they are not known.
	Orders() *route.Orders
}

// RowTeller gives peers what boxes say of themselves.
type RowSource interface {
	// Rows are those with news since a mark, but for what the named box told
	// itself. The first mark of a stream is 0; the next is the one returned.
	Rows(since uint64, to string) (rows []Row, mark uint64)
}

// EndTeller gives peers accounts of endpoints that ended while they ran a request.
type EndSource interface {
	// Since are those with news since a mark, but for what the named box told itself. The
	// first mark of a stream is 0; the next is the one returned.
	Since(since uint64, to string, now time.Time) (ends []quarantine.End, mark uint64)
	// Gravest are those that a box has to know before it sends anything.
	MostSevere(now time.Time) []quarantine.End
}

// DepartureTeller gives peers the endpoints that said in an answer that they leave.
type DepartureSource interface {
	// Departures are those with news since a mark, but for what the named box told itself.
	// The first mark of a stream is 0; the next is the one returned.
	Departures(since uint64, to string, now time.Time) (told []lifecycle.Departure, mark uint64)
}

// RolloutTeller gives peers what this box saw of a roll-out.
type RolloutSource interface {
	// RolloutTally is nil where there is none of the service.
	RolloutTally(service string) *peerpb.RolloutTally
}

// DispatchServer answers routers that ask this box for engines.
type DispatchServer interface {
	// ServeDispatch serves a stream until it breaks.
	ServeDispatch(from Sender, service string, stream *DispatchStream) error
}

// Listener takes what peers tell.
type Handler interface {
	// Heard takes a message. First marks the first one of a stream, which
	// holds everything that the peer knows.
	HandleUpdate(from Sender, news State, first bool)
	// Silent reports that the peer's streams have ended. It must not call the
	// Exchange.
	HandlePeerLost(from Sender)
}

// Exchange runs the sessions of one box.
type Exchange struct {
	// Box and Incarnation introduce this process.
	Box         settings.Box
	Incarnation uint64
	States      StateSource
	Handler     Handler
	// Directory answers peers that ask for the endpoints; nil refuses them.
	Directory DirectorySource
	// Orders gives the orders that go with settings; nil means none.
	Orders OrdersSource
	// RowTeller gives the rows that go with states; nil means none.
	Rows RowSource
	// RowsDelay is how long rows with news wait for others; nil stands for a default.
	RowsDelay func() time.Duration
	// EndTeller gives the accounts that go with states and settings; nil means none.
	Ends EndSource
	// DepartureTeller gives those that go with states and settings; nil means none.
	Departures DepartureSource
	// Rollouts answers boxes that decide on them; nil refuses them.
	Rollouts RolloutSource
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
	links map[string]*link
	// heard counts the open streams of each sender. A peer that opens a new one
	// before the old one lapses is not silent.
	streams map[uint64]int
	group   *errgroup.Group
	ctx     context.Context
}

// Run serves peers on the listener and keeps a session to each known peer,
// until the context ends.
func (e *Exchange) Run(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = trace.Wrap(err, "exchanging with peers") }()
	group, ctx := errgroup.WithContext(ctx)
	e.mu.Lock()
	e.group = group
	e.ctx = ctx
	e.links = map[string]*link{}
	e.streams = map[uint64]int{}
	e.mu.Unlock()
	e.SetContacts(ContactsOf(e.Box.Peers))
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error { return e.accept(ctx, group, listener) })
	return group.Wait()
}

// coreGrain is the part of a core in which boxes tell their processor time.
const coreUnits = 1000

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

func (e *Exchange) hello() *peerpb.Hello { return encodeSender(e.Self()) }

// sessionConfig turns the library's own heartbeats off; ours carry news.
func (e *Exchange) sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = e.Box.Exchange.Lapse.Duration
	config.StreamOpenTimeout = e.Box.Exchange.Lapse.Duration
	config.LogOutput = io.Discard
	return config
}
