package settings

import "time"

// Fleet is what the whole fleet has in common, resolved from the tree: every
// entry holds its final values, with defaults and inherited values filled in.
type Fleet struct {
	// Classes are the classes of requests, by name.
	Classes map[string]Class
	// Customers are by name.
	Customers map[string]Customer
	// Pools are the groups of endpoints that requests are routed to, by name.
	Pools map[string]Pool
}

// Class is a kind of request with its own precedence in a pool.
type Class struct {
	// Quick requests go before others and may use the slots held back for
	// them, as long as their customer is within its share.
	Quick bool
	// MaxOutputTokens is the largest output limit of a request that falls in
	// the class without naming it; 0 means that the class must be named.
	MaxOutputTokens int
}

// Customer is one customer of the operator.
type Customer struct {
	// Share is the customer's weight in every pool; twice the share is twice
	// the service while both are backlogged. It is above 0.
	Share float64
	// KeyHashes are the SHA-256 hashes, in hex, of the bearer keys.
	KeyHashes []string
	// QueueLength bounds the requests that wait at one box.
	QueueLength int
	// Unsettled bounds the estimated cost, in weighted tokens, of what one box
	// has running for the customer; one request is always allowed.
	Unsettled float64
	// Pools are the pools the customer may use; empty means all.
	Pools []string
}

// PoolKind says what the endpoints of a pool are.
type PoolKind string

// The kinds of pools.
const (
	ModelPool PoolKind = "model"
	PlainPool PoolKind = "plain"
)

// SlotPolicy says how routers share the slots of an endpoint.
type SlotPolicy string

// The slot policies.
const (
	// FixedSlots gives each live router an equal part.
	FixedSlots SlotPolicy = "fixed"
	// BacklogSlots gives each router a part that follows its demand.
	BacklogSlots SlotPolicy = "backlog"
	// SlackSlots lets each router keep a few requests waiting at an engine,
	// whose priority queue puts them in order.
	SlackSlots SlotPolicy = "slack"
)

// OrderPolicy says who is served next.
type OrderPolicy string

// The order policies.
const (
	// ShareOrder serves the customer that is furthest behind its share.
	ShareOrder OrderPolicy = "share"
	// ArrivalOrder serves first come, first served; the baseline.
	ArrivalOrder OrderPolicy = "arrival"
)

// Pool is a group of like endpoints.
type Pool struct {
	// Kind is model or plain.
	Kind PoolKind
	// Models are the model names that lead to a model pool.
	Models []string
	// Paths are the path prefixes that lead to a plain pool.
	Paths []string
	// Endpoints are by name.
	Endpoints map[string]Endpoint
	// InputWeight and OutputWeight turn tokens into service.
	InputWeight  float64
	OutputWeight float64
	// Order says who is served next.
	Order OrderPolicy
	// SlotPolicy says how routers share the slots of an endpoint.
	SlotPolicy SlotPolicy
	// Slack is the number of requests that one router lets wait at one engine.
	Slack int
	// QuickSlots are the slots of each endpoint that only quick classes use.
	QuickSlots int
	// MergeBound is the furthest, in weighted tokens for a share of 1, that the
	// news of a router that was out of reach may put a customer ahead of the one
	// furthest behind, and the furthest that credit reaches. 0 means that it is
	// derived from the pool's slots.
	MergeBound float64
	// ReportPath is asked for an endpoint's load; empty means never.
	ReportPath string
	// ReportInterval is the time between two looks at an endpoint's load.
	ReportInterval Duration
	// ConnectTimeout bounds connecting to an endpoint.
	ConnectTimeout Duration
	// StallTimeout is the longest silence in the middle of an answer.
	StallTimeout Duration
	// EjectAfter is the number of failures in a row that eject an endpoint.
	EjectAfter int
	// EjectFor is how long an ejected endpoint gets no work; it doubles while
	// probes fail, up to 16 times.
	EjectFor Duration
	// RetryBudget is the part of successes that retries may add.
	RetryBudget float64
	// PriorityField is the member of a model request's body that carries the
	// engine's priority, lower first; empty means that there is none.
	PriorityField string
	// NotRunHeader is set by an endpoint that refuses a request and proves that
	// it ran nothing; empty means that no endpoint can prove it.
	NotRunHeader string
	// LeavingHeader is set by an endpoint that takes no new work.
	LeavingHeader string
	// CustomerHeader tells the endpoint whose request it is; empty means not.
	CustomerHeader string
	// NotRepeatable are the methods and path prefixes, such as
	// "POST /bookings", of calls that must run at most once.
	NotRepeatable []string
	// KeyHeader names the header with the caller's idempotency key.
	KeyHeader string
	// OutcomeRetention is how long an idempotency key is remembered.
	OutcomeRetention Duration
}

// Endpoint is one server of a pool.
type Endpoint struct {
	// Address is its IP and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Slots is the number of requests it runs at once.
	Slots int
	// Leaving endpoints get no new work.
	Leaving bool
}

// Defaults are the values that a branch of the tree gives to entries in it.
type Defaults struct {
	Class    Class
	Customer Customer
	Pool     Pool
	Endpoint Endpoint
}

// DefaultDefaults returns what holds where no branch says otherwise.
func DefaultDefaults() Defaults {
	return Defaults{
		Customer: Customer{
			Share:       1,
			QueueLength: 256,
			Unsettled:   200000,
		},
		Pool: Pool{
			Kind:             ModelPool,
			InputWeight:      1,
			OutputWeight:     2,
			Order:            ShareOrder,
			SlotPolicy:       SlackSlots,
			Slack:            1,
			ReportPath:       "/load",
			ReportInterval:   Duration{Duration: 500 * time.Millisecond},
			ConnectTimeout:   Duration{Duration: 500 * time.Millisecond},
			StallTimeout:     Duration{Duration: 30 * time.Second},
			EjectAfter:       3,
			EjectFor:         Duration{Duration: 2 * time.Second},
			RetryBudget:      0.1,
			PriorityField:    "priority",
			NotRunHeader:     "X-Not-Run",
			LeavingHeader:    "X-Leaving",
			CustomerHeader:   "X-Customer",
			KeyHeader:        "Idempotency-Key",
			OutcomeRetention: Duration{Duration: 24 * time.Hour},
		},
		Endpoint: Endpoint{Slots: 16},
	}
}
