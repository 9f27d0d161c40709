package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Decide grants the requests that can go now and refuses those that can no longer wait. It is
// called after each event, and periodically while requests wait.
func (p *Pool) Decide(now time.Time) (decisions []Decision) {
	if p.queued == 0 {
		return nil
	}
	p.updateSlotRate(now)
	p.updateShare(now)
	p.updateWeights(now)
	p.updateEstimates()
	p.updateRateSpread(now)
	p.round++
	p.best = p.bestSnapshot(now)
	decisions = p.grantContinued(now)
	for granted := true; granted; {
		granted = false
		for _, a := range p.waitingAccounts(now) {
			if d := p.grantNext(a, now); d != nil {
				decisions = append(decisions, *d)
				granted = true
				break
			}
		}
	}
	return p.refuseOverdue(decisions, now)
}

// grantContinued grants, before any others, the streams that go on at the release that began them
// and for which there is room. New streams can go to all engines, and would take those of a release
// that few engines run before its own streams have a turn.
func (p *Pool) grantContinued(now time.Time) (decisions []Decision) {
	if !p.severalReleases() {
		return nil
	}
	for _, a := range p.waitingAccounts(now) {
		for _, q := range a.waitingQueues(now, p.Rules.Window) {
			for _, req := range slices.Clone(q.queue) {
				if !req.Releases.Exact {
					continue
				}
				if e := p.choose(a, req, now); e != nil {
					decisions = append(decisions, *p.grant(a, req, e, now))
				}
			}
		}
	}
	return decisions
}

// waitingAccounts returns the customers with waiting requests, the one that was recently granted
// least first.
func (p *Pool) waitingAccounts(now time.Time) []*account {
	var waiting []*account
	for _, a := range p.accounts {
		if a.waiting > 0 {
			a.granted.advance(now, p.Rules.Window)
			waiting = append(waiting, a)
		}
	}
	slices.SortFunc(waiting, func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.recentlyGranted(), b.recentlyGranted()), cmp.Compare(a.name, b.name))
	})
	return waiting
}

// grantNext grants the first of a customer's requests for which there is room.
func (p *Pool) grantNext(a *account, now time.Time) *Grant {
	for _, q := range a.waitingQueues(now, p.Rules.Window) {
		for _, req := range p.inOrder(q) {
			if req.triedRound == p.round {
				continue
			}
			req.triedRound = p.round
			if e := p.choose(a, req, now); e != nil {
				return p.grant(a, req, e, now)
			}
		}
	}
	return nil
}

// grant removes a request from its queue and assigns it to an engine.
func (p *Pool) grant(a *account, req *Request, e *engine, now time.Time) *Grant {
	p.dequeue(a, req)
	p.tallyFor(a.name).Granted += req.cost
	wait := p.predictedWait(e, now)
	_, shared := e.missingTokens(&req.Prompt)
	t := p.planTransfer(e, req, shared, now)
	p.recordCrossing(req, e, now)
	g := p.addGrant(req, e, now)
	p.startTransfer(g, t, now)
	e.takeSlot(g, now)
	grant := &Grant{
		Request:       req,
		Endpoint:      e.ID,
		Wait:          wait,
		ReadTime:      e.prefillTime(g),
		MissingTokens: shared - t.tokens,
		FetchedTokens: t.tokens,
		Rate:          e.rating.Rate(),
	}
	if t.source != nil {
		grant.FetchFrom = t.source.ID
	}
	return grant
}

// addGrant records a grant in the pool, at the engine and in the usage of the customer.
func (p *Pool) addGrant(req *Request, e *engine, now time.Time) *grant {
	tokens, _ := e.missingTokens(&req.Prompt)
	g := &grant{req: req, engine: e, tokens: tokens, at: now}
	p.grants[req.ID] = g
	p.addExposure(g)
	e.addGrant(g, now)
	p.recordHolder(&req.Prompt, e, now)
	p.account(req.Customer).addGranted(req, 1, now, p.Rules.Window)
	p.granted.add(req.cost, now, p.Rules.Window)
	p.read.add(float64(tokens), now, p.Rules.Window)
	return g
}

// refuseOverdue refuses the requests that waited for their maximum time or can no longer be
// served. Retry times are drawn in a fixed order, so that decisions do not depend on the order
// of a map.
func (p *Pool) refuseOverdue(decisions []Decision, now time.Time) []Decision {
	for _, a := range p.waitingAccounts(now) {
		for _, q := range a.waitingQueues(now, p.Rules.Window) {
			for i := 0; i < len(q.queue); {
				req := q.queue[i]
				if !req.refuseNow && p.hasEligibleEngine(req, now) && !p.isQuarantined(req, now) && now.Before(req.Arrived.Add(time.Duration(p.maxWait(req)))) && now.Before(req.Deadline) {
					i++
					continue
				}
				decisions = append(decisions, p.refuse(a, req, now))
			}
		}
	}
	return decisions
}

// refuse removes a request from its queue, and returns the refusal with the time to retry.
func (p *Pool) refuse(a *account, req *Request, now time.Time) Refusal {
	isOver := p.isOverShare(a, req)
	queued := p.queued
	p.dequeue(a, req)
	switch t := p.tallyFor(a.name); {
	case req.refuseNow:
		t.RefusedOnArrival += req.cost
	case req.unplaced:
		t.Unplaced += req.cost
		fallthrough
	default:
		t.RefusedAfterWait += req.cost
	}
	return Refusal{Request: req, RetryAfter: p.retryTime(a, req, isOver, now), OverShare: isOver, NoEligibleEngine: !p.hasEligibleEngine(req, now), Queued: queued}
}

// maxWait returns how long a request may wait here, in nanoseconds.
func (p *Pool) maxWait(req *Request) float64 {
	if p.isPlain() {
		return float64(p.maxPlainWait(req))
	}
	return p.Rules.MaxWaitFraction * float64(req.LatencyTarget)
}
