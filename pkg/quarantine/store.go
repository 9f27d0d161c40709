package quarantine

import (
	"slices"
	"time"
)

// storedLeast is the number of ends from which on a request is kept in the store. What all
// boxes lose together, when they are killed at once, is then one end at most: without the
// store, a request that came back after that ended three more endpoints each time, and with
// the third end only, two. Bystanders with two ends are few.
const minStoredEnds = 2

// Kept is what the store has of a request.
type StoredRequest struct {
	Fingerprint Fingerprint
	// Ends are those that count; none means that the store is to forget the request.
	Ends []End
}

// Outdated tells that none of the ends counts any more.
func (k *StoredRequest) Outdated() bool {
	return !slices.ContainsFunc(k.Ends, func(end End) bool { return end.Age <= maxQuarantine })
}

// TakeUnstored returns what this box has to have changed in the store. What could not be
// written is given back by PutBack.
func (l *Ledger) TakeUnstored(most int, now time.Time) (rows []StoredRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.unstored {
		if len(rows) == most {
			return rows
		}
		delete(l.unstored, f)
		if row, changed := l.storedRequestOf(f, now); changed {
			rows = append(rows, row)
		}
	}
	return rows
}

// keptOf is what the store is to have of a fingerprint; changed is false where it neither
// has nor needs a row. The lock is held.
func (l *Ledger) storedRequestOf(f Fingerprint, now time.Time) (row StoredRequest, changed bool) {
	row.Fingerprint = f
	known := l.suspects[f]
	if known == nil {
		return row, true
	}
	if ends, _ := known.countEnds(); ends < minStoredEnds {
		changed = known.stored
		known.stored = false
		return row, changed
	}
	known.stored = true
	for _, a := range known.ends {
		if a.ended() {
			row.Ends = append(row.Ends, a.toEnd(now))
		}
	}
	return row, true
}

// Restored has those requests written again of which the store, by its rows, has fewer ends
// than are known here.
func (l *Ledger) Reconcile(rows []StoredRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stored := map[Fingerprint]int{}
	for i := range rows {
		stored[rows[i].Fingerprint] = len(rows[i].Ends)
	}
	for f, known := range l.suspects {
		if ends, _ := known.countEnds(); ends >= minStoredEnds && stored[f] < ends {
			l.unstored[f] = true
		}
	}
}

// PutBack has rows that were not written taken again.
func (l *Ledger) PutBack(rows []StoredRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		l.unstored[row.Fingerprint] = true
	}
}
