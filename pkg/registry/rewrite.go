package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
)

// rewriteSpread is the time over which the boxes that read the store spread their looks at what
// boxes had written before it was restored: the first ones write, and the others find it.
const maxRewriteDelay = 4 * time.Second

func (r *Registry) restored() chan struct{} {
	r.restoreOnce.Do(func() { r.restoreSignal = make(chan struct{}, 1) })
	return r.restoreSignal
}

// followRestores has what boxes had written to the store written again where it is missing
// after a restore, until the context ends. Only boxes that read the endpoints notice one.
func (r *Registry) followRestores(ctx context.Context) error {
	retry := backoff{peers: r.Peers}
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

// rewrite writes what is missing.
func (r *Registry) rewriteRows(ctx context.Context) error {
	if err := r.rewriteQuarantine(ctx); err != nil {
		return err
	}
	return r.rewriteBoxes(ctx)
}

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
