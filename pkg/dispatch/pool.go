package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/slot"
)

// Rules are the settings of a pool. DefaultRules returns their defaults.
type Rules struct {
	// BacklogFraction is the longest predicted wait at an engine that gets new work, as a
	// fraction of the shortest latency target in use. Engines take requests in order, so the
	// next request needs the remainder of its target. With a fixed 300 ms for targets from 300 ms
	// on, 1 to 2% less of what was requested was served in time.
	BacklogFraction float64
	// OverShareBacklogFraction is the same for customers over their share.
	OverShareBacklogFraction float64
	// ReadFraction is the fraction of their time for which engines read prompts where customers
	// over their share divide the capacity. A stream's tokens are made between chunks of other
	// requests' prompts: at an engine that reads half of its time a stream takes about twice as
	// long, so a failure of all boxes breaks twice as many running streams. With 0.7 instead of
	// 0.4, such a failure reduced what was served in time by 4% of what was requested.
	ReadFraction float64
	// CatchUpFraction is the fraction of what the most served customer was granted in the window
	// up to which other customers do not have to wait for idle engines. No customer that is
	// refused may get less than half of what another one gets: without this rule, of two that
	// requested 3.7 and 19.8 million tokens a second, the first got 0.41 and the other 1.01
	// million; with 0.75 they got 0.53 and 0.72 million. Small customers, to whom the rule applies
	// too, got 0.46 of what they requested, retries included, without it and 0.77 with 0.75.
	// Under floods of requests, 0.9 cost 0.010 of what was requested and served in time.
	CatchUpFraction float64
	// UnderservedFraction is the fraction of what is due to a customer below which its requests do
	// not wait for the best engine if another one has room. Engines then read shared parts again:
	// with 0.75, and without underservedSlack, half more of them on a small pool.
	UnderservedFraction float64
	// MaxWaitFraction is the fraction of its latency target for which a request may wait here.
	MaxWaitFraction float64
	// MinHomes is the minimum number of engines at which a shared part is kept in the cache.
	MinHomes int
	// LoadPerHome is the fraction of an engine's time that the requests for a shared part may
	// take before the part gets one more home.
	LoadPerHome float64
	// CopyCost is the cost of a copy of a shared part at a further home, relative to reading it
	// there: the load that justifies the home grows with it.
	CopyCost float64
	// MissFactor weighs the time for reading shared parts again, in addition to the time itself,
	// for prompts that go only to the homes of their parts. ShortMissFactor is for prompts whose
	// shared parts are short: they may go to any engine, and there are far more of them. With 2
	// for these too, 1.5% less of what was requested was served in time.
	MissFactor, ShortMissFactor float64
	// Window is the time over which customers' shares are counted.
	Window time.Duration
	// UnevenEngines lets the measured rates of engines decide how many homes each is, and bounds
	// the pauses of streams. Homes that move are read or copied again, so it pays where copies of
	// a prompt are cheap.
	UnevenEngines bool
	// ZoneHomes distributes the homes of a shared part over availability zones and prefers the
	// zone of the request, ColdHomes reads a part that is cached nowhere at one home first, and
	// Fetch lets engines copy cached parts from each other. They require engines for which copies
	// of a prompt are cheap: see route.Engine.HasCompactCache.
	ZoneHomes, ColdHomes, Fetch bool
	// ColdFactor and ColdExtra are by how much the fleet may exceed the operator's limit for
	// cold engines in any second: a factor, and a number of requests.
	ColdFactor, ColdExtra float64
}

// DefaultRules returns the defaults; docs/design/dispatch.md and decisions-under-load.md
// describe the measurements behind them.
func DefaultRules() Rules {
	return Rules{
		BacklogFraction:          0.5,
		OverShareBacklogFraction: 0.125,
		ReadFraction:             0.4,
		CatchUpFraction:          0.75,
		UnderservedFraction:      0.6,
		MaxWaitFraction:          0.24,
		MinHomes:                 2,
		LoadPerHome:              0.25,
		CopyCost:                 1,
		MissFactor:               2,
		Window:                   4 * time.Second,
		UnevenEngines:            true,

		ShortMissFactor: 10,
	}
}

// Pool is the state of one pool of engines at one dispatcher.
type Pool struct {
	// Rules are set before the first event.
	Rules Rules
	// Rand spreads the retry times of refused requests.
	Rand *rand.Rand
	// Warm is set if the first engines that the pool receives have served before, as when the
	// box started anew among a running fleet or after a stop of all boxes. A part that is seen
	// for the first time is then assumed to be cached at its first home.
	Warm bool
	// Routers is the number of routers that are assumed to grant at the same time, each seeing
	// only its own requests; 1 if all use the same dispatcher.
	Routers int

	// Contested is set while other boxes may grant the same engines. It is set before each
	// decision.
	Contested bool

	// Groups is the number of pools of the same kind among which the engines of the service are
	// divided, this one included; 0 stands for 1. A customer's share counts over all of them.
	Groups int

	// Ledger records under which requests engines ended. It is set before the first event; if it
	// is nil, the pool creates its own.
	Ledger *quarantine.Ledger

	// ColdFraction is the fraction of the cold engines' limit that this pool may use: that of
	// the routers for which it dispatches among all. It is set before each decision.
	ColdFraction float64

	service         route.Service
	tokensPerSecond float64
	// times are the times for which requests hold the slots of a plain service; nil for engines.
	times *slot.Times
	// coldBound is the limit of a cold engine.
	coldBound lifecycle.Bound
	engines   map[string]*engine
	// leaving are the engines that are leaving and still serve, as sources of transfers.
	leaving map[string]*engine
	// sources are the engines from which parts can be copied, and sourceSearch the last search
	// among them; transfers counts the copies since they were last taken.
	sources      sourceIndex
	sourceSearch sourceSearch
	transfers    TransferCounts
	// rests are the rests that engines asked of a router, by the number of its stream.
	rests map[uint64]*lifecycle.Rests
	// releases are the software versions of the engines, in order of the engines.
	releases []string
	// sorted are the engines ordered by ID; decisions must not depend on the order of a map.
	sorted   []*engine
	accounts map[string]*account
	waiting  map[string]*Request
	grants   map[string]*grant
	parts    map[uint64]*partStats
	// exposures are the engines at which requests run, by fingerprint.
	exposures map[quarantine.Fingerprint]exposure
	partExposures
	queued int
	// waitingParts counts the waiting requests by their long shared part.
	waitingParts map[uint64]int
	// round numbers the calls of Decide. A request that found no room in a round finds none
	// later in it, as engines only fill up.
	round uint64
	// fullRound is the last round in which no endpoint of a plain service had room for any request.
	fullRound uint64
	// best is the shortest wait at any engine when the round began, and whether any was idle.
	best engineSnapshot

	// warmUntil is when Warm loses its effect; by then, the parts in use have been seen.
	warmUntil time.Time

	// share is the number of tokens that each customer may be granted in a window, last updated
	// at shareAt.
	share   float64
	shareAt time.Time
	// measuredShare is the same number, from the measured rates of the engines and from what the
	// most served customer was granted.
	measuredShare float64
	// maxGranted is what the most served customer was granted in the window, and maxRecentlyGranted
	// what the one that was recently served most was.
	maxGranted, maxRecentlyGranted float64
	// granted and read are the tokens of recent grants, as counted by Prompt.Cost and as engines
	// have to read them.
	granted, read window
	targets       latencyTargets
	// weighedAt is when the weights of the engines were last updated. uneven is set if any two of
	// them differ, and weightsMoved if any moved since TakeMovedWeights.
	weighedAt            time.Time
	uneven, weightsMoved bool
	// spreadsZones is the value of Rules.ZoneHomes with which the engines were ranked.
	spreadsZones bool
	// meanRate is the mean of the measured rates of the engines.
	meanRate float64
	spread   rateSpread
	// chunkTokens is the estimated number of prompt tokens that an engine reads between two steps
	// of its running streams.
	chunkTokens float64
	// tallies are by customer, since they were last taken.
	tallies map[string]*Tally
}

// Configure sets the service of the pool. A tokensPerSecond of 0 means that its capacity is not
// known.
func (p *Pool) Configure(service route.Service, tokensPerSecond float64) {
	if p.engines == nil {
		p.engines = map[string]*engine{}
		p.accounts = map[string]*account{}
		p.waiting = map[string]*Request{}
		p.grants = map[string]*grant{}
		p.parts = map[uint64]*partStats{}
		p.tallies = map[string]*Tally{}
		p.waitingParts = map[uint64]int{}
		p.exposures = map[quarantine.Fingerprint]exposure{}
		p.rests = map[uint64]*lifecycle.Rests{}
		p.round = 1
		if p.Ledger == nil {
			p.Ledger = &quarantine.Ledger{}
		}
	}
	p.service = service
	p.tokensPerSecond = tokensPerSecond
	p.configureSlots()
	p.coldBound = service.ColdStart.Bound(p.Rules.ColdFactor, p.Rules.ColdExtra)
	p.updateZoneHomes()
}

// Endpoints returns the engines, by ID.
func (p *Pool) Endpoints() []route.Endpoint {
	endpoints := make([]route.Endpoint, len(p.sorted))
	for i, e := range p.sorted {
		endpoints[i] = e.Endpoint
	}
	return endpoints
}

// HasColdLimit reports whether the rate of requests to cold engines is limited.
func (p *Pool) HasColdLimit() bool { return p.coldBound.MaxPerSecond > 0 }

// Submit queues a request. A router submits a queued request again if it uses another stream; the
// decision is then sent on the later one. It submits a granted request again if it did not receive
// the decision; that grant is void.
func (p *Pool) Submit(req *Request, now time.Time) {
	if known := p.waiting[req.ID]; known != nil {
		known.Stream = req.Stream
		return
	}
	p.End(req.ID, Unused{}, now)
	p.EstimateSlotTime(req)
	req.cost = req.Cost()
	p.targets.record(req.LatencyTarget, now, p.Rules.Window)
	a := p.account(req.Customer)
	a.addRequested(req, now, p.Rules.Window)
	a.otherGroups.record(req.BoxHash, req.OtherGroupUsage, now)
	p.tallyFor(req.Customer).Requested += req.cost
	req.refuseNow = !p.hasEligibleEngine(req, now) || p.isQuarantined(req, now) || p.isHopeless(a, req, now)
	a.enqueue(req)
	p.waiting[req.ID] = req
	p.queued++
	p.countWaiting(&req.Prompt, 1)
	p.recordDemand(&req.Prompt, now)
}

// Adopt records a request that another dispatcher granted. If it is recorded already, only
// its stream is updated.
func (p *Pool) Adopt(req *Request, endpoint string, begun bool, now time.Time) {
	if known := p.grants[req.ID]; known != nil {
		known.req.Stream = req.Stream
		return
	}
	// Its router no longer waits for a decision.
	p.Withdraw(req.ID)
	e := p.engines[endpoint]
	if e == nil {
		return
	}
	p.EstimateSlotTime(req)
	req.cost = req.Cost()
	a := p.account(req.Customer)
	a.addRequested(req, now, p.Rules.Window)
	g := p.addGrant(req, e, now)
	g.adopted, g.shadow = true, req.Stream == OwnStream
	e.takeSlot(g, now)
	if begun {
		g.begun = true
		e.removePending(g)
		p.recordRead(g)
		p.markRead(&req.Prompt)
	}
}

// TakeOver makes this pool tally a granted request that another box granted, whose tally it leaves
// with the stream between the two.
func (p *Pool) TakeOver(id string) {
	if g := p.grants[id]; g != nil {
		g.shadow = false
	}
}

// Withdraw removes a request from its queue. It reports whether it still waited.
func (p *Pool) Withdraw(id string) bool {
	req := p.waiting[id]
	if req == nil {
		return false
	}
	p.dequeue(p.account(req.Customer), req)
	p.tallyFor(req.Customer).Withdrawn += req.cost
	return true
}

// dequeue removes a waiting request from its queue.
func (p *Pool) dequeue(a *account, req *Request) {
	a.dequeue(req)
	delete(p.waiting, req.ID)
	p.queued--
	p.countWaiting(&req.Prompt, -1)
}

// Begin records the first event of a granted request.
func (p *Pool) Begin(id string, now time.Time) {
	g := p.grants[id]
	if g == nil {
		return
	}
	if !g.begun && !g.shadow {
		p.tallyFor(g.req.Customer).Begun += g.req.cost
	}
	p.judgeSource(g, true, now)
	p.endTransfer(g)
	g.engine.begin(g, now)
	p.recordRead(g)
	p.markRead(&g.req.Prompt)
}

// End records the end of a granted request.
func (p *Pool) End(id string, outcome Outcome, now time.Time) {
	g := p.grants[id]
	if g == nil {
		return
	}
	delete(p.grants, id)
	if ended, ok := outcome.(Ended); ok {
		p.recordEnd(g, ended, now)
	}
	p.removeExposure(g)
	if _, done := outcome.(Done); done {
		p.judgeSource(g, false, now)
	}
	p.endTransfer(g)
	g.engine.finish(g, outcome, now)
	switch outcome.(type) {
	case Unused, NotRun, Unreachable:
		p.refund(g, now)
	case Broken, Ended:
		if !g.begun {
			p.refund(g, now)
		}
	case Done:
		p.completePlain(g)
		if g.begun && !g.shadow {
			p.tallyFor(g.req.Customer).Completed += g.req.cost
		}
		if g.begun && !g.adopted {
			p.recordStream(g, now)
		}
	}
}

// refund subtracts a grant from the usage of its customer, who got nothing for it.
func (p *Pool) refund(g *grant, now time.Time) {
	if !g.shadow {
		p.tallyFor(g.req.Customer).Refunded += g.req.cost
	}
	p.account(g.req.Customer).addGranted(g.req, -1, now, p.Rules.Window)
}

// DropStream drops the waiting and running requests of one stream, whose router is gone.
func (p *Pool) DropStream(stream uint64, now time.Time) {
	delete(p.rests, stream)
	for id, req := range p.waiting {
		if req.Stream == stream {
			p.Withdraw(id)
		}
	}
	for id, g := range p.grants {
		if g.req.Stream == stream {
			g.engine.dropSlot(g, now)
			// A late first event is no sign of a failed transfer if nobody reports it.
			p.endTransfer(g)
			p.End(id, Done{}, now)
		}
	}
}

// IsWaiting reports whether a request is queued.
func (p *Pool) IsWaiting(id string) bool { return p.waiting[id] != nil }

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return p.queued }

// Running returns the number of requests at engines.
func (p *Pool) Running() int { return len(p.grants) }

func (p *Pool) account(customer string) *account {
	a := p.accounts[customer]
	if a == nil {
		a = &account{name: customer}
		p.accounts[customer] = a
	}
	return a
}
