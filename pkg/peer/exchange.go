// Package peer exchanges state between the boxes of a fleet. Each box opens a session to each
// contact that it is given and sends its updates over it. The package keeps no state that
// another box depends on.
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

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/settings"
)

// StateSource provides what this box sends to its peers.
type StateSource interface {
	// State returns the current state. It is called for each peer and message.
	State() State
	// Snapshot returns the settings in force; revision 0 means that there are none.
	Snapshot() (revision uint64, content []byte)
}

// DirectorySource provides the endpoints that this box knows.
type DirectorySource interface {
	// Directory returns the endpoints that changed after a version of the store.
	Directory(since uint64) *peerpb.Directory
}

// OrdersSource provides the operator's orders in force.
type OrdersSource interface {
	// Orders returns nil if the orders are not known.
	Orders() *route.Orders
}

// RowSource provides the status rows of the boxes.
type RowSource interface {
	// Rows returns the rows that changed since a mark, without those that the box named by to
	// has sent itself. The first mark of a stream is 0, the next one is the mark returned.
	Rows(since uint64, to string) (rows []Row, mark uint64)
}

// EndSource provides records of endpoints that ended while they ran a request.
type EndSource interface {
	// EndsSince returns the records that changed since a mark, without those that the box named by
	// to has sent itself. The first mark of a stream is 0, the next one is the mark returned.
	EndsSince(since uint64, to string, now time.Time) (ends []quarantine.End, mark uint64)
	// MostSevere returns the records that a box needs before it sends any request: those of the
	// requests under which the most endpoints ended.
	MostSevere(now time.Time) []quarantine.End
}

// DepartureSource provides the endpoints that stated in a response that they leave.
type DepartureSource interface {
	// Departures returns the departures that changed since a mark, without those that the box
	// named by to has sent itself. The first mark of a stream is 0, the next one is the mark
	// returned.
	Departures(since uint64, to string, now time.Time) (departures []lifecycle.Departure, mark uint64)
}

// RolloutSource provides this box's tallies of roll-outs.
type RolloutSource interface {
	// RolloutTally returns nil if there is no roll-out of the service.
	RolloutTally(service string) *peerpb.RolloutTally
}

// OriginReplica holds the origins of streams of other boxes.
type OriginReplica interface {
	// AddOrigins records origins of another box's streams.
	AddOrigins(origins []continuation.Origin)
	// FindOrigin returns what this box knows of the release of a service that began a stream.
	FindOrigin(key continuation.Key, service string) OriginAnswer
}

// DispatchServer serves the routers that request engines from this box.
type DispatchServer interface {
	// ServeDispatch serves one stream for a group of engines until it ends.
	ServeDispatch(from Sender, group string, stream *DispatchStream) error
}

// Handler receives the updates of peers.
type Handler interface {
	// HandleUpdate handles one update. The first update of a stream has first set and holds the
	// whole state of the peer.
	HandleUpdate(from Sender, state State, first bool)
	// HandlePeerLost is called when the last update stream of a peer has ended. It must not
	// call the Exchange, whose lock is held.
	HandlePeerLost(from Sender)
}

// Exchange runs the peer sessions of one box.
type Exchange struct {
	// Box and Incarnation identify this process to its peers.
	Box         settings.Box
	Incarnation uint64
	States      StateSource
	Handler     Handler
	// Directory serves requests for the endpoints; nil rejects them.
	Directory DirectorySource
	// Orders provides the orders that are sent with settings; nil means none.
	Orders OrdersSource
	// Rows provides the rows that are sent with updates; nil means none.
	Rows RowSource
	// RowsDelay is how long SendSoon waits for further changed rows; nil means
	// defaultRowsDelay.
	RowsDelay func() time.Duration
	// Ends provides the records that are sent with updates and settings; nil means none.
	Ends EndSource
	// Departures provides the departures that are sent with updates and settings; nil means
	// none.
	Departures DepartureSource
	// Rollouts serves requests for roll-out tallies; nil rejects them.
	Rollouts RolloutSource
	// Origins keeps the origins of streams; nil rejects them.
	Origins OriginReplica
	// Dispatch serves routers that request engines; nil rejects them.
	Dispatch DispatchServer
	Log      *zap.Logger
	// Cores is the processor time available to this box, in cores; 0 means unknown.
	Cores float64
	// TLS encrypts and authenticates the sessions; nil means plain TCP.
	TLS *tls.Config
	// Dial opens the connections to other boxes; nil means TCP, with TLS if that is set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Traffic counts the bytes sent and received.
	Traffic Traffic

	mu    sync.Mutex
	links map[string]*link
	// streams counts the open update streams by the sender's incarnation. A peer that opens a
	// new stream before its old one times out is not lost.
	streams map[uint64]int
	group   *errgroup.Group
	ctx     context.Context
}

// Run serves peers on the listener and keeps a session to each contact until the context ends.
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

// coreUnits is the number of units per core in which processor time is sent.
const coreUnits = 1000

// Self returns the description of this process that is sent to peers.
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

// sessionConfig disables the keepalive of yamux: the updates serve as heartbeats.
func (e *Exchange) sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = e.Box.Exchange.Lapse.Duration
	config.StreamOpenTimeout = e.Box.Exchange.Lapse.Duration
	config.LogOutput = io.Discard
	return config
}
