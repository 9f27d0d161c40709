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
	// followLook is the time between two looks whether it falls to this box to follow the
	// store. A fleet notices within a few seconds that a box is gone; this adds little.
	followCheckInterval = 250 * time.Millisecond
	// firstStartWait is how long a box of a fleet that starts for the first time waits
	// for others to tell it what the store holds. Sessions stand within half a second,
	// and callers come seconds later. After a restart callers wait already.
	firstStartDelay = 700 * time.Millisecond
	// toldPatience is how long a box that knows nothing yet lets others tell it where no box
	// of the fleet has run before.
	firstStartTimeout = 3 * time.Second
	// turnStep is the time in which those that read the store tell the others, at least, and
	// turnCalls the same in calls of this box for the list of boxes: where the store or the
	// box is slow, so is all that follows. It goes for boxes that are listed and not heard,
	// and turnMost bounds the time until the last one reads for itself.
	minTurnInterval   = 600 * time.Millisecond
	turnIntervalCalls = 10
	maxStartDelay     = 10 * minTurnInterval
	// turnLongest bounds the wait for boxes that are alive and reach the store.
	maxLiveStartDelay = time.Minute
	// listPatience is how long a box waits for the list of boxes, which tells its turn.
	boxListTimeout = 3 * time.Second
	// turnBoxes is the number of boxes that read at once.
	maxStartReaders = 6
	// turnLook is the time between two looks whether it is this box's turn.
	startCheckInterval = 50 * time.Millisecond
)

// awaitTurnToRead waits until it falls to this box to read what it does not know, or until
// others have told it. Where all boxes start at once and each reads for itself, a table of many
// pages is read once for each box, which slows the store for all, so that even more read.
func (r *Registry) awaitStartTurn(ctx context.Context) error {
	if r.FirstStart {
		if err := interval.Wait(ctx, firstStartDelay); err != nil {
			return err
		}
	}
	began := time.Now()
	listed, cancel := context.WithTimeout(ctx, boxListTimeout)
	defer cancel()
	select {
	case <-listed.Done():
	case <-r.boxesListed():
	}
	step := max(minTurnInterval, turnIntervalCalls*time.Since(began))
	for listed := time.Now(); r.isUninitialized() && !r.canRead(time.Since(listed), step); {
		if err := interval.Wait(ctx, interval.Jittered(startCheckInterval)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// mayRead tells whether it falls to this box to read, some time after it found out its turn.
// Those before it that are alive and reach the store read and tell it, however long that takes;
// those that are only listed may be gone.
func (r *Registry) canRead(waited, step time.Duration) bool {
	if r.FirstStart && waited < firstStartTimeout && !r.Follows() {
		return false
	}
	if r.LiveAhead != nil && r.LiveAhead() >= maxStartReaders && waited < maxLiveStartDelay {
		return false
	}
	if r.StartRank == nil {
		return true
	}
	turns := time.Duration(r.StartRank() / maxStartReaders)
	return waited >= min(turns, maxStartDelay/minTurnInterval)*step
}

func (r *Registry) boxesListed() chan struct{} {
	r.listedOnce.Do(func() { r.listed = make(chan struct{}) })
	return r.listed
}

// awaitFollow waits until it falls to this box to follow the store. A box that knows
// nothing, and is told nothing, looks for itself in its turn, as does one that lacks what
// nobody can tell it; nil means that it never does. It returns the context's error if that
// ends first.
func (r *Registry) awaitFollow(ctx context.Context, informed bool, lacks func(now time.Time) bool) error {
	if r.Follows == nil {
		return ctx.Err()
	}
	if !informed {
		if err := r.awaitStartTurn(ctx); err != nil || r.isUninitialized() {
			return err
		}
	}
	waited := false
	for !r.Follows() {
		if lacks != nil && lacks(time.Now()) {
			r.Log.Info("the store is read for what no other box can tell", zap.Stringer("Known", r.Position()))
			return ctx.Err()
		}
		waited = true
		if err := interval.Wait(ctx, interval.Jittered(followCheckInterval)); err != nil {
			return err
		}
	}
	if waited && lacks != nil {
		r.Log.Info("this box follows the store", zap.Bool("LostElsewhere", r.LostElsewhere()))
	}
	if waited && r.LostElsewhere() {
		// What went just now may have gone because the store was away: the boxes that
		// followed it know, and this one has to judge as they do.
		r.recordEndpointsFailure(errLostElsewhere)
	}
	return ctx.Err()
}

// unserved is what a box lacks that others know of and can not tell it, as they have started
// after what it knows.
type missingUpdates struct {
	// known is the version up to which others know, and since when the box looks by itself
	// unless it is told meanwhile; zero while it lacks nothing.
	known epoch.Version
	due   time.Time
}

// unservedLeast and unservedSpread are how long a box that lacks something lets others tell it, in
// parts of the time in which leaving endpoints have to be known. The first one that looks tells the
// others, so they look at different times. The time between two looks goes before.
const (
	minOwnReadFraction    = 0.1
	ownReadJitterFraction = 0.2
)

// note notes that others know up to a version.
func (u *missingUpdates) record(known epoch.Version, leaving time.Duration, now time.Time) {
	if u.due.IsZero() {
		u.due = now.Add(time.Duration((minOwnReadFraction + ownReadJitterFraction*rand.Float64()) * float64(leaving)))
	}
	u.known = max(u.known, known)
}

// isUnserved tells whether this box has to look at the store by itself, though others follow
// it. Without it, boxes that follow nobody sent requests to endpoints that had ended for 12 s,
// until a soak was over, as all that followed the store had started after what they knew.
func (r *Registry) isMissingUpdates(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.knowledge.Known >= r.missing.known {
		r.missing = missingUpdates{}
	}
	return !r.missing.due.IsZero() && now.After(r.missing.due)
}

// uninformed tells whether this box still lacks what it needs for serving.
func (r *Registry) isUninitialized() bool { return r.Catalog() == nil || r.Directory() == nil }

// lostLeast is the least time between two words that the store is lost or back: where
// answers are lost at random, calls fail and succeed by turns, and each word crosses the
// fleet.
const minStoreLostInterval = time.Second

// noteCall notes whether this box's calls of the store work.
func (r *Registry) recordCall(err error) {
	if r.StoreLost == nil {
		return
	}
	lost := err != nil && !isHistoryLost(err)
	now := time.Now()
	r.mu.Lock()
	told := lost != r.lost && now.Sub(r.lostAt) >= minStoreLostInterval
	if told {
		r.lost, r.lostAt = lost, now
	}
	r.mu.Unlock()
	if told {
		r.StoreLost(lost)
	}
}
