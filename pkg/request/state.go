// Package request tracks one request as a state machine. Only this package decides whether a
// refusal may state that nothing was run.
package request

import "fmt"

// State is the progress of a request. It only moves forward, unless a failed attempt requeues
// the request.
type State int

// The states of a request, in order.
const (
	// Received: identified and accepted for routing.
	Received State = iota
	// Claimed: the claim of its idempotency key is confirmed.
	Claimed
	// Queued: waiting for capacity at an endpoint.
	Queued
	// Sending: a byte may have been sent to an endpoint.
	Sending
	// Sent: the whole request was written.
	Sent
	// Responding: the header of a response was read.
	Responding
	// Settled: the final response is decided.
	Settled
)

var stateNames = [...]string{"received", "claimed", "queued", "sending", "sent", "responding", "settled"}

// String returns the state's name for logs and tables.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// RunStatus states whether an endpoint is known to have run a request.
type RunStatus string

// The values of the header Quaylead-Run.
const (
	NotRun  RunStatus = "not-run"
	Unknown RunStatus = "unknown"
	DidRun  RunStatus = "run"
)

// TransitionError reports a transition that the state machine does not allow.
type TransitionError struct {
	From, To State
}

// Error names both states.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("request cannot go from %s to %s", e.From, e.To)
}

// Lifecycle is the state machine of one request. Its zero value is a request that was just
// received. It is not safe for concurrent use.
type Lifecycle struct {
	state State
	// attempts counts the endpoints to which a byte may have been sent.
	attempts int
	// unproven counts the attempts whose endpoint has not proved that it ran nothing. Only the
	// latest attempt can be proved, so it decreases by at most one for each attempt.
	unproven int
	// provable is set while the latest attempt can still be proved not to have run.
	provable bool
}

// State returns the state of the request.
func (l *Lifecycle) State() State {
	return l.state
}

// Attempts returns the number of endpoints that the request was sent to.
func (l *Lifecycle) Attempts() int {
	return l.attempts
}

// Advance moves the request to a later state. Sent and Responding are only allowed during an
// attempt.
func (l *Lifecycle) Advance(to State) error {
	if to <= l.state {
		return &TransitionError{From: l.state, To: to}
	}
	if (to == Sent || to == Responding) && l.state < Sending {
		return &TransitionError{From: l.state, To: to}
	}
	if to == Sending {
		l.attempts++
		l.unproven++
		l.provable = true
	}
	l.state = to
	return nil
}

// ProveNotRun records that the endpoint of the latest attempt ran nothing: no byte of the
// request was sent, or the endpoint stated it in a way that proves it.
func (l *Lifecycle) ProveNotRun() {
	if l.provable {
		l.provable = false
		l.unproven--
	}
}

// Requeue returns a request to the queue after a failed attempt. A request that must not be
// repeated is only requeued if every attempt is proved not to have run.
func (l *Lifecycle) Requeue(repeatable bool) error {
	if l.state < Sending || l.state >= Settled {
		return &TransitionError{From: l.state, To: Queued}
	}
	if l.unproven > 0 && !repeatable {
		return &TransitionError{From: l.state, To: Queued}
	}
	l.provable = false
	l.state = Queued
	return nil
}

// RunStatus returns what a refusal may state about the request at this point.
func (l *Lifecycle) RunStatus() RunStatus {
	if l.unproven > 0 {
		return Unknown
	}
	return NotRun
}
