package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// marginSpan is the number of seconds over which a customer that is refused something in each of them
// must not get less than half of what another one gets.
const marginSpan = 6

// margin is what a customer got within marginSpan seconds of what was due to it: second by second,
// the smaller of what it requested and what the customer got that got most in the span.
type margin struct {
	customer, most string
	// from is the first second, counted from the Unix epoch.
	from int64
	// got and due are in tokens, and so is mostGot, what the most served customer got.
	got, due, mostGot int64
}

func (m *margin) fraction() float64 { return float64(m.got) / float64(m.due) }

// margins returns the smallest margin of each customer, the smallest first. What a customer got is
// what began at engines.
func (s *Shares) margins() (smallest []margin) {
	byCustomer := map[string]margin{}
	for _, from := range s.seconds() {
		most, mostGot := s.mostServed(from)
		for _, customer := range s.customers() {
			m := margin{customer: customer, most: most, from: from, mostGot: mostGot}
			if !s.addUp(&m) || m.due == 0 {
				continue
			}
			if known, ok := byCustomer[customer]; !ok || m.fraction() < known.fraction() {
				byCustomer[customer] = m
			}
		}
	}
	smallest = slices.Collect(maps.Values(byCustomer))
	slices.SortFunc(smallest, func(a, b margin) int {
		return cmp.Or(cmp.Compare(a.fraction(), b.fraction()), cmp.Compare(a.customer, b.customer))
	})
	return smallest
}

// addUp sums up the seconds of a margin. It reports whether its customer was refused something in
// each of them.
func (s *Shares) addUp(m *margin) (refused bool) {
	for second := m.from; second < m.from+marginSpan; second++ {
		key := sharesKey{second, m.customer}
		if s.refused(key) == 0 {
			return false
		}
		m.got += s.begun(second, m.customer)
		m.due += min(s.requested(key), s.begun(second, m.most))
	}
	return true
}

// requested returns what a customer's callers requested in a second, with what their box refused
// without asking the dispatcher. The reports and the lines of single requests are each a lower bound.
func (s *Shares) requested(key sharesKey) int64 {
	byLines := s.begun(key.second, key.customer) + s.refusedTokens[key]
	row := s.rows[key]
	if row == nil {
		return byLines
	}
	return max(byLines, row.amounts["Asked"]+row.locallyRefused())
}

// refused returns what a customer was refused in a second.
func (s *Shares) refused(key sharesKey) int64 {
	row := s.rows[key]
	if row == nil {
		return s.refusedTokens[key]
	}
	return max(s.refusedTokens[key], row.locallyRefused()+row.amounts["Hopeless"]+row.amounts["Turned"])
}

// locallyRefused returns what boxes refused without asking the dispatcher.
func (r *sharesRow) locallyRefused() int64 {
	return r.amounts["TurnedShare"] + r.amounts["TurnedBusy"] + r.amounts["TurnedStarting"]
}

func (s *Shares) begun(second int64, customer string) int64 {
	if row := s.rows[sharesKey{second, customer}]; row != nil {
		return row.amounts["Begun"]
	}
	return 0
}

// mostServed returns the customer that got most in the span that begins at a second.
func (s *Shares) mostServed(from int64) (most string, got int64) {
	got = -1
	for _, customer := range s.customers() {
		sum := int64(0)
		for second := from; second < from+marginSpan; second++ {
			sum += s.begun(second, customer)
		}
		if sum > got {
			most, got = customer, sum
		}
	}
	return most, got
}

// seconds returns the seconds with rows, in order.
func (s *Shares) seconds() []int64 {
	found := map[int64]bool{}
	for key := range s.rows {
		found[key.second] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// customers returns the customers with rows, in order.
func (s *Shares) customers() []string {
	found := map[string]bool{}
	for key := range s.rows {
		found[key.customer] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// writeMargins prints the smallest margins, in thousands of tokens.
func (s *Shares) writeMargins(out io.Writer) {
	const maxPrinted = 5
	margins := s.margins()
	if len(margins) == 0 {
		return
	}
	fmt.Fprintf(out, "\nleast served of what was due, over %d seconds in each of which the customer was refused something\n", marginSpan)
	for _, m := range margins[:min(maxPrinted, len(margins))] {
		fmt.Fprintf(out, "%.2f from %d s: %s got %d of %d; %s got %d\n", m.fraction(), m.from-s.earliest.Unix(), m.customer, m.got/kilo, m.due/kilo, m.most, m.mostGot/kilo)
	}
}
