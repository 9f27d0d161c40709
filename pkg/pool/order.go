package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/settings"
)

// noteInterval is the least time between two updates of the means.
const meanUpdateInterval = 20 * time.Millisecond

// noteWaiting brings the mean numbers of waiting requests up to date.
func (s *Schedule) updateMeanWaiting(now time.Time) {
	if now.Sub(s.meanUpdatedAt) < meanUpdateInterval {
		return
	}
	s.meanUpdatedAt = now
	for customer, q := range s.queues {
		s.Ledger.SetMeanWaiting(customer, q.meanWaiting(now))
	}
}

// order sorts the customers that wait here: furthest behind first, or by the
// arrival of their first request in the baseline.
func (s *Schedule) sortedQueues() []*queue {
	queues := make([]*queue, 0, len(s.queues))
	for _, q := range s.queues {
		if q.waitingCount() > 0 && !s.isAtUnsettledLimit(q) {
			q.key = s.Ledger.Key(q.customer)
			queues = append(queues, q)
		}
	}
	slices.SortFunc(queues, func(a, b *queue) int {
		if s.rules.Order == settings.ArrivalOrder {
			return a.oldestArrival().Compare(b.oldestArrival())
		}
		if order := cmp.Compare(a.key, b.key); order != 0 {
			return order
		}
		if order := a.oldestArrival().Compare(b.oldestArrival()); order != 0 {
			return order
		}
		return cmp.Compare(a.customer, b.customer)
	})
	return queues
}

// overdrawn tells that what runs unsettled for the customer is at its bound.
func (s *Schedule) isAtUnsettledLimit(q *queue) bool {
	if q.running == 0 || s.rules.Order == settings.ArrivalOrder {
		return false
	}
	counter := s.Ledger.Counter(q.customer)
	return counter.Pending+counter.Reserved >= s.customers[q.customer].Unsettled
}

// quickPart is the part of the bound that a customer may lead by and still have
// its quick requests go first.
const quickLeadDivisor = 4

// withinShare tells whether quick requests of the customer go before others: a
// customer far ahead of its share may not flood the pool by the quick class.
func (s *Schedule) isWithinShare(q *queue) bool {
	if s.rules.Order == settings.ArrivalOrder {
		return false
	}
	return s.Ledger.Lead(q.customer) <= s.Ledger.MaxLead/quickLeadDivisor
}

// takeAny grants a customer's request: quick ones first, or strictly by arrival
// in the baseline.
func (s *Schedule) assignAny(q *queue, now time.Time) *Ticket {
	if s.rules.Order == settings.ArrivalOrder {
		return s.assignFirst(q.byArrival(), now)
	}
	if t := s.assignFirst(q.quick, now); t != nil {
		return t
	}
	return s.assignFirst(q.slow, now)
}

// slowPriority puts requests of no quick class behind those of a quick one.
const slowPriority = 1 << 24

// priorityPart is the part of the bound beyond which leads have one priority. A
// request keeps its priority while it waits at an engine, however its customer
// falls behind meanwhile; below the bound, others come to stand level with it,
// and an engine takes the older of two that stand level.
const priorityLeadDivisor = 2

// priority is the customer's lead at the moment of sending, so that an engine
// with requests of several routers serves the one furthest behind.
func (s *Schedule) priority(t *Ticket) int {
	if s.rules.Order == settings.ArrivalOrder {
		return 0
	}
	lead := s.Ledger.NextLead(t.Customer)
	maxPriority := min(s.Ledger.MaxLead/priorityLeadDivisor, slowPriority-1)
	priority := int(min(max(lead, 0), maxPriority))
	if !t.Quick || lead > s.Ledger.MaxLead/quickLeadDivisor {
		priority += slowPriority
	}
	return priority
}
