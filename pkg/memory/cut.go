package memory

import (
	"maps"
	"slices"
	"time"
)

// Unread is an answer that its caller has stopped reading.
type Unread struct {
	// ID identifies the answer to the caller of ChooseCuts.
	ID uint64
	// Customer is the customer whose bytes it takes.
	Customer string
	// Bytes become free when it is cut.
	Bytes int64
	// Since is when the caller last read any of it.
	Since time.Time
}

// maxUsedShare is the share of the budget above which it is nearly used. Three customers at their
// limit use just as much, and one more customer then still gets an eighth of the budget.
const maxUsedShare = 0.75

// ChooseCuts returns the answers to be cut while the budget is nearly used: those unread for
// longest of the customer furthest over its share, until enough bytes are free or no customer over
// its share has an unread answer. A share is an equal part of the bytes that may be used before the
// budget is nearly used, so a customer within its share loses nothing.
func (b *Budget) ChooseCuts(unread []Unread) (cuts []Unread) {
	b.mu.Lock()
	used, byCustomer := b.used, maps.Clone(b.byCustomer)
	b.mu.Unlock()
	allowed := int64(maxUsedShare * float64(b.Size))
	if used <= allowed {
		return nil
	}
	share := allowed / int64(max(1, len(byCustomer)))
	oldestFirst := map[string][]Unread{}
	for _, answer := range unread {
		oldestFirst[answer.Customer] = append(oldestFirst[answer.Customer], answer)
	}
	for _, answers := range oldestFirst {
		slices.SortFunc(answers, func(a, b Unread) int { return a.Since.Compare(b.Since) })
	}
	for used > allowed {
		customer, found := furthestOver(byCustomer, share, oldestFirst)
		if !found {
			return cuts
		}
		cut := oldestFirst[customer][0]
		oldestFirst[customer] = oldestFirst[customer][1:]
		used -= cut.Bytes
		byCustomer[customer] -= cut.Bytes
		cuts = append(cuts, cut)
	}
	return cuts
}

// furthestOver returns the customer that keeps most of those that are over the share and have an
// unread answer. The name decides between equal ones, so that the choice does not depend on the
// order of a map.
func furthestOver(byCustomer map[string]int64, share int64, unread map[string][]Unread) (customer string, found bool) {
	for name, answers := range unread {
		bytes := byCustomer[name]
		if len(answers) == 0 || bytes <= share {
			continue
		}
		if !found || bytes > byCustomer[customer] || (bytes == byCustomer[customer] && name < customer) {
			customer, found = name, true
		}
	}
	return customer, found
}
