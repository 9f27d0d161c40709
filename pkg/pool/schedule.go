// Package pool decides which waiting request goes to which endpoint, and when.
// Schedule does no I/O and reads no clock: it takes events and the time as
// arguments and returns decisions. Pool adds a lock for the goroutines that serve
// callers.
package pool

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/settings"
	"github.com/quaylead/quaylead/pkg/share"
)

// Schedule is the state of one pool at one router.
type Schedule struct {
	Name string
	// Zone is the router's own availability zone.
	Zone string
	// Rand breaks ties; tests seed it.
	Rand *rand.Rand
	// Ledger records the service that each customer has received.
	Ledger share.Ledger

	rules     settings.Pool
	customers map[string]settings.Customer
	endpoints map[string]*Endpoint
	// sortedEndpoints holds the endpoints by name, so that decisions do not
	// depend on the order of a map.
	sortedEndpoints []*Endpoint
	queues          map[string]*queue
	// waiting and running count this router's tickets in the pool.
	waiting int
	running int
	// liveRouters counts this router and its live peers; it is at least 1.
	liveRouters int
	// peerDemand is the number of requests that the live peers together have
	// waiting and running.
	peerDemand int
	// meanUpdatedAt is when the mean numbers of waiting requests were updated.
	meanUpdatedAt time.Time
	// retryBudget is the number of retries that are allowed now.
	retryBudget float64
}

// maxRetryBudget caps the retries that successes can accumulate.
const maxRetryBudget = 10

// Configure applies settings. Requests in flight finish at the endpoint they were
// sent to; endpoints that were removed get no new work.
func (s *Schedule) Configure(rules settings.Pool, customers map[string]settings.Customer) {
	s.rules = rules
	s.customers = customers
	s.Ledger.MaxLead = maxLeadOf(&rules)
	for name, customer := range customers {
		s.Ledger.SetShare(name, customer.Share)
	}
	previous := s.endpoints
	s.endpoints = map[string]*Endpoint{}
	for name, declared := range rules.Endpoints {
		endpoint := previous[name]
		if endpoint == nil || endpoint.Address != declared.Address {
			endpoint = &Endpoint{Name: name, unstarted: map[*Ticket]struct{}{}}
		}
		endpoint.Endpoint = declared
		s.endpoints[name] = endpoint
	}
	s.sortedEndpoints = slices.SortedFunc(maps.Values(s.endpoints), func(a, b *Endpoint) int {
		return cmp.Compare(a.Name, b.Name)
	})
	if s.queues == nil {
		s.queues = map[string]*queue{}
		s.retryBudget = maxRetryBudget
		s.liveRouters = 1
	}
}

// typicalOutputTokens is the assumed length of the output in each slot when the
// maximum lead is derived from the slots.
const typicalOutputTokens = 256

// maxLeadOf returns the pool's MergeBound or, when none is set, twice the gap that
// a single queue would guarantee for these slots.
func maxLeadOf(rules *settings.Pool) float64 {
	if rules.MergeBound > 0 {
		return rules.MergeBound
	}
	slots := 0
	for _, endpoint := range rules.Endpoints {
		slots += endpoint.Slots
	}
	return 4 * rules.OutputWeight * float64(slots) * typicalOutputTokens
}

// Rules returns the pool's settings in force.
func (s *Schedule) Rules() settings.Pool {
	return s.rules
}

// Enqueue queues a ticket, or refuses it when its customer's queue is full.
func (s *Schedule) Enqueue(t *Ticket, now time.Time) *request.Refusal {
	q := s.queue(t.Customer)
	if q.waitingCount() >= s.customers[t.Customer].QueueLength {
		return &request.Refusal{
			Code:       request.QueueFull,
			Message:    "the customer's queue at this router is full",
			Run:        request.NotRun,
			RetryAfter: q.retryAfter(),
		}
	}
	q.push(t)
	t.phase = waiting
	s.waiting++
	s.Ledger.Arrive(t.Customer)
	return nil
}

// Withdraw removes a waiting ticket from its queue. It returns false when the
// ticket has already been granted; the caller must then call Finish.
func (s *Schedule) Withdraw(t *Ticket) bool {
	if t.phase != waiting {
		return false
	}
	s.queue(t.Customer).remove(t)
	s.waiting--
	s.Ledger.Depart(t.Customer)
	t.phase = finished
	return true
}

// Next selects the ticket to send next and its endpoint, and records it as
// running. It returns nil when no waiting ticket can be sent now.
func (s *Schedule) Next(now time.Time) *Ticket {
	if s.waiting == 0 {
		return nil
	}
	s.updateMeanWaiting(now)
	queues := s.sortedQueues()
	for _, q := range queues {
		if !s.isWithinShare(q) {
			continue
		}
		if t := s.assignFirst(q.quick, now); t != nil {
			return t
		}
	}
	for _, q := range queues {
		if t := s.assignAny(q, now); t != nil {
			return t
		}
	}
	return nil
}

// assignFirst assigns the first ticket for which an endpoint has room.
func (s *Schedule) assignFirst(tickets []*Ticket, now time.Time) *Ticket {
	for i, t := range tickets {
		// A ticket of the same kind finds no room if the one before found none.
		if i > 0 && t.Quick == tickets[i-1].Quick && len(t.tried) == 0 {
			continue
		}
		if endpoint := s.chooseEndpoint(t, now); endpoint != nil {
			s.assign(t, endpoint, now)
			return t
		}
	}
	return nil
}

// assign records that the ticket is sent to the endpoint and reserves its
// estimated cost.
func (s *Schedule) assign(t *Ticket, endpoint *Endpoint, now time.Time) {
	q := s.queue(t.Customer)
	q.remove(t)
	s.waiting--
	t.Priority = s.priority(t)
	t.Endpoint = endpoint
	t.phase = running
	t.sentAt = now
	t.started = false
	t.served = 0
	t.estimate = s.estimate(t)
	t.remainingEstimate = t.estimate
	s.Ledger.Reserve(t.Customer, t.estimate)
	s.running++
	q.recordGrant(now)
	endpoint.running++
	endpoint.unstarted[t] = struct{}{}
	q.unstarted[t] = struct{}{}
	if !t.Quick {
		endpoint.slow++
	}
	if endpoint.ejections > 0 {
		endpoint.probing = true
	}
}

// estimate returns what a request is charged before its cost is known.
func (s *Schedule) estimate(t *Ticket) float64 {
	if s.rules.Kind == settings.PlainPool {
		return 1
	}
	output := s.queue(t.Customer).expectedOutput(t.Class)
	if t.MaxOutputTokens > 0 {
		output = min(output, t.MaxOutputTokens)
	}
	return t.InputTokens*s.rules.InputWeight + output*s.rules.OutputWeight
}

// Begin records that the first piece of the response was received: the request
// now holds a slot.
func (s *Schedule) Begin(t *Ticket) {
	if t.phase != running || t.started {
		return
	}
	s.markStarted(t)
	if s.rules.Kind == settings.ModelPool {
		s.chargeService(t, t.InputTokens*s.rules.InputWeight)
	}
}

// markStarted records that the endpoint has begun the request, and charges the
// estimated cost.
func (s *Schedule) markStarted(t *Ticket) {
	t.started = true
	s.Ledger.Depart(t.Customer)
	s.Ledger.Charge(t.Customer, t.estimate)
	delete(t.Endpoint.unstarted, t)
	delete(s.queue(t.Customer).unstarted, t)
}

// RecordTokens charges tokens as they are streamed.
func (s *Schedule) RecordTokens(t *Ticket, tokens float64) {
	if t.phase == running {
		s.chargeService(t, tokens*s.rules.OutputWeight)
	}
}

// chargeService charges service to the customer, using up the estimate first.
func (s *Schedule) chargeService(t *Ticket, service float64) {
	covered := min(max(service, 0), t.remainingEstimate)
	t.remainingEstimate -= covered
	t.served += service
	s.Ledger.Serve(t.Customer, service, covered)
}

// Finish records the outcome of an attempt. The ticket may be enqueued again
// afterwards.
func (s *Schedule) Finish(t *Ticket, outcome Outcome, now time.Time) {
	if t.phase != running {
		return
	}
	endpoint := t.Endpoint
	if !t.started {
		s.markStarted(t)
	}
	s.settle(t, outcome)
	endpoint.running--
	if !t.Quick {
		endpoint.slow--
	}
	s.running--
	s.queue(t.Customer).running--
	t.phase = finished
	if t.tried == nil {
		t.tried = map[string]bool{}
	}
	t.tried[endpoint.Name] = true
	switch outcome := outcome.(type) {
	case Completed:
		endpoint.recordSuccess()
		s.retryBudget = min(s.retryBudget+s.rules.RetryBudget, maxRetryBudget)
	case Failed:
		endpoint.recordFailure(now, &s.rules)
	case Declined:
		endpoint.probing = false
		endpoint.reportedLeaving = endpoint.reportedLeaving || outcome.Leaving
	case Moved, Abandoned:
		endpoint.probing = false
	}
}

// settle corrects what was charged to the actual cost.
func (s *Schedule) settle(t *Ticket, outcome Outcome) {
	if completed, ok := outcome.(Completed); ok {
		q := s.queue(t.Customer)
		switch {
		case s.rules.Kind == settings.PlainPool:
			s.chargeService(t, 1)
		case completed.UsageKnown:
			cost := completed.InputTokens*s.rules.InputWeight + completed.OutputTokens*s.rules.OutputWeight
			s.chargeService(t, cost-t.served)
			q.recordOutput(t.Class, completed.OutputTokens)
		}
	}
	s.Ledger.Release(t.Customer, t.remainingEstimate)
	t.remainingEstimate = 0
}

// strandedDelay is how long a request waits in an endpoint's queue before it may
// be taken back. It is longer than the lag of load reports.
const strandedDelay = time.Second

// IsStranded reports whether a request waits in its endpoint's queue although
// another endpoint has a free slot, for example because its own became slow.
func (s *Schedule) IsStranded(t *Ticket, now time.Time) bool {
	if t.phase != running || t.started || !t.Streamed || now.Sub(t.sentAt) < strandedDelay {
		return false
	}
	for _, other := range s.sortedEndpoints {
		if other == t.Endpoint || t.tried[other.Name] || !other.isAvailable(now) {
			continue
		}
		if other.load(now) < 1 && s.hasRoom(t, other, now) {
			return true
		}
	}
	return false
}

// TakeRetry takes a retry from the budget and returns false when none is left.
func (s *Schedule) TakeRetry() bool {
	if s.retryBudget < 1 {
		return false
	}
	s.retryBudget--
	return true
}

// Demand returns the number of requests that this router has waiting and running
// in the pool.
func (s *Schedule) Demand() int {
	return s.waiting + s.running
}

func (s *Schedule) queue(customer string) *queue {
	q := s.queues[customer]
	if q == nil {
		q = &queue{
			customer:   customer,
			meanOutput: map[string]float64{},
			unstarted:  map[*Ticket]struct{}{},
		}
		s.queues[customer] = q
	}
	return q
}

// Waiting returns the number of a customer's requests that wait here.
func (s *Schedule) Waiting(customer string) int {
	return s.queue(customer).waitingCount()
}
