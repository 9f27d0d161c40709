package registry

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/route"
)

// divergence is what this box does about another one that knows the same version, and other
// endpoints: one of them is wrong, and its own table would never tell it. It reads all, once.
type divergence struct {
	// due is when this box reads all; zero while it is not known to differ.
	due time.Time
	// restUntil is until when differences are passed over, and rest how long the last such time
	// was: it doubles while readings change nothing, as it is the other box then that is wrong, or
	// the boxes take the same rows differently.
	ignoredUntil time.Time
	backoff      time.Duration
}

// divergenceRest and divergenceRestMost bound the times in which differences are passed over.
const (
	minDivergenceBackoff = 2 * time.Second
	maxDivergenceBackoff = 10 * time.Minute
)

// settle notes a reading of all endpoints, and whether it changed any.
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

// postpone puts the reading off after a failed call, so that few boxes try a store that is lost.
func (d *divergence) postpone(now time.Time) {
	if !d.due.IsZero() {
		d.due = now.Add(minDivergenceBackoff)
	}
}

// mixDigest spreads the bits of a version over all of a digest.
const digestMultiplier = 0x9e3779b97f4a7c15

// digestOf is an entry's part of the digest; nil, and what is not listed, has none.
func digestOf(entry *Entry) uint64 {
	if entry == nil || entry.Gone || !entry.GraceEnd.IsZero() {
		return 0
	}
	mixed := entry.Hash ^ uint64(entry.Version)*digestMultiplier
	mixed ^= mixed >> 32
	return mixed * digestMultiplier
}

// toldDigest is 0 where entries are known beyond the version up to which all are. The lock is held.
func (r *Registry) reportedDigest() uint64 {
	if r.newestVersion > r.knowledge.Known || len(r.held) > 0 {
		return 0
	}
	return r.digest
}

// compare looks at the digest of a box that knows as much. The lock is held.
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

// isDivergent tells whether this box has to read all endpoints, as another one knows others.
func (r *Registry) isDivergent(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.divergence.due.IsZero() && now.After(r.divergence.due)
}

// lacks tells whether this box has to look at the store by itself, whoever follows it.
func (r *Registry) needsOwnRead(now time.Time) bool {
	return r.isMissingUpdates(now) || r.isDivergent(now)
}
