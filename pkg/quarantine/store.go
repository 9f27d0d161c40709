package quarantine

import (
	"slices"
	"time"
)

// minStoredEnds is the number of ends from which on a request is kept in the store. If all
// boxes are killed at once, one end is lost at most. Without the store, a crashing request
// that was repeated after such a loss ended three more endpoints each time, and when
// it was stored from the third end on, two. Bystanders with two ends are few.
const minStoredEnds = 2

// StoredRequest is what the store keeps of a request.
type StoredRequest struct {
	Fingerprint Fingerprint
	// Ends are those that count; if there are none, the row has to be deleted.
	Ends []End
}

// IsExpired reports whether none of the ends counts any more.
func (r *StoredRequest) IsExpired() bool {
	return !slices.ContainsFunc(r.Ends, func(end End) bool { return end.Age <= maxQuarantine })
}

// TakeUnstored returns the rows that this box has to change in the store, up to a limit. Rows
// that could not be written are returned with PutBack.
func (l *Ledger) TakeUnstored(limit int, now time.Time) (rows []StoredRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.unstored {
		if len(rows) == limit {
			return rows
		}
		delete(l.unstored, f)
		if row, changed := l.storedRequestOf(f, now); changed {
			rows = append(rows, row)
		}
	}
	return rows
}

// storedRequestOf returns the row that the store should have of a fingerprint; changed is false
// if the store neither has nor needs one. The lock is held.
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
	for _, r := range known.ends {
		if r.ended() {
			row.Ends = append(row.Ends, r.toEnd(now))
		}
	}
	return row, true
}

// Reconcile compares the rows of the store with the ledger. It marks the requests of which the
// store has fewer ends to be written again.
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

// PutBack marks rows that were not written, so that TakeUnstored returns them again.
func (l *Ledger) PutBack(rows []StoredRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		l.unstored[row.Fingerprint] = true
	}
}
