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
	gracePeriod = 2200 * time.Millisecond
	graceMargin = 200 * time.Millisecond
	// lapseLook is the time between two looks whether that time is over.
	expiryCheckInterval = 100 * time.Millisecond
	// unwellFor is how long after a failed call a lost entry is put down to the
	// outage: one call's time-out and the longest wait after a failure.
	outageWindow = 2 * time.Second
)

// lapse takes the word that an entry was removed in an outage, and its endpoint is still used for a
// while. What is known to be gone stays so.
func (r *Registry) startGrace(known, entry Entry, from string, now time.Time) bool {
	if known.Gone {
		r.markGone(known, entry.Version)
		return false
	}
	if known.ID != "" {
		// The teller may know an earlier account of it.
		until := entry.GraceEnd
		if !known.GraceEnd.IsZero() && known.GraceEnd.Before(until) {
			until = known.GraceEnd
		}
		version := entry.Version
		entry = known
		entry.Version, entry.GraceEnd = version, until
	}
	if r.inGrace == nil {
		r.inGrace = map[string]struct{}{}
	}
	r.inGrace[entry.ID] = struct{}{}
	r.put(entry)
	if r.quiet {
		return known.ID == ""
	}
	r.Log.Info("entry lapsed during an outage, endpoint still used",
		zap.String("Endpoint", entry.ID),
		zap.Stringer("Version", entry.Version),
		zap.Duration("Outage", r.recoveredAt.Sub(r.outageSince)),
		zap.Duration("For", entry.GraceEnd.Sub(now)),
		zap.String("From", from))
	return known.ID == ""
}

// endLapses drops endpoints whose entries did not come back. Each box does so by itself, so that
// nothing has to be told then. The lock is held.
func (r *Registry) endGracePeriods(now time.Time) (changed bool) {
	for id := range r.inGrace {
		entry, _ := r.entries.find(id)
		if now.Before(entry.GraceEnd) {
			continue
		}
		r.markGone(entry, entry.Version)
		changed = true
		r.Log.Info("endpoint gone: its entry did not come back", zap.String("Endpoint", id))
	}
	return changed
}

func (r *Registry) hasGracePeriods() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inGrace) > 0
}

// endpointsRead notes that some box reads the endpoints.
func (r *Registry) recordEndpointsRead(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recoveredAt.After(r.failedAt) {
		r.recoveredAt, r.outageSince = now, r.lastPollAt
	}
	r.previousPollAt, r.lastPollAt = r.lastPollAt, now
}

// followLapses drops in time what did not come back or was not written again, and counts again
// what was held.
func (r *Registry) runExpiry(ctx context.Context) error {
	for interval.Wait(ctx, expiryCheckInterval) == nil {
		if r.hasGracePeriods() || r.hasHeld() {
			r.update(time.Now(), func() bool { return false })
		}
		if r.expireKeptOrders(time.Now()) {
			r.Changed()
		}
	}
	return nil
}

// presentUntil is how long an endpoint may be used that was listed at a look, where its entry may
// have gone right after that because it leaves.
func (r *Registry) usableUntil(look time.Time) time.Time {
	return look.Add(r.maxLeavingDelay() - graceMargin)
}

// lapseEnd is until when an endpoint is used whose entry went, as this box reads now. Where nobody
// had looked for as long as a departure may take to be known, the outage may be why it went, and a
// server that lives writes its entry again. The lock is held.
func (r *Registry) graceEnd() time.Time {
	end := r.usableUntil(r.previousPollAt)
	if r.recoveredAt.Sub(r.outageSince) < r.maxLeavingDelay() {
		return end
	}
	if back := r.recoveredAt.Add(min(gracePeriod, r.maxLeavingDelay()-graceMargin)); back.After(end) {
		end = back
	}
	return end
}

// toldLapseEnd is the same for what another box tells now: it may have been without the store
// alone. The lock is held.
func (r *Registry) reportedGraceEnd(told, now time.Time) time.Time {
	own := r.usableUntil(r.lastPollAt)
	if now.Sub(r.lastPollAt) >= r.maxLeavingDelay() || told.Before(own) {
		return told
	}
	return own
}

// endpointsFailed notes an outage. A store that lost its history is well.
func (r *Registry) recordEndpointsFailure(err error) {
	if isHistoryLost(err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = time.Now()
	r.divergence.postpone(r.failedAt)
}
