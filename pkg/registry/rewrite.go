package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
)

// maxRewriteDelay bounds the random delay after which a box that reads the store checks whether
// rows of boxes are missing after a restore. The first boxes write them, and the others find them
// written.
const maxRewriteDelay = 4 * time.Second

// restored returns the channel restoreSignal, which is created on first use.
func (r *Registry) restored() chan struct{} {
	r.restoreOnce.Do(func() { r.restoreSignal = make(chan struct{}, 1) })
	return r.restoreSignal
}

// followRestores writes again the rows of boxes and requests that are missing after a restore,
// until the context ends. Only boxes that read the endpoints notice a restore.
func (r *Registry) followRestores(ctx context.Context) error {
	retry := backoff{countOtherFollowers: r.CountOtherFollowers}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.restored():
		}
		if interval.Wait(ctx, rand.N(maxRewriteDelay)) != nil {
			return nil
		}
		for err := r.rewriteRows(ctx); err != nil; err = r.rewriteRows(ctx) {
			r.Log.Warn("rows of boxes and requests not written again", zap.Error(err))
			if retry.wait(ctx) != nil {
				return nil
			}
		}
		retry.reset()
	}
}

// rewriteRows writes the missing rows.
func (r *Registry) rewriteRows(ctx context.Context) error {
	if err := r.rewriteQuarantine(ctx); err != nil {
		return err
	}
	return r.rewriteBoxes(ctx)
}

// rewriteBoxes writes the missing rows of this box and of the boxes that are known to be alive.
func (r *Registry) rewriteBoxes(ctx context.Context) error {
	listed, err := r.readBoxes(ctx, 0)
	if err != nil {
		return err
	}
	names := make(map[string]bool, len(listed))
	for i := range listed {
		names[listed[i].Name] = true
	}
	alive := []Box{r.Self}
	if r.LiveBoxes != nil {
		alive = append(alive, r.LiveBoxes()...)
	}
	var missing []Box
	for _, box := range alive {
		if !names[box.Name] {
			missing = append(missing, box)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	if err := r.Store.Announce(ctx, missing...); err != nil {
		return err
	}
	r.Log.Info("rows of boxes written again", zap.Int("Rows", len(missing)))
	return nil
}
