package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// markChanged marks a record to be sent to the other boxes, except the one that it came from.
// The lock is held.
func (l *Ledger) markChanged(r *endRecord, from string) {
	l.sequence++
	r.sequence, r.from = l.sequence, from
}

func (r *endRecord) toEnd(now time.Time) End {
	return End{Fingerprint: r.fingerprint, Instance: r.instance, Version: r.version, Age: now.Sub(r.at)}
}

// EndsSince returns the ends that changed since a mark, maxMessageEnds at most, without those
// that came from the box named by to. The first mark of a stream is 0, the next is the
// one returned.
func (l *Ledger) EndsSince(since uint64, to string, now time.Time) (ends []End, mark uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since >= l.sequence {
		return nil, l.sequence
	}
	for _, r := range l.changedSince(since) {
		if len(ends) == maxMessageEnds {
			return ends, mark
		}
		mark = r.sequence
		if r.from == "" || r.from != to {
			ends = append(ends, r.toEnd(now))
		}
	}
	return ends, l.sequence
}

// changedSince returns the records that changed since a mark, in the order of the changes. The
// lock is held.
func (l *Ledger) changedSince(since uint64) (changed []*endRecord) {
	for _, known := range l.suspects {
		for _, r := range known.ends {
			if r.sequence > since {
				changed = append(changed, r)
			}
		}
	}
	slices.SortFunc(changed, func(a, b *endRecord) int { return cmp.Compare(a.sequence, b.sequence) })
	return changed
}

// MostSevere returns the ends of the requests under which most endpoints ended, as many as fit
// into one message: what a box needs before it sends any request.
func (l *Ledger) MostSevere(now time.Time) (ends []End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.changedSince(0)
	slices.SortStableFunc(all, func(a, b *endRecord) int { return cmp.Compare(l.endsOf(b), l.endsOf(a)) })
	for _, r := range all[:min(len(all), maxMessageEnds)] {
		ends = append(ends, r.toEnd(now))
	}
	return ends
}

// endsOf counts the ends under a record's fingerprint. The lock is held.
func (l *Ledger) endsOf(r *endRecord) int {
	ends, _ := l.suspects[r.fingerprint].countEnds()
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
		r := l.recordOf(end.Fingerprint, end.Instance, now)
		if end.Version <= r.version {
			continue
		}
		r.version, r.at = end.Version, now.Add(-end.Age)
		l.markChanged(r, from)
		l.countPart(end.Fingerprint, l.suspects[end.Fingerprint])
		changed = true
	}
	return changed
}
