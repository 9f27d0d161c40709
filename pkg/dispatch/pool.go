package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// Rules are the settings of a pool. Each has a default in DefaultRules.
type Rules struct {
	// BacklogPart is the longest predicted wait at an engine that gets new work, in
	// parts of the shortest aim that is asked for: engines take requests in order, so
	// what comes next is to have the rest of its aim. 300 ms for aims from 300 ms on
	// had 1 to 2 in 100 less of what was asked for answered in time (two times 8 pairs
	// of simulated days with trouble).
	BacklogFraction float64
	// BeyondPart is the same for customers beyond their share.
	OverShareBacklogFraction float64
	// ReadPart is the part of their time for which engines read prompts where
	// customers beyond their share divide what there is. A stream makes its tokens
	// between pieces of others' prompts: at an engine that reads half of its time it
	// takes about twice as long, and a fault that takes all boxes finds twice as many
	// under way. Of what was asked for on simulated days with such a fault, 0.5 and 0.7
	// had 1 and 4 in 100 less answered in time than 0.4, 0.3 as much as 0.4, and calm
	// days did not differ by more than 2 in 100 up to 0.5 (8 to 24 pairs of days).
	ReadFraction float64
	// BehindPart is the part of what the most served customer got in the window up to
	// which another one does not wait for idle engines only: no customer that is refused
	// may get less than half of what another one gets. Of two that asked for 3.7 and 19.8
	// million tokens a second the first got 0.41 of the other one's 1.01 million without
	// it, 0.44 of 0.76 with 0.5, 0.53 of 0.72 with 0.75 and 0.59 of 0.69 with 0.9; small
	// customers, which fell under the same rule, got 0.46 of what they asked for, returns
	// counted, without it and 0.77 with 0.75 (a simulated fleet of 60 engines, a play of 9 s
	// each).
	// On simulated days with floods 0.9 cost 0.010 (error 0.004, 12 pairs) of what was
	// asked for and answered in time, and 0.7 0.006 (0.004, 8 pairs).
	CatchUpFraction float64
	// Hold is the part of its aim for which a request may wait here.
	MaxWaitFraction float64
	// Homes is the least number of engines that a shared part is kept at.
	MinHomes int
	// HomeLoad is the part of an engine's time that the requests of a shared
	// part may take before it gets one more home.
	LoadPerHome float64
	// MissFactor weighs the time for reading shared parts again, beside the time
	// itself, for prompts that go to the homes of their parts only, and ShortMissFactor
	// for those whose shared parts are short: they may go to any engine, and there are
	// far more of them. With 2 for these, too, 0.48 in place of 0.45 million tokens were
	// read again on a simulated calm day of 50 s, and 1.5 in 100 less of what was asked
	// for was answered in time (2 pairs).
	MissFactor, ShortMissFactor float64
	// Window is the time over which customers' shares are counted.
	Window time.Duration
	// ColdFactor and ColdMore are by how much the fleet may go beyond what the operator
	// states of cold engines, in any second: a factor, and requests.
	ColdFactor, ColdExtra float64
}

// DefaultRules are from measured rounds; docs/design/dispatch.md and
// decisions-under-load.md tell which.
func DefaultRules() Rules {
	return Rules{
		BacklogFraction:          0.5,
		OverShareBacklogFraction: 0.125,
		ReadFraction:             0.4,
		CatchUpFraction:          0.75,
		MaxWaitFraction:          0.24,
		MinHomes:                 2,
		LoadPerHome:              0.25,
		MissFactor:               2,
		Window:                   4 * time.Second,

		ShortMissFactor: 10,
	}
}

// Pool is the state of one pool of engines at one dispatcher.
type Pool struct {
	// Rules are set before the first event.
	Rules Rules
	// Rand spreads the times at which refused requests come back.
	Rand *rand.Rand
	// Warm tells that the engines known at first have served before, when the
	// box has started anew among a fleet or after a stop of all: a part that is
	// seen for the first time is then believed to be kept at its first home.
	Warm bool
	// Routers is how many routers are believed to grant at once, each seeing
	// only its own requests; 1 where all ask the same dispatcher.
	Routers int

	// Contested is set while other boxes may grant the same engines. It is set before each
	// decision.
	Contested bool

	// Groups is into how many pools alike the engines of the service are divided, this one
	// among them; 0 stands for one. A customer's share is of all of them.
	Groups int

	// Ledger tells under which requests engines ended. It is set before the first event;
	// nil means one of the pool's own.
	Ledger *quarantine.Ledger

	// ColdPart is the part of what cold engines take that is this pool's to use: that of
	// the routers that ask it, of all. It is set before each decision.
	ColdFraction float64

	service         route.Service
	tokensPerSecond float64
	// bound is what a cold engine takes.
	coldBound lifecycle.Bound
	engines   map[string]*engine
	// rests are until when engines want nothing from a router, by its number.
	backoffs map[uint64]*lifecycle.Rests
	// inOrder are the engines by ID, so that decisions do not depend on the
	// order of a map.
	sorted   []*engine
	accounts map[string]*account
	waiting  map[string]*Request
	grants   map[string]*grant
	parts    map[uint64]*partStats
	// exposed is where requests run, by fingerprint.
	exposed map[quarantine.Fingerprint]exposure
	queued  int
	// round numbers the calls of Decide. What found no room in a round finds none
	// later in it: engines only fill up.
	round uint64
	// least is the shortest wait at any engine when the round began, and whether any
	// was idle.
	best engineSnapshot

	// warmUntil ends that belief; by then, parts in use have been seen.
	warmUntil time.Time

	// share is what each customer may have in a window, brought up to date at
	// shareAt.
	share   float64
	shareAt time.Time
	// realShare is the same by what the engines are seen to do, and by what the most
	// served customer got.
	measuredShare float64
	// granted and read are the tokens of late grants, as Prompt.Cost counts them and
	// as engines have to read them.
	granted, read window
	targets       latencyTargets
	// tallies are by customer, since they were last taken.
	tallies map[string]*Tally
}

// Configure sets what the pool serves. Capacity 0 means that it is not known.
func (p *Pool) Configure(service route.Service, tokensPerSecond float64) {
	if p.engines == nil {
		p.engines = map[string]*engine{}
		p.accounts = map[string]*account{}
		p.waiting = map[string]*Request{}
		p.grants = map[string]*grant{}
		p.parts = map[uint64]*partStats{}
		p.tallies = map[string]*Tally{}
		p.exposed = map[quarantine.Fingerprint]exposure{}
		p.backoffs = map[uint64]*lifecycle.Rests{}
		p.round = 1
		if p.Ledger == nil {
			p.Ledger = &quarantine.Ledger{}
		}
	}
	p.service = service
	p.tokensPerSecond = tokensPerSecond
	p.coldBound = service.Cold.Bound(p.Rules.ColdFactor, p.Rules.ColdExtra)
}

// Endpoints are the engines, by ID.
func (p *Pool) Endpoints() []route.Endpoint {
	endpoints := make([]route.Endpoint, len(p.sorted))
	for i, e := range p.sorted {
		endpoints[i] = e.Endpoint
	}
	return endpoints
}

// BoundsCold tells whether cold engines take only so much.
func (p *Pool) HasColdLimit() bool { return p.coldBound.MaxPerSecond > 0 }

// Submit puts a request in line. One that is in line already is asked for anew, by
// another way or as the verdict was lost: the later way counts, and a grant that the
// router does not know of is void.
func (p *Pool) Submit(req *Request, now time.Time) {
	if known := p.waiting[req.ID]; known != nil {
		known.Stream = req.Stream
		return
	}
	p.End(req.ID, Unused{}, now)
	req.cost = req.Cost()
	p.targets.record(req.LatencyTarget, now, p.Rules.Window)
	a := p.account(req.Customer)
	a.addRequested(req, now, p.Rules.Window)
	a.otherGroups.record(req.BoxHash, req.OtherGroupUsage, now)
	p.tallyFor(req.Customer).Requested += req.cost
	req.refuseNow = !p.hasEligibleEngine(req, now) || p.isQuarantined(req, now) || p.isBacklogTooLong(a, req, now)
	a.enqueue(req)
	p.waiting[req.ID] = req
	p.queued++
	p.recordDemand(&req.Prompt, now)
}

// Adopt books a request that another dispatcher granted, or notes the new way by
// which a router tells of one that is booked already.
func (p *Pool) Adopt(req *Request, endpoint string, begun bool, now time.Time) {
	if known := p.grants[req.ID]; known != nil {
		known.req.Stream = req.Stream
		return
	}
	e := p.engines[endpoint]
	if e == nil {
		return
	}
	req.cost = req.Cost()
	a := p.account(req.Customer)
	a.addRequested(req, now, p.Rules.Window)
	g := p.book(req, e, now)
	g.adopted = true
	if begun {
		g.begun = true
		e.removePending(g)
	}
}

// Withdraw takes a request out of line. It reports whether it still waited.
func (p *Pool) Withdraw(id string) bool {
	req := p.waiting[id]
	if req == nil {
		return false
	}
	p.dequeue(p.account(req.Customer), req)
	p.tallyFor(req.Customer).Withdrawn += req.cost
	return true
}

// take takes a waiting request out of line.
func (p *Pool) dequeue(a *account, req *Request) {
	a.dequeue(req)
	delete(p.waiting, req.ID)
	p.queued--
}

// Begin notes that the first event of a granted request came.
func (p *Pool) Begin(id string, now time.Time) {
	g := p.grants[id]
	if g == nil {
		return
	}
	if !g.begun && !g.adopted {
		p.tallyFor(g.req.Customer).Begun += g.req.cost
	}
	g.engine.begin(g, now)
}

// End settles a granted request.
func (p *Pool) End(id string, outcome Outcome, now time.Time) {
	g := p.grants[id]
	if g == nil {
		return
	}
	delete(p.grants, id)
	if ended, ok := outcome.(Ended); ok {
		p.recordEnd(ended, now)
	}
	p.removeExposure(g)
	g.engine.finish(g, outcome, now)
	switch outcome.(type) {
	case Unused, NotRun, Unreachable:
		p.refund(g, now)
	case Broken, Ended:
		if !g.begun {
			p.refund(g, now)
		}
	case Done:
		if g.begun && !g.adopted {
			p.tallyFor(g.req.Customer).Answered += g.req.cost
		}
	}
}

// refund takes a grant out of its customer's account, as the customer got nothing
// by it.
func (p *Pool) refund(g *grant, now time.Time) {
	if !g.adopted {
		p.tallyFor(g.req.Customer).Refunded += g.req.cost
	}
	p.account(g.req.Customer).addGranted(g.req, -1, now, p.Rules.Window)
}

// Forget drops all that one router has waiting and running, when it is gone.
func (p *Pool) DropStream(router uint64, now time.Time) {
	delete(p.backoffs, router)
	for id, req := range p.waiting {
		if req.Stream == router {
			p.Withdraw(id)
		}
	}
	for id, g := range p.grants {
		if g.req.Stream == router {
			p.End(id, Done{}, now)
		}
	}
}

// Waits tells whether a request is in line.
func (p *Pool) IsWaiting(id string) bool { return p.waiting[id] != nil }

// Waiting is the number of requests in line.
func (p *Pool) Waiting() int { return p.queued }

// Running is the number of requests at engines.
func (p *Pool) Running() int { return len(p.grants) }

func (p *Pool) account(customer string) *account {
	a := p.accounts[customer]
	if a == nil {
		a = &account{name: customer}
		p.accounts[customer] = a
	}
	return a
}
