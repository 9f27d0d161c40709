package dispatch

import (
	"cmp"
	"slices"
)

// Tally is the outcome of one customer's requests here over some time, in tokens as counted by
// Prompt.Cost. If a customer got less than another, it shows whether it requested less, was
// refused on arrival or after waiting, or was granted requests that never began.
type Tally struct {
	// Requested was submitted by a router for the first time.
	Requested float64
	// RefusedOnArrival was refused at once, as the queue before it was too long or no engine
	// could take it.
	RefusedOnArrival float64
	// RefusedAfterWait was refused after it had waited, and Withdrawn was withdrawn by its
	// router.
	RefusedAfterWait, Withdrawn float64
	// Unplaced is the part of RefusedAfterWait that found engines with room while it waited, but
	// none among those that may read it.
	Unplaced float64
	// Granted was assigned to an engine.
	Granted float64
	// Begun had its first event, and Completed ended after that without a failure.
	Begun, Completed float64
	// Refunded was granted and not used, or broke before it began.
	Refunded float64
}

// Refused returns what was requested and refused.
func (t *Tally) Refused() float64 { return t.RefusedOnArrival + t.RefusedAfterWait }

// CustomerTally is the tally of a customer.
type CustomerTally struct {
	Customer string
	Tally
	// Counted is what the order of customers counts for it: what it was recently granted over all
	// groups of engines, extrapolated to a window.
	Counted float64
	// OtherGroups is what the pool knows of the customer's usage of other groups of engines.
	OtherGroups OtherGroupUsage
}

// tallyFor returns the current tally of a customer.
func (p *Pool) tallyFor(customer string) *Tally {
	t := p.tallies[customer]
	if t == nil {
		t = &Tally{}
		p.tallies[customer] = t
	}
	return t
}

// TakeTallies returns the tallies since it was last called, the customer that requested most
// first, and resets them.
func (p *Pool) TakeTallies() []CustomerTally {
	tallies := make([]CustomerTally, 0, len(p.tallies))
	for customer, t := range p.tallies {
		one := CustomerTally{Customer: customer, Tally: *t}
		if a := p.accounts[customer]; a != nil {
			one.Counted, one.OtherGroups = a.recentlyGranted(), a.otherGroups.sum
		}
		tallies = append(tallies, one)
	}
	clear(p.tallies)
	slices.SortFunc(tallies, func(a, b CustomerTally) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Customer, b.Customer))
	})
	return tallies
}
