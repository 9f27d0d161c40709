package peer

import (
	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// Sender identifies the box that sent a message.
type Sender struct {
	Box         string
	Zone        string
	Incarnation uint64
	// OperatorAddress is where operators connect to the box.
	OperatorAddress string
	// PeerAddress is where other boxes connect to it.
	PeerAddress string
	// Cores is the processor time available to the box, in cores; 0 means unknown.
	Cores float64
}

// Row is the status that a box reports of itself. Other boxes forward it unchanged.
type Row struct {
	Sender
	// Sequence rises with each change that the box makes to its row.
	Sequence uint64
	// Leaving is set once the box stops accepting work.
	Leaving bool
	// Configured is set once the box has settings in force.
	Configured bool
	// StoreLost is set while the box's calls of the platform's store fail.
	StoreLost bool
	// Heard holds the boxes from which this one receives updates, by ShortIncarnation.
	Heard []uint32
}

// ShortIncarnation returns the lower half of an incarnation, by which rows name other boxes:
// these make up most of a row's bytes. Two of 2,000 boxes share a short incarnation in 1 of
// 2,000 fleets; one of them then counts as alive while the other one is.
func ShortIncarnation(incarnation uint64) uint32 { return uint32(incarnation) }

// Contact is a box to which a session is kept.
type Contact struct {
	// Address is where other boxes connect to the box.
	Address string
	// ReceivesUpdates is set if the contact is sent this box's updates; otherwise the session is
	// kept for requests only.
	ReceivesUpdates bool
	// Chosen is set if this box chose the contact itself. It is not set if this box sends
	// updates merely because the contact chose this box. Each update carries the value.
	Chosen bool
}

// State is what one box sends to the others.
type State struct {
	// Revision is the revision of the settings in force.
	Revision uint64
	// Leaving is set once the box stops accepting work.
	Leaving bool
	// Directory is the highest version of any known endpoint entry.
	Directory epoch.Version
	// Knowledge is how much the box knows of the endpoints.
	Knowledge route.Knowledge
	// Orders is the version of the operator's orders in force; 0 means that they are not known.
	Orders epoch.Version
	// Chosen is set if the box chose to keep the session itself. The Exchange sets it.
	Chosen bool
	// Rows are the status rows of boxes. A received state holds the changed ones only.
	Rows []Row
	// Ends are records of endpoints that ended while they ran a request. A received state holds
	// the changed ones only.
	Ends []quarantine.End
	// Departures are endpoints that stated in a response that they leave. A received state
	// holds the changed ones only.
	Departures []lifecycle.Departure
	// Rollouts are the verdicts on roll-outs, sorted by service.
	Rollouts []rollout.VerdictReport
	// Releases are the releases in use. A received state holds them only if they changed; its
	// Releases.Version is then not 0.
	Releases continuation.Summary
	// Pools are by name. A received state holds the changed ones only.
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
	// Lead is how far the customer is ahead of the backlogged customer that is furthest behind.
	// It is sent in first updates only.
	Lead uint64
}
