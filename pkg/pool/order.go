package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/settings"
)

// meanUpdateInterval is the minimum time between two updates of the means.
const meanUpdateInterval = 20 * time.Millisecond

// updateMeanWaiting updates the mean numbers of waiting requests.
func (s *Schedule) updateMeanWaiting(now time.Time) {
	if now.Sub(s.meanUpdatedAt) < meanUpdateInterval {
		return
	}
	s.meanUpdatedAt = now
	for customer, q := range s.queues {
		s.Ledger.SetMeanWaiting(customer, q.meanWaiting(now))
	}
}

// sortedQueues returns the queues with waiting requests: the customer furthest
// behind first or, with ArrivalOrder, by the arrival of the oldest request.
// Customers at their limit of unsettled cost are left out.
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

// isAtUnsettledLimit reports whether the estimated cost of what runs for the
// customer has reached its Unsettled setting.
func (s *Schedule) isAtUnsettledLimit(q *queue) bool {
	if q.running == 0 || s.rules.Order == settings.ArrivalOrder {
		return false
	}
	counter := s.Ledger.Counter(q.customer)
	return counter.Pending+counter.Reserved >= s.customers[q.customer].Unsettled
}

// quickLeadDivisor sets the fraction of MaxLead (a quarter) by which a customer
// may lead and still have its quick requests go first.
const quickLeadDivisor = 4

// isWithinShare reports whether quick requests of the customer go before
// others: a customer far ahead of its share must not flood the pool through the
// quick class.
func (s *Schedule) isWithinShare(q *queue) bool {
	if s.rules.Order == settings.ArrivalOrder {
		return false
	}
	return s.Ledger.Lead(q.customer) <= s.Ledger.MaxLead/quickLeadDivisor
}

// assignAny assigns one of a customer's requests: quick ones first, or strictly
// by arrival with ArrivalOrder.
func (s *Schedule) assignAny(q *queue, now time.Time) *Ticket {
	if s.rules.Order == settings.ArrivalOrder {
		return s.assignFirst(q.byArrival(), now)
	}
	if t := s.assignFirst(q.quick, now); t != nil {
		return t
	}
	return s.assignFirst(q.slow, now)
}

// slowPriority is added to the priority of requests that are not of a quick
// class, and of those of customers far ahead of their share, so that they come
// after quick requests.
const slowPriority = 1 << 24

// priorityLeadDivisor sets the fraction of MaxLead (a half) above which all
// leads have the same priority. A request keeps its priority while it waits at
// an engine, even if its customer falls behind in the meantime. Because the
// limit is below MaxLead, later requests of others can reach the same priority,
// and an engine takes the older of two requests of equal priority.
const priorityLeadDivisor = 2

// priority returns the customer's lead at the time of sending, so that an engine
// with requests of several routers serves the customer furthest behind.
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
