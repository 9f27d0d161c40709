package registry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
)

const (
	// gracePeriod is how long after the store's return an endpoint whose entry was removed during
	// the outage is still used. The user documentation says that the entry of a live server is back
	// within two seconds. The period ends graceMargin before MaxLeavingDelay is over, as the entry
	// may be that of an endpoint that has left.
	gracePeriod = 2200 * time.Millisecond
	graceMargin = 200 * time.Millisecond
	// expiryCheckInterval is the time between two checks for ended grace periods, holds and
	// kept orders.
	expiryCheckInterval = 100 * time.Millisecond
	// outageWindow is how long after a failed call the removal of an entry is attributed to the
	// outage: the timeout of one call and the longest delay after a failure.
	outageWindow = 2 * time.Second
)

// startGrace handles the removal of an entry during an outage: its endpoint stays in use until the
// grace period ends. It reports whether the directory changes. An entry that is known to be gone
// stays gone.
func (r *Registry) startGrace(known, entry Entry, from string, now time.Time) bool {
	if known.Gone {
		r.markGone(known, entry.Version)
		return false
	}
	if known.ID != "" {
		// The sender may know an earlier version of the entry.
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
	if r.summaryOnly {
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

// endGracePeriods drops endpoints whose entries were not written again in time. Each box does so by
// itself; nothing has to be sent. The lock is held.
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

// recordEndpointsRead records that some box has read the endpoints.
func (r *Registry) recordEndpointsRead(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recoveredAt.After(r.failedAt) {
		r.recoveredAt, r.outageSince = now, r.lastPollAt
	}
	r.previousPollAt, r.lastPollAt = r.lastPollAt, now
}

// runExpiry ends grace periods, holds and kept orders in time.
func (r *Registry) runExpiry(ctx context.Context) error {
	for interval.Wait(ctx, expiryCheckInterval) == nil {
		if r.hasGracePeriods() || r.hasHolds() {
			r.update(time.Now(), func() bool { return false })
		}
		if r.expireKeptOrders(time.Now()) {
			r.Changed()
		}
	}
	return nil
}

// usableUntil returns until when an endpoint may be used that a poll has listed: its entry may have
// been removed right after that poll because it leaves.
func (r *Registry) usableUntil(polledAt time.Time) time.Time {
	return polledAt.Add(r.maxLeavingDelay() - graceMargin)
}

// graceEnd returns until when an endpoint is used whose entry is missing from a read of this box.
// If no box had polled for as long as a departure may take to become known, the outage may be the
// cause, and a live server writes its entry again. The lock is held.
func (r *Registry) graceEnd() time.Time {
	end := r.usableUntil(r.previousPollAt)
	if r.recoveredAt.Sub(r.outageSince) < r.maxLeavingDelay() {
		return end
	}
	if graceAfterReturn := r.recoveredAt.Add(min(gracePeriod, r.maxLeavingDelay()-graceMargin)); graceAfterReturn.After(end) {
		end = graceAfterReturn
	}
	return end
}

// reportedGraceEnd returns the same for an entry of which another box reports a grace period: that
// box alone may have been cut off from the store. The lock is held.
func (r *Registry) reportedGraceEnd(reported, now time.Time) time.Time {
	own := r.usableUntil(r.lastPollAt)
	if now.Sub(r.lastPollAt) >= r.maxLeavingDelay() || reported.Before(own) {
		return reported
	}
	return own
}

// recordEndpointsFailure records an outage. A store that lost its history is not down.
func (r *Registry) recordEndpointsFailure(err error) {
	if isHistoryLost(err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = time.Now()
	r.divergence.postpone(r.failedAt)
}
