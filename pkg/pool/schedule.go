// Package pool decides which waiting request goes to which endpoint, and when.
// Schedule is pure: events in, decisions out, with the time as an argument.
// Pool puts a lock around it for the goroutines that serve callers.
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
	// Ledger holds who has had what service.
	Ledger share.Ledger

	rules     settings.Pool
	customers map[string]settings.Customer
	endpoints map[string]*Endpoint
	// inOrder are the endpoints by name, so that decisions do not depend on the
	// order of a map.
	inOrder []*Endpoint
	queues  map[string]*queue
	// waiting and running count this router's tickets in the pool.
	waiting int
	running int
	// liveRouters counts this router and its live peers; at least 1.
	liveRouters int
	// peerDemand is what the live peers together have waiting and running.
	peerDemand int
	// notedAt is when the mean numbers of waiting requests were brought up to date.
	notedAt time.Time
	// retries is the number of retries the budget allows now.
	retries float64
}

// retryBurst caps the retries that successes may save up.
const retryBurst = 10

// Configure applies settings. Requests in flight finish under what they began
// with; endpoints that are gone get no new work.
func (s *Schedule) Configure(rules settings.Pool, customers map[string]settings.Customer) {
	s.rules = rules
	s.customers = customers
	s.Ledger.MaxLead = boundOf(&rules)
	for name, customer := range customers {
		s.Ledger.SetShare(name, customer.Share)
	}
	known := s.endpoints
	s.endpoints = map[string]*Endpoint{}
	for name, declared := range rules.Endpoints {
		endpoint := known[name]
		if endpoint == nil || endpoint.Address != declared.Address {
			endpoint = &Endpoint{Name: name, unstarted: map[*Ticket]struct{}{}}
		}
		endpoint.Endpoint = declared
		s.endpoints[name] = endpoint
	}
	s.inOrder = slices.SortedFunc(maps.Values(s.endpoints), func(a, b *Endpoint) int {
		return cmp.Compare(a.Name, b.Name)
	})
	if s.queues == nil {
		s.queues = map[string]*queue{}
		s.retries = retryBurst
		s.liveRouters = 1
	}
}

// typicalBatchTokens stand for the answer in each slot where MergeBound is
// derived.
const typicalBatchTokens = 256

// boundOf is the pool's MergeBound, or what it is when none is set: twice the
// gap that a single queue would guarantee for these slots.
func boundOf(rules *settings.Pool) float64 {
	if rules.MergeBound > 0 {
		return rules.MergeBound
	}
	slots := 0
	for _, endpoint := range rules.Endpoints {
		slots += endpoint.Slots
	}
	return 4 * rules.OutputWeight * float64(slots) * typicalBatchTokens
}

// Rules returns the pool's settings in force.
func (s *Schedule) Rules() settings.Pool {
	return s.rules
}

// Enqueue puts a ticket in line, or refuses it when its customer's line is full.
func (s *Schedule) Enqueue(t *Ticket, now time.Time) *request.Refusal {
	line := s.queue(t.Customer)
	if line.length() >= s.customers[t.Customer].QueueLength {
		return &request.Refusal{
			Code:       request.QueueFull,
			Message:    "the customer's queue at this router is full",
			Run:        request.NotRun,
			RetryAfter: line.retryAfter(),
		}
	}
	line.push(t)
	t.phase = waiting
	s.waiting++
	s.Ledger.Arrive(t.Customer)
	return nil
}

// Withdraw takes a waiting ticket out of line. It returns false when the
// ticket was granted an endpoint before; the caller then has to Finish it.
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

// Next chooses the ticket to go next and its endpoint, and books it as running.
// It returns nil when nothing that waits can go now.
func (s *Schedule) Next(now time.Time) *Ticket {
	if s.waiting == 0 {
		return nil
	}
	s.noteWaiting(now)
	lines := s.order()
	for _, line := range lines {
		if !s.withinShare(line) {
			continue
		}
		if t := s.take(line.quick, now); t != nil {
			return t
		}
	}
	for _, line := range lines {
		if t := s.takeAny(line, now); t != nil {
			return t
		}
	}
	return nil
}

// take grants the first ticket for which an endpoint has room.
func (s *Schedule) take(tickets []*Ticket, now time.Time) *Ticket {
	for i, t := range tickets {
		// Tickets alike find no room where the one before found none.
		if i > 0 && t.Quick == tickets[i-1].Quick && len(t.tried) == 0 {
			continue
		}
		if endpoint := s.choose(t, now); endpoint != nil {
			s.start(t, endpoint, now)
			return t
		}
	}
	return nil
}

func (s *Schedule) start(t *Ticket, endpoint *Endpoint, now time.Time) {
	line := s.queue(t.Customer)
	line.remove(t)
	s.waiting--
	t.Priority = s.priority(t)
	t.Endpoint = endpoint
	t.phase = running
	t.sentAt = now
	t.started = false
	t.served = 0
	t.estimate = s.estimate(t)
	t.uncovered = t.estimate
	s.Ledger.Reserve(t.Customer, t.estimate)
	s.running++
	line.start(now)
	endpoint.running++
	endpoint.unstarted[t] = struct{}{}
	line.unstarted[t] = struct{}{}
	if !t.Quick {
		endpoint.slow++
	}
	if endpoint.ejections > 0 {
		endpoint.probing = true
	}
}

// estimate is what a request is charged before its cost is known.
func (s *Schedule) estimate(t *Ticket) float64 {
	if s.rules.Kind == settings.PlainPool {
		return 1
	}
	output := s.queue(t.Customer).typicalOutput(t.Class)
	if t.MaxOutputTokens > 0 {
		output = min(output, t.MaxOutputTokens)
	}
	return t.InputTokens*s.rules.InputWeight + output*s.rules.OutputWeight
}

// Begin notes the first piece of an answer: the request holds a slot now.
func (s *Schedule) Begin(t *Ticket) {
	if t.phase != running || t.started {
		return
	}
	s.begun(t)
	if s.rules.Kind == settings.ModelPool {
		s.serve(t, t.InputTokens*s.rules.InputWeight)
	}
}

func (s *Schedule) begun(t *Ticket) {
	t.started = true
	s.Ledger.Depart(t.Customer)
	s.Ledger.Charge(t.Customer, t.estimate)
	delete(t.Endpoint.unstarted, t)
	delete(s.queue(t.Customer).unstarted, t)
}

// Stream books tokens as they are streamed.
func (s *Schedule) Stream(t *Ticket, tokens float64) {
	if t.phase == running {
		s.serve(t, tokens*s.rules.OutputWeight)
	}
}

func (s *Schedule) serve(t *Ticket, service float64) {
	covered := min(max(service, 0), t.uncovered)
	t.uncovered -= covered
	t.served += service
	s.Ledger.Serve(t.Customer, service, covered)
}

// Finish settles an attempt. After it the ticket may be enqueued again.
func (s *Schedule) Finish(t *Ticket, how Outcome, now time.Time) {
	if t.phase != running {
		return
	}
	endpoint := t.Endpoint
	if !t.started {
		s.begun(t)
	}
	s.settle(t, how)
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
	switch how := how.(type) {
	case Answered:
		endpoint.succeed()
		s.retries = min(s.retries+s.rules.RetryBudget, retryBurst)
	case Failed:
		endpoint.fail(now, &s.rules)
	case Declined:
		endpoint.probing = false
		endpoint.saysLeaving = endpoint.saysLeaving || how.Leaving
	case Moved, Abandoned:
		endpoint.probing = false
	}
}

// settle brings what was charged to the true cost.
func (s *Schedule) settle(t *Ticket, how Outcome) {
	if answered, ok := how.(Answered); ok {
		line := s.queue(t.Customer)
		switch {
		case s.rules.Kind == settings.PlainPool:
			s.serve(t, 1)
		case answered.Known:
			cost := answered.InputTokens*s.rules.InputWeight + answered.OutputTokens*s.rules.OutputWeight
			s.serve(t, cost-t.served)
			line.learn(t.Class, answered.OutputTokens)
		}
	}
	s.Ledger.Release(t.Customer, t.uncovered)
	t.uncovered = 0
}

// strandedAfter is how long a request waits in an endpoint's queue before it may
// be taken back. It is longer than load reports lag.
const strandedAfter = time.Second

// Stranded tells that a request waits in its endpoint's queue although another
// endpoint has a free slot, as when its own became slow.
func (s *Schedule) Stranded(t *Ticket, now time.Time) bool {
	if t.phase != running || t.started || !t.Streamed || now.Sub(t.sentAt) < strandedAfter {
		return false
	}
	for _, other := range s.inOrder {
		if other == t.Endpoint || t.tried[other.Name] || !other.available(now) {
			continue
		}
		if other.load(now) < 1 && s.hasRoom(t, other, now) {
			return true
		}
	}
	return false
}

// TakeRetry tells whether the retry budget allows another attempt, and books it.
func (s *Schedule) TakeRetry() bool {
	if s.retries < 1 {
		return false
	}
	s.retries--
	return true
}

// Demand is what this router has waiting and running in the pool.
func (s *Schedule) Demand() int {
	return s.waiting + s.running
}

func (s *Schedule) queue(customer string) *queue {
	line := s.queues[customer]
	if line == nil {
		line = &queue{
			customer:  customer,
			typical:   map[string]float64{},
			unstarted: map[*Ticket]struct{}{},
		}
		s.queues[customer] = line
	}
	return line
}

// Waiting is the number of a customer's requests that wait here.
func (s *Schedule) Waiting(customer string) int {
	return s.queue(customer).length()
}
