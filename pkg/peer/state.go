package peer

import (
	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

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
	// StoreLost is set while its calls of the platform's store fail.
	StoreLost bool
	// Heard are the boxes that tell this one of themselves, by ShortIncarnation.
	Heard []uint32
}

// ShortIncarnation is what rows name a box by: they are many, and most of their bytes
// are these. Of 2,000 boxes two have the same one in 1 of 2,000 fleets; the one is then
// taken for alive while the other is.
func ShortIncarnation(incarnation uint64) uint32 { return uint32(incarnation) }

// Contact is a box to which a session is kept.
type Contact struct {
	// Address is where the box is reached by others.
	Address string
	// Told contacts get this box's news; to others the session is kept for asking.
	SendsUpdates bool
	// Chosen tells a told contact that it is not told for its own sake only.
	Chosen bool
}

// State is what one box tells the others.
type State struct {
	// Revision is the revision of the settings in force.
	Revision uint64
	// Leaving is set once the box stops taking work.
	Leaving bool
	// Directory is the highest version of an account of an endpoint.
	Directory epoch.Version
	// Knowledge is how much is known of the endpoints.
	Knowledge route.Knowledge
	// Orders is the version of the operator's orders in force; 0 means that they are not
	// known.
	Orders epoch.Version
	// Chosen is set where the box keeps the session by its own choice. It is set
	// by the exchange.
	Chosen bool
	// Rows are what boxes say of themselves; in a received state, what is news.
	Rows []Row
	// Ends are accounts of endpoints that ended; in a received state, what is news.
	Ends []quarantine.End
	// Departures are endpoints that said in an answer that they leave; in a received state,
	// what is news.
	Departures []lifecycle.Departure
	// Rollouts are what was decided of roll-outs, by service in order.
	Rollouts []rollout.Word
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
