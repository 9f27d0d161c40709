package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// History is what one router's requests were granted of late. A router tells it to a box
// that takes over, which would else know of a customer's service only what still runs: who
// had most is then first in turn again. In drawn fleets with a change of the box that
// dispatches, customers got down to 0.58 of what was due to them without it. It is not
// safe for concurrent use.
type History struct {
	// Window is the time over which grants count.
	Window time.Duration
	// sums are by customer and route.
	sums map[historyKey]*window
}

type historyKey struct {
	customer, route string
}

// Service is what a customer was granted of one route, in tokens as Prompt.Cost counts
// them.
type GrantTotal struct {
	Customer, Route string
	Tokens          float64
}

// Grant notes a granted request.
func (h *History) Grant(req *Request, now time.Time) { h.add(req, 1, now) }

// Refund takes it back, where the customer got nothing by it.
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

// Sum is what one customer was granted.
func (h *History) Granted(customer string, now time.Time) (granted float64) {
	for key, sum := range h.sums {
		if key.customer == customer {
			sum.advance(now, h.Window)
			granted += sum.sum
		}
	}
	return granted
}

// Told is what to tell a box that is told of what runs as well, in a fixed order.
func (h *History) Report(running []*Request, now time.Time) (told []GrantTotal) {
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
			told = append(told, GrantTotal{key.customer, key.route, left[key]})
		}
	}
	return told
}

// Recall books what a router's requests were granted by another box.
func (p *Pool) AddHistory(s GrantTotal, now time.Time) {
	a := p.account(s.Customer)
	for _, u := range []*usage{&a.usage, &a.queue(s.Route).usage} {
		u.requested.add(s.Tokens, now, p.Rules.Window)
		u.granted.add(s.Tokens, now, p.Rules.Window)
	}
	p.granted.add(s.Tokens, now, p.Rules.Window)
}
