package settings

import "time"

// Fleet holds the settings that all boxes share, resolved from the tree: every
// entry holds its final values, with defaults and inherited values filled in.
type Fleet struct {
	// Classes are the classes of requests, by name.
	Classes map[string]Class
	// Customers are the operator's customers, by name.
	Customers map[string]Customer
	// Pools are the groups of endpoints that requests are routed to, by name.
	Pools map[string]Pool
}

// Class is a kind of request with its own precedence in a pool.
type Class struct {
	// Quick requests go before others and may use the slots reserved for them,
	// as long as their customer is within its share.
	Quick bool
	// MaxOutputTokens is the largest output limit of a request that is put in
	// the class without naming it; 0 means that requests must name the class.
	MaxOutputTokens int
}

// Customer is one customer of the operator.
type Customer struct {
	// Share is the customer's weight in every pool: twice the share gets twice
	// the service while both customers are backlogged. It is above 0.
	Share float64
	// KeyHashes are the SHA-256 hashes, in hex, of the bearer keys.
	KeyHashes []string
	// QueueLength bounds the requests that wait at one box.
	QueueLength int
	// Unsettled bounds the estimated cost, in weighted tokens, of the requests
	// that one box has running for the customer; one request is always allowed.
	Unsettled float64
	// Pools are the pools the customer may use; empty means all.
	Pools []string
}

// PoolKind is the kind of a pool's endpoints.
type PoolKind string

// The kinds of pools: engines that run models, and other HTTP services.
const (
	ModelPool PoolKind = "model"
	PlainPool PoolKind = "plain"
)

// SlotPolicy determines how routers divide the slots of an endpoint.
type SlotPolicy string

// The slot policies.
const (
	// FixedSlots gives each live router the same number of slots.
	FixedSlots SlotPolicy = "fixed"
	// BacklogSlots gives each router slots in proportion to its demand.
	BacklogSlots SlotPolicy = "backlog"
	// SlackSlots lets each router keep a few requests waiting at an engine,
	// whose priority queue orders them.
	SlackSlots SlotPolicy = "slack"
)

// OrderPolicy determines which request is served next.
type OrderPolicy string

// The order policies.
const (
	// ShareOrder serves the customer that is furthest behind its share.
	ShareOrder OrderPolicy = "share"
	// ArrivalOrder serves first come, first served; it is the baseline that
	// ShareOrder is compared with.
	ArrivalOrder OrderPolicy = "arrival"
)

// Pool is a group of endpoints that serve the same requests.
type Pool struct {
	// Kind is model or plain.
	Kind PoolKind
	// Models are the model names that are routed to a model pool.
	Models []string
	// Paths are the path prefixes that are routed to a plain pool.
	Paths []string
	// Endpoints are the pool's endpoints, by name.
	Endpoints map[string]Endpoint
	// InputWeight and OutputWeight convert tokens to service.
	InputWeight  float64
	OutputWeight float64
	// Order determines which request is served next.
	Order OrderPolicy
	// SlotPolicy determines how routers divide the slots of an endpoint.
	SlotPolicy SlotPolicy
	// Slack is the number of requests that one router may keep waiting at one
	// engine.
	Slack int
	// QuickSlots is the number of slots of each endpoint that only quick classes
	// use.
	QuickSlots int
	// MergeBound is the maximum, in weighted tokens for a share of 1, by which
	// the updates of a router that was out of reach may put a customer ahead of
	// the one furthest behind. It also bounds the credit of a customer. 0 means
	// that it is derived from the pool's slots.
	MergeBound float64
	// ReportPath is the URL path of an endpoint's load report; empty means that
	// the load is not read.
	ReportPath string
	// ReportInterval is the time between two reads of an endpoint's load.
	ReportInterval Duration
	// ConnectTimeout bounds connecting to an endpoint.
	ConnectTimeout Duration
	// StallTimeout is the longest pause in the middle of a response.
	StallTimeout Duration
	// EjectAfter is the number of consecutive failures that eject an endpoint.
	EjectAfter int
	// EjectFor is how long an ejected endpoint gets no work. It doubles with
	// each failed probe, up to 16 times EjectFor.
	EjectFor Duration
	// RetryBudget is the number of retries that each success allows, from 0 to 1.
	RetryBudget float64
	// PriorityField is the member of a model request's JSON body that carries
	// the engine's priority, lower first; empty means that none is sent.
	PriorityField string
	// NotRunHeader is the response header by which an endpoint that refuses a
	// request proves that it ran nothing; empty means that no endpoint can prove
	// it.
	NotRunHeader string
	// LeavingHeader is the response header by which an endpoint reports that it
	// takes no new work.
	LeavingHeader string
	// CustomerHeader is the request header that names the customer to the
	// endpoint; empty means that it is not sent.
	CustomerHeader string
	// NotRepeatable are the methods and path prefixes, such as
	// "POST /bookings", of calls that must run at most once.
	NotRepeatable []string
	// KeyHeader is the request header with the caller's idempotency key.
	KeyHeader string
	// OutcomeRetention is how long an idempotency key is kept.
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
	// Leaving marks an endpoint that gets no new work.
	Leaving bool
}

// Defaults are the values that a branch of the tree sets for the entries in it.
type Defaults struct {
	Class    Class
	Customer Customer
	Pool     Pool
	Endpoint Endpoint
}

// BuiltinDefaults returns the defaults that apply where no branch sets others.
func BuiltinDefaults() Defaults {
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
