package pool

import "time"

// Ticket is one request in a pool. The exported fields down to Granted are set
// before Submit and not changed after; the rest belongs to the schedule.
type Ticket struct {
	// ID is the request's ID, for logs.
	ID string
	// Customer owns the request; the schedule has the settings of this name.
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
	// Streamed is set when the response is streamed, so that its first piece
	// shows that the endpoint has begun.
	Streamed bool
	// Granted receives one value when an endpoint has room. It has capacity 1.
	Granted chan struct{}

	// Endpoint is set by the schedule before Granted receives.
	Endpoint *Endpoint
	// Priority orders the engine's queue, lower first. It is set with Endpoint.
	Priority int

	tried             map[string]bool
	phase             phase
	started           bool
	sentAt            time.Time
	estimate          float64
	remainingEstimate float64
	served            float64
}

// phase is the state of a ticket in the schedule.
type phase int

const (
	idle phase = iota
	waiting
	running
	finished
)

// Outcome is the result of an attempt at an endpoint: one of Completed, Failed,
// Declined, Moved and Abandoned.
type Outcome interface {
	outcome()
}

// Completed means that the endpoint sent its complete response.
type Completed struct {
	// InputTokens and OutputTokens are the actual cost; 0 for plain services.
	InputTokens  float64
	OutputTokens float64
	// UsageKnown is set when the endpoint reported the actual cost. Otherwise
	// the tokens counted while streaming are charged.
	UsageKnown bool
}

// Failed means that the endpoint could not be reached or broke off its
// response.
type Failed struct{}

// Declined means that the endpoint proved that it ran nothing, because it is
// leaving or full.
type Declined struct {
	Leaving bool
}

// Moved means that the request waited in the endpoint's queue while another
// endpoint had a free slot, and was taken back to be sent there.
type Moved struct{}

// Abandoned means that the caller disconnected or its deadline passed.
type Abandoned struct{}

func (Completed) outcome() {}
func (Failed) outcome()    {}
func (Declined) outcome()  {}
func (Moved) outcome()     {}
func (Abandoned) outcome() {}
