// Package request is the life of one request as a state machine. It is the
// only place that decides whether a refusal may say that nothing was run.
package request

import "fmt"

// State is how far a request has come. States only move forward.
type State int

// The states of a request, in order.
const (
	// Received: identified and accepted for routing.
	Received State = iota
	// Claimed: the claim of its idempotency key is confirmed.
	Claimed
	// Queued: waiting for room at an endpoint.
	Queued
	// Sending: a byte may have left for an endpoint.
	Sending
	// Sent: the whole request was written.
	Sent
	// Answering: the head of an answer was read.
	Answering
	// Settled: the final answer is decided.
	Settled
)

var stateNames = [...]string{"received", "claimed", "queued", "sending", "sent", "answering", "settled"}

// String gives the state's name as logs and tables show it.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Run is what is known of whether an endpoint ran a request.
type RunStatus string

// What the header Quaylead-Run says.
const (
	NotRun  RunStatus = "not-run"
	Unknown RunStatus = "unknown"
	DidRun  RunStatus = "run"
)

// OrderError reports a step that the state machine does not allow.
type TransitionError struct {
	From, To State
}

// Error names both states.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("request cannot go from %s to %s", e.From, e.To)
}

// Life is where one request stands. Its zero value is a request just received.
// One goroutine at a time uses it.
type Lifecycle struct {
	state State
	// attempts counts the endpoints that a byte may have left for.
	attempts int
	// unproven counts the attempts whose endpoint has not proved that it ran
	// nothing. Only the latest attempt can be proved, so it never falls by more
	// than one for each attempt.
	unproven int
	// provable is set while the latest attempt may still be proved.
	provable bool
}

// State returns where the request stands.
func (l *Lifecycle) State() State {
	return l.state
}

// Attempts returns the number of endpoints that the request was sent to.
func (l *Lifecycle) Attempts() int {
	return l.attempts
}

// Advance moves the request forward, and an attempt forward through its states.
func (l *Lifecycle) Advance(to State) error {
	if to <= l.state {
		return &TransitionError{From: l.state, To: to}
	}
	if (to == Sent || to == Answering) && l.state < Sending {
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

// Prove notes that the endpoint of the latest attempt ran nothing: no byte of
// the request left, or the endpoint said so in a way that proves it.
func (l *Lifecycle) ProveNotRun() {
	if l.provable {
		l.provable = false
		l.unproven--
	}
}

// Return puts a request back into the queue after a failed attempt. A request
// that may not be repeated returns only if every attempt is proved not run.
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

// Run tells what a refusal at this point may say of the request.
func (l *Lifecycle) RunStatus() RunStatus {
	if l.unproven > 0 {
		return Unknown
	}
	return NotRun
}
