package pool

import "time"

// Ticket is one request's place in a pool. The exported fields are set before
// Submit and not changed after; the rest belongs to the schedule.
type Ticket struct {
	// ID is the request's id, for logs.
	ID string
	// Customer owns the request; the schedule knows it by its settings.
	Customer string
	// Class is the request's class, and Quick whether the class is quick.
	Class string
	Quick bool
	// InputTokens is the estimated length of the prompt.
	InputTokens float64
	// MaxOutputTokens is the limit the caller set; 0 means none.
	MaxOutputTokens float64
	// Affinity is a hash of the prompt's beginning; requests with the same
	// value prefer the same endpoint. 0 means no preference.
	Affinity uint64
	// Arrived is when the request was received.
	Arrived time.Time
	// Streamed tells that the answer comes in pieces, so that its first piece
	// shows that the endpoint has begun.
	Streamed bool
	// Granted receives one value when an endpoint has room. Capacity 1.
	Granted chan struct{}

	// Endpoint and Priority are set by the schedule before Granted is sent.
	Endpoint *Endpoint
	// Priority is what the engine orders its queue by, lower first.
	Priority int

	tried             map[string]bool
	phase             phase
	started           bool
	sentAt            time.Time
	estimate          float64
	remainingEstimate float64
	served            float64
}

// phase is where a ticket stands in the schedule.
type phase int

const (
	idle phase = iota
	waiting
	running
	finished
)

// Outcome is how an attempt at an endpoint ended: one of Answered, Failed,
// Declined, Moved and Abandoned.
type Outcome interface {
	outcome()
}

// Answered means that the endpoint gave its whole answer.
type Answered struct {
	// InputTokens and OutputTokens are the true cost; for plain services 0.
	InputTokens  float64
	OutputTokens float64
	// Known tells that the endpoint gave the true cost. Otherwise what was
	// counted while streaming stands.
	UsageKnown bool
}

// Failed means that the endpoint could not be reached or broke off.
type Failed struct{}

// Declined means that the endpoint proved that it ran nothing, and why: it is
// leaving, or it is full.
type Declined struct {
	Leaving bool
}

// Moved means that the request waited in the endpoint's queue while another
// endpoint had a free slot, and was taken back to go there.
type Moved struct{}

// Abandoned means that the caller went away or its deadline passed.
type Abandoned struct{}

func (Answered) outcome()  {}
func (Failed) outcome()    {}
func (Declined) outcome()  {}
func (Moved) outcome()     {}
func (Abandoned) outcome() {}
