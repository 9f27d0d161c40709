package registry

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/route"
)

// divergence handles a peer that knows the same version of the endpoints, but has another digest.
// One of the two is wrong, and its own table cannot show which, so each does one
// full read.
type divergence struct {
	// due is when this box does the full read; zero if no difference is known.
	due time.Time
	// Differences are ignored until ignoredUntil; backoff is the length of the last such period. It
	// doubles while full reads change nothing: then the other box is wrong, or the two boxes
	// interpret the same rows differently.
	ignoredUntil time.Time
	backoff      time.Duration
}

// minDivergenceBackoff and maxDivergenceBackoff bound the time in which differences are ignored.
const (
	minDivergenceBackoff = 2 * time.Second
	maxDivergenceBackoff = 10 * time.Minute
)

// recordFullRead records a full read and whether it changed any entry.
func (d *divergence) recordFullRead(changed bool, now time.Time) {
	if d.due.IsZero() {
		return
	}
	d.backoff = min(max(minDivergenceBackoff, 2*d.backoff), maxDivergenceBackoff)
	if changed {
		d.backoff = minDivergenceBackoff
	}
	d.due, d.ignoredUntil = time.Time{}, now.Add(d.backoff)
}

// postpone delays the full read after a failed call, so that few boxes call a store that is down.
func (d *divergence) postpone(now time.Time) {
	if !d.due.IsZero() {
		d.due = now.Add(minDivergenceBackoff)
	}
}

// digestMultiplier spreads the bits of a version over all bits of a digest.
const digestMultiplier = 0x9e3779b97f4a7c15

// digestOf returns an entry's part of the digest: 0 for nil and for entries that the store does
// not list.
func digestOf(entry *Entry) uint64 {
	if entry == nil || entry.Gone || !entry.GraceEnd.IsZero() {
		return 0
	}
	mixed := entry.Hash ^ uint64(entry.Version)*digestMultiplier
	mixed ^= mixed >> 32
	return mixed * digestMultiplier
}

// reportedDigest returns the digest for other boxes. It is 0 while entries of versions beyond the
// Position are known or entries are held. The lock is held.
func (r *Registry) reportedDigest() uint64 {
	if r.newestVersion > r.knowledge.Known || len(r.held) > 0 {
		return 0
	}
	return r.digest
}

// compareDigest schedules a full read if a box that knows the same version has another digest. The
// lock is held.
func (r *Registry) compareDigest(other route.Knowledge, now time.Time) {
	own := r.reportedDigest()
	if other.Known != r.knowledge.Known || other.Digest == 0 || own == 0 || !r.divergence.due.IsZero() || now.Before(r.divergence.ignoredUntil) {
		return
	}
	if other.Digest == own {
		return
	}
	r.divergence.due = now.Add(time.Duration((minOwnReadFraction + ownReadJitterFraction*rand.Float64()) * float64(r.maxLeavingDelay())))
	r.Log.Warn("another box knows other endpoints of the same version", zap.Stringer("Known", other.Known))
}

// isDivergent reports whether a full read is due because another box has other endpoints.
func (r *Registry) isDivergent(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.divergence.due.IsZero() && now.After(r.divergence.due)
}

// needsOwnRead reports whether this box has to read the store itself, whichever boxes follow it.
func (r *Registry) needsOwnRead(now time.Time) bool {
	return r.isMissingUpdates(now) || r.isDivergent(now)
}
