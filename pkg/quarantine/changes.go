package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// markChanged has a record sent to other boxes, except the one that it came from. The lock is
// held.
func (l *Ledger) markChanged(a *endRecord, from string) {
	l.sequence++
	a.sequence, a.from = l.sequence, from
}

func (a *endRecord) toEnd(now time.Time) End {
	return End{Fingerprint: a.fingerprint, Instance: a.instance, Version: a.version, Age: now.Sub(a.at)}
}

// Since returns the ends that changed since a mark, without those that came from the box named
// by to; if there are many, not all of them. The first mark of a stream is 0, the next is the
// one returned.
func (l *Ledger) Since(since uint64, to string, now time.Time) (ends []End, mark uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since >= l.sequence {
		return nil, l.sequence
	}
	for _, a := range l.changedSince(since) {
		if len(ends) == maxMessageEnds {
			return ends, mark
		}
		mark = a.sequence
		if a.from == "" || a.from != to {
			ends = append(ends, a.toEnd(now))
		}
	}
	return ends, l.sequence
}

// changedSince returns the records that changed since a mark, in the order of the changes. The
// lock is held.
func (l *Ledger) changedSince(since uint64) (changed []*endRecord) {
	for _, known := range l.suspects {
		for _, a := range known.ends {
			if a.sequence > since {
				changed = append(changed, a)
			}
		}
	}
	slices.SortFunc(changed, func(a, b *endRecord) int { return cmp.Compare(a.sequence, b.sequence) })
	return changed
}

// MostSevere returns the ends of the requests under which most endpoints ended, as many as fit
// into one message: what a box has to know before it sends anything.
func (l *Ledger) MostSevere(now time.Time) (ends []End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.changedSince(0)
	slices.SortStableFunc(all, func(a, b *endRecord) int { return cmp.Compare(l.endsOf(b), l.endsOf(a)) })
	for _, a := range all[:min(len(all), maxMessageEnds)] {
		ends = append(ends, a.toEnd(now))
	}
	return ends
}

// endsOf counts the ends under a record's fingerprint. The lock is held.
func (l *Ledger) endsOf(a *endRecord) int {
	ends, _ := l.suspects[a.fingerprint].countEnds()
	return ends
}

// Merge applies ends that another box sent or the store keeps. It reports whether anything
// changed.
func (l *Ledger) Merge(ends []End, from string, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range ends {
		if end.Fingerprint.IsZero() || end.Version == 0 || end.Age > maxQuarantine {
			continue
		}
		a := l.recordOf(end.Fingerprint, end.Instance, now)
		if end.Version <= a.version {
			continue
		}
		a.version, a.at = end.Version, now.Add(-end.Age)
		l.markChanged(a, from)
		changed = true
	}
	return changed
}
