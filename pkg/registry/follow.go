package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/interval"
)

const (
	// followCheckInterval is the time between two checks whether this box has to follow the store.
	// A fleet notices within a few seconds that a box is gone; this adds little.
	followCheckInterval = 250 * time.Millisecond
	// firstStartDelay is how long a box of a fleet that starts for the first time waits for others
	// to send the state of the store. Sessions are open within half a second, and callers come
	// seconds later. After a restart callers are waiting already.
	firstStartDelay = 700 * time.Millisecond
	// firstStartTimeout is how long a box without any state waits for others to send it, if no box
	// of the fleet has run before.
	firstStartTimeout = 3 * time.Second
	// A turn is the time in which the boxes that read the store inform the others. It takes at
	// least minTurnInterval, and turnIntervalCalls times as long as the call that read the list of
	// boxes: if the store or the box is slow, the calls that follow are slow as well. Turns apply
	// to boxes that are listed but not known to be alive; they may be long gone. maxStartDelay
	// bounds all turns together: a box that waits for them refuses its callers. Boxes that rank
	// so late spread over the second half of it, as they would all read at once otherwise.
	minTurnInterval   = 600 * time.Millisecond
	turnIntervalCalls = 10
	maxStartDelay     = 10 * minTurnInterval
	// maxLiveStartDelay bounds the wait for boxes of a lower rank that are alive and reach the
	// store.
	maxLiveStartDelay = time.Minute
	// boxListTimeout is how long a box waits for the list of boxes, which determines its start
	// rank.
	boxListTimeout = 3 * time.Second
	// maxStartReaders is the number of boxes that read at once.
	maxStartReaders = 6
	// startCheckInterval is the time between two checks whether it is this box's turn.
	startCheckInterval = 50 * time.Millisecond
)

// awaitStartTurn waits until this box has to read the state itself or others have sent it. If all
// boxes start at once and each reads for itself, a table of many pages is read once per box. That
// slows down the store for all, and even more boxes read.
func (r *Registry) awaitStartTurn(ctx context.Context) error {
	if r.FirstStart {
		if err := interval.Wait(ctx, firstStartDelay); err != nil {
			return err
		}
	}
	listCtx, cancel := context.WithTimeout(ctx, boxListTimeout)
	defer cancel()
	select {
	case <-listCtx.Done():
	case <-r.boxesListed():
	}
	turnInterval := max(minTurnInterval, turnIntervalCalls*r.listCallTime())
	maxDelay := maxStartDelay/2 + rand.N(maxStartDelay/2)
	for listedAt := time.Now(); r.isUninitialized() && !r.canRead(time.Since(listedAt), turnInterval, maxDelay); {
		if err := interval.Wait(ctx, interval.Jittered(startCheckInterval)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// listCallTime returns how long the call took that first read the list of boxes; 0 without one. Calls that
// failed before do not count: an outage says nothing about how long a read takes.
func (r *Registry) listCallTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstListTime
}

// canRead reports whether this box may read the store, a time after it learned its start rank.
// Boxes of a lower rank that are alive and reach the store read first and send their result,
// however long that takes; boxes that are only listed may be gone.
func (r *Registry) canRead(waited, turnInterval, maxDelay time.Duration) bool {
	if r.FirstStart && waited < firstStartTimeout && !r.IsFollower() {
		return false
	}
	if r.LiveAhead != nil && r.LiveAhead() >= maxStartReaders && waited < maxLiveStartDelay {
		return false
	}
	if r.StartRank == nil {
		return true
	}
	turns := time.Duration(r.StartRank() / maxStartReaders)
	return waited >= min(turns*turnInterval, maxDelay)
}

// boxesListed returns the channel boxListSignal, which is created on first use.
func (r *Registry) boxesListed() chan struct{} {
	r.boxListOnce.Do(func() { r.boxListSignal = make(chan struct{}) })
	return r.boxListSignal
}

// awaitFollow waits until this box has to read the store. Without state, that is in its start turn,
// unless it receives the state before. With state, it is when this box has to follow the store, or
// when needsOwnRead returns true; a nil needsOwnRead never does. It returns the context's error if
// that ends first.
func (r *Registry) awaitFollow(ctx context.Context, hasState bool, needsOwnRead func(now time.Time) bool) error {
	if r.IsFollower == nil {
		return ctx.Err()
	}
	if !hasState {
		if err := r.awaitStartTurn(ctx); err != nil || r.isUninitialized() {
			return err
		}
	}
	waited := false
	for !r.IsFollower() {
		if needsOwnRead != nil && needsOwnRead(time.Now()) {
			r.Log.Info("the store is read for what no other box can tell", zap.Stringer("Known", r.Position()))
			return ctx.Err()
		}
		waited = true
		if err := interval.Wait(ctx, interval.Jittered(followCheckInterval)); err != nil {
			return err
		}
	}
	if waited && needsOwnRead != nil {
		r.Log.Info("this box follows the store", zap.Bool("LostElsewhere", r.IsStoreLostElsewhere()))
	}
	if waited && r.IsStoreLostElsewhere() {
		// Entries that are missing now may have been removed because of the outage. The boxes that
		// followed the store know of the outage, and this one has to treat removals as they do.
		r.recordEndpointsFailure(errLostElsewhere)
	}
	return ctx.Err()
}

// missingUpdates records that a box lacks changes which its peers know to exist but cannot supply,
// as their state began after the version that this box knows.
type missingUpdates struct {
	// known is the version up to which the peers know all changes. due is when this box reads the
	// store itself unless it receives the changes before; it is zero while nothing is missing.
	known epoch.Version
	due   time.Time
}

// A box that lacks changes waits for others to send them for minOwnReadFraction to
// minOwnReadFraction+ownReadJitterFraction of MaxLeavingDelay, on top of the time between two
// polls. The first box that reads the store informs the others, so they read at different times.
const (
	minOwnReadFraction    = 0.1
	ownReadJitterFraction = 0.2
)

// record records that peers know all changes up to a version.
func (u *missingUpdates) record(known epoch.Version, maxLeavingDelay time.Duration, now time.Time) {
	if u.due.IsZero() {
		u.due = now.Add(time.Duration((minOwnReadFraction + ownReadJitterFraction*rand.Float64()) * float64(maxLeavingDelay)))
	}
	u.known = max(u.known, known)
}

// isMissingUpdates reports whether this box has to read the store itself although others follow
// it. Without this, boxes that do not follow the store sent requests to ended endpoints for 12 s,
// until a soak test was over, as the state of all boxes that followed it had begun after the
// version that they knew.
func (r *Registry) isMissingUpdates(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.knowledge.Known >= r.missing.known {
		r.missing = missingUpdates{}
	}
	return !r.missing.due.IsZero() && now.After(r.missing.due)
}

// isUninitialized reports whether this box still lacks state that it needs to serve requests.
func (r *Registry) isUninitialized() bool { return r.Catalog() == nil || r.Directory() == nil }

// minStoreLostInterval is the minimum time between two reports that the store is lost or back. If
// responses are lost at random, calls fail and succeed in turn, and each report is sent through the
// fleet.
const minStoreLostInterval = time.Second

// recordCall records whether a call of the store succeeded.
func (r *Registry) recordCall(err error) {
	if r.StoreLost == nil {
		return
	}
	lost := err != nil && !isHistoryLost(err)
	now := time.Now()
	r.mu.Lock()
	changed := lost != r.storeLost && now.Sub(r.storeLostChangedAt) >= minStoreLostInterval
	if changed {
		r.storeLost, r.storeLostChangedAt = lost, now
	}
	r.mu.Unlock()
	if changed {
		r.StoreLost(lost)
	}
}
