package memory

import (
	"slices"
	"time"
)

// Stalled is a body that a caller has stopped sending.
type Stalled struct {
	// ID identifies the body to the caller of ChooseStalled.
	ID uint64
	// Bytes become free when it is given up.
	Bytes int64
	// Since is when the caller last sent any of it.
	Since time.Time
}

// Shortage returns how many bytes a customer has to release before it can reserve a number of bytes; 0 or less
// if it can.
func (b *Budget) Shortage(customer string, bytes int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	over := b.byCustomer[customer] + bytes - (b.Size - b.used - bytes)
	// What a customer releases it may take, and is free as well.
	return (over + 1) / 2
}

// ChooseStalled returns which bodies to give up for a number of bytes: those that have stood still for longest,
// and no more than are needed. If all of them are too few it returns none, so that no caller loses a body for
// nothing.
func ChooseStalled(stalled []Stalled, bytes int64) (chosen []Stalled) {
	oldest := slices.SortedFunc(slices.Values(stalled), func(a, b Stalled) int { return a.Since.Compare(b.Since) })
	for _, body := range oldest {
		if bytes <= 0 {
			break
		}
		chosen = append(chosen, body)
		bytes -= body.Bytes
	}
	if bytes > 0 {
		return nil
	}
	return chosen
}
