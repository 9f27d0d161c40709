package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/settings"
)

// noteInterval is the least time between two updates of the means.
const noteInterval = 20 * time.Millisecond

// noteWaiting brings the mean numbers of waiting requests up to date.
func (s *Schedule) noteWaiting(now time.Time) {
	if now.Sub(s.notedAt) < noteInterval {
		return
	}
	s.notedAt = now
	for customer, line := range s.queues {
		s.Ledger.SetMeanWaiting(customer, line.meanWaiting(now))
	}
}

// order sorts the customers that wait here: furthest behind first, or by the
// arrival of their first request in the baseline.
func (s *Schedule) order() []*queue {
	lines := make([]*queue, 0, len(s.queues))
	for _, line := range s.queues {
		if line.length() > 0 && !s.overdrawn(line) {
			line.key = s.Ledger.Key(line.customer)
			lines = append(lines, line)
		}
	}
	slices.SortFunc(lines, func(a, b *queue) int {
		if s.rules.Order == settings.ArrivalOrder {
			return a.first().Compare(b.first())
		}
		if order := cmp.Compare(a.key, b.key); order != 0 {
			return order
		}
		if order := a.first().Compare(b.first()); order != 0 {
			return order
		}
		return cmp.Compare(a.customer, b.customer)
	})
	return lines
}

// overdrawn tells that what runs unsettled for the customer is at its bound.
func (s *Schedule) overdrawn(line *queue) bool {
	if line.running == 0 || s.rules.Order == settings.ArrivalOrder {
		return false
	}
	counter := s.Ledger.Counter(line.customer)
	return counter.Pending+counter.Reserved >= s.customers[line.customer].Unsettled
}

// quickPart is the part of the bound that a customer may lead by and still have
// its quick requests go first.
const quickPart = 4

// withinShare tells whether quick requests of the customer go before others: a
// customer far ahead of its share may not flood the pool by the quick class.
func (s *Schedule) withinShare(line *queue) bool {
	if s.rules.Order == settings.ArrivalOrder {
		return false
	}
	return s.Ledger.Lead(line.customer) <= s.Ledger.MaxLead/quickPart
}

// takeAny grants a customer's request: quick ones first, or strictly by arrival
// in the baseline.
func (s *Schedule) takeAny(line *queue, now time.Time) *Ticket {
	if s.rules.Order == settings.ArrivalOrder {
		return s.take(line.byArrival(), now)
	}
	if t := s.take(line.quick, now); t != nil {
		return t
	}
	return s.take(line.slow, now)
}

// slowPriority puts requests of no quick class behind those of a quick one.
const slowPriority = 1 << 24

// priorityPart is the part of the bound beyond which leads have one priority. A
// request keeps its priority while it waits at an engine, however its customer
// falls behind meanwhile; below the bound, others come to stand level with it,
// and an engine takes the older of two that stand level.
const priorityPart = 2

// priority is the customer's lead at the moment of sending, so that an engine
// with requests of several routers serves the one furthest behind.
func (s *Schedule) priority(t *Ticket) int {
	if s.rules.Order == settings.ArrivalOrder {
		return 0
	}
	lead := s.Ledger.NextLead(t.Customer)
	worst := min(s.Ledger.MaxLead/priorityPart, slowPriority-1)
	priority := int(min(max(lead, 0), worst))
	if !t.Quick || lead > s.Ledger.MaxLead/quickPart {
		priority += slowPriority
	}
	return priority
}
