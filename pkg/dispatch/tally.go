package dispatch

import (
	"cmp"
	"slices"
)

// Tally is what became of one customer's requests here over some time, in tokens as
// Prompt.Cost counts them. It is what tells, of two customers of which one got less,
// whether it asked less, was refused before the line or in it, or was granted what never
// began.
type Tally struct {
	// Asked was put in line, asked for by a router for the first time.
	Requested float64
	// Hopeless was refused on arrival, as too much of its kind waited before it.
	RefusedOnArrival float64
	// Turned was refused after it had waited, and Withdrawn left the line by itself.
	RefusedAfterWait, Withdrawn float64
	// Granted was given an engine.
	Granted float64
	// Begun had its first event, and Answered ended after that without a failure.
	Begun, Answered float64
	// GivenBack was granted and not used, or broke before it began.
	Refunded float64
}

// Refused is what was asked for and not granted.
func (t *Tally) Refused() float64 { return t.RefusedOnArrival + t.RefusedAfterWait }

// CustomerTally is a customer's.
type CustomerTally struct {
	Customer string
	Tally
}

// tally is the customer's current one.
func (p *Pool) tallyFor(customer string) *Tally {
	t := p.tallies[customer]
	if t == nil {
		t = &Tally{}
		p.tallies[customer] = t
	}
	return t
}

// TakeTallies returns the tallies since it was last called, the customer first that
// asked for most, and starts anew.
func (p *Pool) TakeTallies() []CustomerTally {
	tallies := make([]CustomerTally, 0, len(p.tallies))
	for customer, t := range p.tallies {
		tallies = append(tallies, CustomerTally{Customer: customer, Tally: *t})
	}
	clear(p.tallies)
	slices.SortFunc(tallies, func(a, b CustomerTally) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Customer, b.Customer))
	})
	return tallies
}
