// Package dispatch decides, for one pool of model engines or of the endpoints of a plain service,
// which waiting request goes to which engine and when, and which is refused with a time to retry.
// It does no I/O: events are its input and decisions its output, and the time is an argument.
package dispatch

import (
	"strconv"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/rollout"
)

// Part is a piece of a prompt. Requests share parts, except the last one of a prompt, which
// belongs to its request or session.
type Part struct {
	ID     uint64
	Tokens int
}

// String returns the ID in hexadecimal, as callers write it.
func (p Part) String() string { return strconv.FormatUint(p.ID, 16) }

// Prompt describes the work of a request, as far as it is known before the request runs.
type Prompt struct {
	// Parts are in order. An engine that has a part cached can use it only if it also has every
	// part before it.
	Parts []Part
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int
	// HintOutput is the caller's estimate of that number; 0 means none.
	HintOutput int
}

// Tokens returns the length of the prompt.
func (p *Prompt) Tokens() int {
	total := 0
	for _, part := range p.Parts {
		total += part.Tokens
	}
	return total
}

// Shared returns the parts that other requests may have too.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Last returns the part that belongs to the request itself.
func (p *Prompt) Last() Part {
	if len(p.Parts) == 0 {
		return Part{}
	}
	return p.Parts[len(p.Parts)-1]
}

// ExpectedOutput returns the expected number of tokens of the response.
func (p *Prompt) ExpectedOutput() int {
	if p.HintOutput > 0 {
		return min(p.HintOutput, max(p.MaxOutput, 1))
	}
	return max(1, p.MaxOutput/defaultOutputDivisor)
}

// defaultOutputDivisor is the divisor of MaxOutput that estimates the output if the caller gives
// no estimate; responses are seldom as long as they may be.
const defaultOutputDivisor = 2

// Cost returns the cost of the request in tokens: a token read counts once and a token generated
// twice, as in the stated rate of the pool.
func (p *Prompt) Cost() float64 {
	return float64(p.Tokens()) + 2*float64(p.ExpectedOutput())
}

// Request is a request that waits for an engine.
type Request struct {
	ID       string
	Customer string
	// Route is the name of its route. Each route of a customer gets the same fraction of what it
	// requests.
	Route string
	Prompt
	// Stream is the number of the stream on which the request was received. The decision is sent
	// on it, and Pool.DropStream drops the requests of a stream.
	Stream uint64
	// BoxHash is the hash of the name of the box that sent it. OtherGroupUsage is what that
	// box's requests of the customer were granted in other groups of the service.
	BoxHash uint64
	OtherGroupUsage
	// SlotTime is how long it is expected to hold a slot of a plain service; 0 for model engines.
	SlotTime time.Duration
	// Zone is the availability zone of the box that sent it; empty means unknown.
	Zone string
	// Size is the number of bytes of its body.
	Size int
	// Arrived is when the router received it.
	Arrived time.Time
	// LatencyTarget is the time from Arrived within which its first event should come.
	LatencyTarget time.Duration
	// GapTarget is the time within which each further event should come; 0 means none.
	GapTarget time.Duration
	// Deadline is the time after which nobody waits for the response.
	Deadline time.Time
	// Excluded are the endpoints that it must not go to again.
	Excluded []string
	// Zones are the availability zones that it may go to; none means any.
	Zones []string
	// Releases are the software versions of the endpoints that it may go to.
	Releases rollout.VersionFilter
	// Fingerprint identifies repeats of the same request; zero means unknown.
	Fingerprint quarantine.Fingerprint

	// partKeys caches the fingerprints of the shared parts of its prompt.
	partKeys []releasePartKeys
	// cost caches Prompt.Cost.
	cost float64
	// refuseNow requests are refused unless the next Decide grants them.
	refuseNow bool
	// unplaced is set once engines had room, but none that may read the request.
	unplaced bool
	// triedRound is the last round in which an engine was searched for it.
	triedRound uint64
}

// OwnStream is the number of the stream of this box's own requests.
const OwnStream = 0

// Decision is either a Grant or a Refusal.
type Decision interface {
	decision()
}

// Grant sends a request to an engine.
type Grant struct {
	Request  *Request
	Endpoint string
	// Wait is the predicted time until the engine starts to read the prompt.
	Wait time.Duration
	// ReadTime is the predicted time for reading it.
	ReadTime time.Duration
	// MissingTokens are the tokens of shared parts that the engine has to read again.
	MissingTokens int
	// FetchFrom is the ID of the engine from which it can copy cached parts of the prompt that it
	// does not have; empty means none.
	FetchFrom string
	// FetchedTokens are the tokens of shared parts that it is to copy from there.
	FetchedTokens int
	// Rate is the measured rate at which the engine reads prompts, in tokens per second; 0 means
	// unknown.
	Rate float64
}

// Refusal refuses a request, which is to be retried later.
type Refusal struct {
	Request    *Request
	RetryAfter time.Duration
	// OverShare is set if the customer already has its share.
	OverShare bool
	// NoEligibleEngine is set if all engines that may serve the request rest or are leaving.
	NoEligibleEngine bool
	// Queued is the number of requests that waited in the pool.
	Queued int
}

func (Grant) decision()   {}
func (Refusal) decision() {}

// Outcome is how a granted request ended: one of Done, Unused, NotRun, Unreachable, Broken and
// Ended.
type Outcome interface {
	outcome()
}

// Done means that the response was complete, or that the caller went away.
type Done struct{}

// Unused means that the grant came too late, or was not delivered. Nothing was sent to the engine,
// so this does not count as a failure of it.
type Unused struct{}

// NotRun means that the engine refused the request and ran nothing of it.
type NotRun struct{}

// Unreachable means that the engine accepted no connection.
type Unreachable struct{}

// Broken means that the response broke off.
type Broken struct{}

// Ended means that the engine ended while it ran the request.
type Ended struct {
	// End is the ledger entry for it.
	End quarantine.End
}

func (Done) outcome()        {}
func (Unused) outcome()      {}
func (NotRun) outcome()      {}
func (Unreachable) outcome() {}
func (Broken) outcome()      {}
func (Ended) outcome()       {}
