package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// History records what the requests of one router were recently granted. The router reports it to
// a new dispatcher. That would otherwise see only the running requests, and the customers served
// most would be first in turn again: in random fleets with a change of the dispatcher, customers
// got down to 0.58 of what was due to them. It is not safe for concurrent use.
type History struct {
	// Window is the time over which grants count.
	Window time.Duration
	// sums are by customer and route.
	sums map[historyKey]*window
}

type historyKey struct {
	customer, route string
}

// GrantTotal is what a customer was granted for one route, in tokens as counted by Prompt.Cost.
type GrantTotal struct {
	Customer, Route string
	Tokens          float64
}

// Grant records a granted request.
func (h *History) Grant(req *Request, now time.Time) { h.add(req, 1, now) }

// Refund subtracts a grant for which the customer got nothing.
func (h *History) Refund(req *Request, now time.Time) { h.add(req, -1, now) }

func (h *History) add(req *Request, factor float64, now time.Time) {
	if h.sums == nil {
		h.sums = map[historyKey]*window{}
	}
	key := historyKey{req.Customer, req.Route}
	if h.sums[key] == nil {
		h.sums[key] = &window{}
	}
	h.sums[key].add(factor*req.Cost(), now, h.Window)
}

// RecentTotal returns what one customer was granted in the window, extrapolated from the recent part
// of it.
func (h *History) RecentTotal(customer string, now time.Time) (granted float64) {
	for key, sum := range h.sums {
		if key.customer == customer {
			sum.advance(now, h.Window)
			granted += sum.recentTotal()
		}
	}
	return granted
}

// Report returns, in a fixed order, what to report to a new dispatcher. The grants of running
// requests are left out, as it receives these too.
func (h *History) Report(running []*Request, now time.Time) (totals []GrantTotal) {
	left := map[historyKey]float64{}
	for key, sum := range h.sums {
		sum.advance(now, h.Window)
		if sum.sum < 1 {
			delete(h.sums, key)
			continue
		}
		left[key] = sum.sum
	}
	for _, req := range running {
		left[historyKey{req.Customer, req.Route}] -= req.Cost()
	}
	order := func(a, b historyKey) int {
		return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
	}
	for _, key := range slices.SortedFunc(maps.Keys(left), order) {
		if left[key] >= 1 {
			totals = append(totals, GrantTotal{key.customer, key.route, left[key]})
		}
	}
	return totals
}

// AddHistory records what a router's requests were granted by another box.
func (p *Pool) AddHistory(total GrantTotal, now time.Time) {
	a := p.account(total.Customer)
	for _, u := range []*usage{&a.usage, &a.queue(total.Route).usage} {
		u.requested.add(total.Tokens, now, p.Rules.Window)
		u.granted.add(total.Tokens, now, p.Rules.Window)
	}
	p.granted.add(total.Tokens, now, p.Rules.Window)
}
