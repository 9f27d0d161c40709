package registry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// restoreHoldDelay is how long state from before a restore of the store takes precedence over a
// row of the restored copy. A live server writes its row again within two seconds, and the row of
// any other is removed after three heartbeats.
const restoreHoldDelay = 8 * time.Second

// recordRead records a read of the endpoints. The first one after a restore of the store counts as
// its return from an outage, as entries that the copy lacks may have been written after the copy
// was made. The lock is held.
func (r *Registry) recordRead(version epoch.Version, now time.Time) {
	before := r.readVersion
	if before == 0 {
		before = r.knowledge.Known
	}
	r.readVersion = max(r.readVersion, version)
	if before == 0 || !before.HasEarlierEpochThan(version) {
		return
	}
	r.logRestored(before, version, fromStore)
	if now.Sub(r.failedAt) >= outageWindow {
		r.failedAt, r.recoveredAt, r.outageSince = now, now, time.Time{}
	}
	select {
	case r.restored() <- struct{}{}:
	default:
	}
}

func (r *Registry) logRestored(before, after epoch.Version, from string) {
	r.Log.Warn("the store was restored from a copy",
		zap.Stringer("Before", before),
		zap.Stringer("Now", after),
		zap.String("From", from))
}

// carryOver keeps known state of the same instance of an endpoint against a later row that
// contradicts it. An endpoint never withdraws that it leaves, so a row that does not state it is an
// older state that was written late. A row of a later epoch may be older than what is known,
// whatever its version, so an endpoint that is known to be gone is held. The lock is held.
func (r *Registry) carryOver(entry, known *Entry, now time.Time) {
	if entry.Supersedes(&known.Facts) {
		return
	}
	if known.Leaving && !entry.Leaving {
		r.addDeparture(lifecycle.Departure{Endpoint: known.ID, Born: known.Born}, "", now)
	}
	writtenSince := !known.Version.HasEarlierEpochThan(entry.Version) || entry.Version.Counter() > known.Version.Counter()
	if known.Gone && !entry.Gone && !writtenSince {
		entry.Gone, entry.Held = true, true
	}
}

// hold keeps an entry as gone for a while. The lock is held.
func (r *Registry) hold(entry Entry, now time.Time) {
	if r.held == nil {
		r.held = map[string]time.Time{}
	}
	r.put(entry)
	delete(r.inGrace, entry.ID)
	r.held[entry.ID] = now.Add(restoreHoldDelay)
	if r.summaryOnly {
		return
	}
	r.Log.Info("endpoint stays gone, though the restored store lists it",
		zap.String("Endpoint", entry.ID),
		zap.Stringer("Version", entry.Version))
}

func (r *Registry) hasHolds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held) > 0
}

// endHolds puts held entries that the store still lists back in use when their hold ends. The lock
// is held.
func (r *Registry) endHolds(now time.Time) (changed bool) {
	for id, until := range r.held {
		if now.Before(until) {
			continue
		}
		delete(r.held, id)
		entry, _ := r.entries.find(id)
		entry.Held = false
		// After another restore, the store may no longer list it.
		entry.Gone = entry.Version.HasEarlierEpochThan(r.knowledge.Known)
		if entry.Gone {
			r.put(entry)
			continue
		}
		r.put(entry)
		r.logKnown(&entry, fromStore)
		changed = true
	}
	return changed
}

// refreshDeclared reads the declared state if its last read is of an earlier epoch than that of
// the endpoints. The call that waits for changes may still be waiting for changes of a history
// that no longer exists.
func (r *Registry) refreshDeclared(ctx context.Context) {
	r.mu.Lock()
	behind := r.declaredVersion != 0 && r.declaredVersion.HasEarlierEpochThan(r.readVersion)
	r.mu.Unlock()
	if !behind {
		return
	}
	declared, err := r.Store.Declared(ctx)
	if err != nil {
		r.Log.Warn("catalog not read", zap.Error(err))
		return
	}
	r.applyDeclared(declared, &orderReader{log: r.Log}, true)
}

// applyDeclared puts the declared state in force.
func (r *Registry) applyDeclared(declared Declared, reader *orderReader, full bool) {
	// Orders are applied first: a box that has a configuration serves.
	if changed, current := reader.apply(declared, full); changed {
		r.OfferOrders(current, fromStore)
	}
	r.mu.Lock()
	r.declaredVersion = max(r.declaredVersion, declared.Version)
	r.mu.Unlock()
	if declared.Content != nil {
		r.OfferCatalog(declared.Content, fromStore)
	}
}
