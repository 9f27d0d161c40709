package registry

import (
	"context"
	"time"

	"github.com/quaylead/quaylead/pkg/interval"
)

const (
	// followLook is the time between two looks whether it falls to this box to follow the
	// store. A fleet notices within a few seconds that a box is gone; this adds little.
	followLook = 250 * time.Millisecond
	// firstStartWait is how long a box of a fleet that starts for the first time waits
	// for others to tell it what the store holds. Sessions stand within half a second,
	// and callers come seconds later. After a restart callers wait already.
	firstStartWait = 700 * time.Millisecond
	// toldPatience is how long a box that knows nothing yet lets others tell it.
	toldPatience = 3 * time.Second
)

// awaitFollow waits until it falls to this box to follow the store. A box that knows
// nothing, and is told nothing, looks for itself. It returns the context's error if
// that ends first.
func (r *Registry) awaitFollow(ctx context.Context, informed bool) error {
	if r.Follows == nil {
		return ctx.Err()
	}
	began := time.Now()
	if !informed && r.FirstStart {
		if err := interval.Wait(ctx, firstStartWait); err != nil {
			return err
		}
	}
	waited := false
	for !r.Follows() {
		if r.uninformed() && (!r.FirstStart || time.Since(began) > toldPatience) {
			return ctx.Err()
		}
		waited = true
		if err := interval.Wait(ctx, interval.Jittered(followLook)); err != nil {
			return err
		}
	}
	if waited && r.LostElsewhere() {
		// What went just now may have gone because the store was away: the boxes that
		// followed it know, and this one has to judge as they do.
		r.endpointsFailed(errLostElsewhere)
	}
	return ctx.Err()
}

// uninformed tells whether this box still lacks what it needs for serving.
func (r *Registry) uninformed() bool { return r.Catalog() == nil || r.Directory() == nil }

// lostLeast is the least time between two words that the store is lost or back: where
// answers are lost at random, calls fail and succeed by turns, and each word crosses the
// fleet.
const lostLeast = time.Second

// noteCall notes whether this box's calls of the store work.
func (r *Registry) noteCall(err error) {
	if r.StoreLost == nil {
		return
	}
	lost := err != nil && !isHistoryLost(err)
	now := time.Now()
	r.mu.Lock()
	told := lost != r.lost && now.Sub(r.lostAt) >= lostLeast
	if told {
		r.lost, r.lostAt = lost, now
	}
	r.mu.Unlock()
	if told {
		r.StoreLost(lost)
	}
}
