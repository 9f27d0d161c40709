package registry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
)

const (
	// lapseGrace is how long after the store's return an entry that went during the
	// outage is still used; the users' pages say that a live server is back within
	// two seconds. It ends lapseReserve before LeavingTime is over, as the entry may
	// be that of an endpoint that has left.
	lapseGrace   = 2200 * time.Millisecond
	lapseReserve = 200 * time.Millisecond
	// lapseLook is the time between two looks whether that time is over.
	lapseLook = 100 * time.Millisecond
	// unwellFor is how long after a failed call a lost entry is put down to the
	// outage: one call's time-out and the longest wait after a failure.
	unwellFor = 2 * time.Second
)

// lapse takes the word that an entry was removed in an outage, and its endpoint is still used for a
// while. What is known to be gone stays so.
func (r *Registry) lapse(known, entry Entry, from string, now time.Time) bool {
	if known.Gone {
		r.bury(known, entry.Version)
		return false
	}
	if known.ID != "" {
		// The teller may know an earlier account of it.
		until := entry.LapsesAt
		if !known.LapsesAt.IsZero() && known.LapsesAt.Before(until) {
			until = known.LapsesAt
		}
		version := entry.Version
		entry = known
		entry.Version, entry.LapsesAt = version, until
	}
	if r.lapsing == nil {
		r.lapsing = map[string]struct{}{}
	}
	r.lapsing[entry.ID] = struct{}{}
	r.put(entry)
	if r.quiet {
		return known.ID == ""
	}
	r.Log.Info("entry lapsed during an outage, endpoint still used",
		zap.String("Endpoint", entry.ID),
		zap.Stringer("Version", entry.Version),
		zap.Duration("Outage", r.returnedAt.Sub(r.unwellSince)),
		zap.Duration("For", entry.LapsesAt.Sub(now)),
		zap.String("From", from))
	return known.ID == ""
}

// endLapses drops endpoints whose entries did not come back. Each box does so by itself, so that
// nothing has to be told then. The lock is held.
func (r *Registry) endLapses(now time.Time) (changed bool) {
	for id := range r.lapsing {
		entry, _ := r.entries.find(id)
		if now.Before(entry.LapsesAt) {
			continue
		}
		r.bury(entry, entry.Version)
		changed = true
		r.Log.Info("endpoint gone: its entry did not come back", zap.String("Endpoint", id))
	}
	return changed
}

func (r *Registry) lapsePending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lapsing) > 0
}

// endpointsRead notes that some box reads the endpoints.
func (r *Registry) endpointsRead(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.returnedAt.After(r.unwellAt) {
		r.returnedAt, r.unwellSince = now, r.lookedAt
	}
	r.lookedBefore, r.lookedAt = r.lookedAt, now
}

// followLapses drops in time what did not come back or was not written again, and counts again
// what was held.
func (r *Registry) followLapses(ctx context.Context) error {
	for interval.Wait(ctx, lapseLook) == nil {
		if r.lapsePending() || r.holdPending() {
			r.update(time.Now(), func() bool { return false })
		}
		if r.endKeptOrders(time.Now()) {
			r.Changed()
		}
	}
	return nil
}

// presentUntil is how long an endpoint may be used that was listed at a look, where its entry may
// have gone right after that because it leaves.
func (r *Registry) presentUntil(look time.Time) time.Time {
	return look.Add(r.leavingTime() - lapseReserve)
}

// lapseEnd is until when an endpoint is used whose entry went, as this box reads now. Where nobody
// had looked for as long as a departure may take to be known, the outage may be why it went, and a
// server that lives writes its entry again. The lock is held.
func (r *Registry) lapseEnd() time.Time {
	end := r.presentUntil(r.lookedBefore)
	if r.returnedAt.Sub(r.unwellSince) < r.leavingTime() {
		return end
	}
	if back := r.returnedAt.Add(min(lapseGrace, r.leavingTime()-lapseReserve)); back.After(end) {
		end = back
	}
	return end
}

// toldLapseEnd is the same for what another box tells now: it may have been without the store
// alone. The lock is held.
func (r *Registry) toldLapseEnd(told, now time.Time) time.Time {
	own := r.presentUntil(r.lookedAt)
	if now.Sub(r.lookedAt) >= r.leavingTime() || told.Before(own) {
		return told
	}
	return own
}

// endpointsFailed notes an outage. A store that lost its history is well.
func (r *Registry) endpointsFailed(err error) {
	if isHistoryLost(err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unwellAt = time.Now()
	r.divergence.postpone(r.unwellAt)
}
