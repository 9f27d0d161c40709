// Package dispatch decides, for one pool of model engines, which waiting
// request goes to which engine and when, and which is told to come back. It is
// pure: events in, decisions out, with the time as an argument.
package dispatch

import (
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/rollout"
)

// Part is a piece of a prompt. Parts are shared between requests; the last one
// of a prompt belongs to its request or session.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what is known beforehand of the work of a request.
type Prompt struct {
	// Parts are in order; an engine that keeps a part can use it only if it
	// keeps every part before it as well.
	Parts []Part
	// MaxOutput is the most tokens that may be made.
	MaxOutput int
	// HintOutput is the caller's estimate of them; 0 means none.
	HintOutput int
}

// Tokens is the length of the prompt.
func (p *Prompt) Tokens() int {
	total := 0
	for _, part := range p.Parts {
		total += part.Tokens
	}
	return total
}

// Shared are the parts that other requests may have too.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Last is the part of the request itself.
func (p *Prompt) Last() Part {
	if len(p.Parts) == 0 {
		return Part{}
	}
	return p.Parts[len(p.Parts)-1]
}

// Output is the number of tokens that the answer is expected to have.
func (p *Prompt) ExpectedOutput() int {
	if p.HintOutput > 0 {
		return min(p.HintOutput, max(p.MaxOutput, 1))
	}
	return max(1, p.MaxOutput/defaultOutputDivisor)
}

// hintlessPart of the largest answer is expected where the caller gives no
// estimate; answers are seldom as long as they may be.
const defaultOutputDivisor = 2

// Cost is the service of the request: a token read counts once, a token made
// twice, as the pool's rate is stated.
func (p *Prompt) Cost() float64 {
	return float64(p.Tokens()) + 2*float64(p.ExpectedOutput())
}

// Ask is a request that waits for an engine.
type Request struct {
	ID       string
	Customer string
	// Route is the name of its route. Requests of one route are of one kind: each
	// kind of a customer gets the same part of what it asks for.
	Route string
	Prompt
	// Router numbers the way by which the request came. The verdict goes back by it,
	// and Pool.Forget drops what came by it.
	Stream uint64
	// Box is the hash of the name of the box that asks, and Elsewhere what that box's requests
	// of the customer got in other groups of the service.
	BoxHash uint64
	OtherGroupUsage
	// Arrived is when the router took it.
	Arrived time.Time
	// Aim is the time, from Arrived, within which its first event should come.
	LatencyTarget time.Duration
	// Expires is when nobody waits for it any more.
	Deadline time.Time
	// Excluded are the endpoints that it must not go to again.
	Excluded []string
	// Zones are the availability zones that it may go to; none means any.
	Zones []string
	// Releases are the endpoints that it may go to, by the version of their software.
	Releases rollout.Side
	// Fingerprint is what repeats of the request have in common; zero means unknown.
	Fingerprint quarantine.Fingerprint

	// cost is Prompt.Cost, once.
	cost float64
	// hopeless requests are refused unless they can go at the next look.
	refuseNow bool
	// triedIn is the last round in which an engine was looked for.
	triedRound uint64
}

// Decision is one of Grant and Turn.
type Decision interface {
	decision()
}

// Grant sends a request to an engine.
type Grant struct {
	Request  *Request
	Endpoint string
	// Wait is the predicted time until the engine begins to read the prompt.
	Wait time.Duration
	// Read is the predicted time for reading it.
	ReadTime time.Duration
	// Missing are the tokens of shared parts that the engine has to read again.
	MissingTokens int
}

// Turn gives a request up: it is to come back later.
type Refusal struct {
	Request    *Request
	RetryAfter time.Duration
	// Over tells that the customer already has its share.
	OverShare bool
	// Resting tells that all engines that may serve it rest or leave.
	NoEligibleEngine bool
	// Queued is how many requests waited in the pool.
	Queued int
}

func (Grant) decision()   {}
func (Refusal) decision() {}

// Outcome is how a granted request ended: one of Done, Unused, NotRun, Unreachable,
// Broken and Ended.
type Outcome interface {
	outcome()
}

// Done requests were answered, or their caller went away.
type Done struct{}

// Unused grants came too late, or to nobody: nothing was sent, and the engine is not
// to blame.
type Unused struct{}

// NotRun requests were refused by the engine, which ran nothing of them.
type NotRun struct{}

// Unreachable engines took no connection.
type Unreachable struct{}

// Broken answers ended before their time.
type Broken struct{}

// Ended engines took the request with them.
type Ended struct {
	// End is the account of it.
	End quarantine.End
}

func (Done) outcome()        {}
func (Unused) outcome()      {}
func (NotRun) outcome()      {}
func (Unreachable) outcome() {}
func (Broken) outcome()      {}
func (Ended) outcome()       {}
