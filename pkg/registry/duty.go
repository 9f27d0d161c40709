package registry

import (
	"context"
	"time"

	"github.com/quaylead/quaylead/pkg/interval"
)

const (
	// dutyLook is the time between two looks whether it falls to this box to follow the
	// store. A fleet notices within a few seconds that a box is gone; this adds little.
	dutyLook = 250 * time.Millisecond
	// dutyPatience is how long a box that knows nothing yet lets others tell it.
	dutyPatience = 3 * time.Second
)

// awaitDuty waits until it falls to this box to follow the store. A box that knows
// nothing, and is told nothing, looks for itself. It returns the context's error if
// that ends first.
func (r *Registry) awaitDuty(ctx context.Context, informed bool) error {
	if r.Follows == nil {
		return ctx.Err()
	}
	began := time.Now()
	if !informed {
		if err := interval.Wait(ctx, r.StartWait); err != nil {
			return err
		}
	}
	waited := false
	for !r.Follows() {
		if r.uninformed() && (r.StartWait == 0 || time.Since(began) > dutyPatience) {
			return ctx.Err()
		}
		waited = true
		if err := interval.Wait(ctx, interval.Jittered(dutyLook)); err != nil {
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

// noteCall notes whether this box's calls of the store work.
func (r *Registry) noteCall(err error) {
	lost := err != nil && !isHistoryLost(err)
	if r.lost.Swap(lost) != lost && r.StoreLost != nil {
		r.StoreLost(lost)
	}
}
