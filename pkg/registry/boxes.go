package registry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/interval"
)

// followBoxes polls the list of boxes until the context ends.
func (r *Registry) followBoxes(ctx context.Context) error {
	retry := backoff{countOtherFollowers: r.CountOtherFollowers}
	announced := false
	listed := sync.OnceFunc(func() { close(r.boxesListed()) })
	for ctx.Err() == nil {
		err := r.pollBoxes(ctx, &announced)
		r.recordCall(err)
		if err == nil {
			listed()
			retry.reset()
			length := interval.Jittered(boxesInterval + boxesIntervalPerBox*time.Duration(r.CountOtherFollowers()))
			if interval.Wait(ctx, length) != nil || r.awaitFollow(ctx, true, nil) != nil {
				return nil
			}
			continue
		}
		r.Log.Warn("boxes not read", zap.Error(err))
		if retry.wait(ctx) != nil {
			return nil
		}
	}
	return nil
}

// pollBoxes reads the list of boxes and makes sure that this box is on it: of two boxes, the one
// that is listed later finds the other. If the fleet has run before, this box is probably still
// listed and need not write its row.
func (r *Registry) pollBoxes(ctx context.Context, announced *bool) error {
	if !*announced && r.FirstStart {
		if err := r.announceFirst(ctx); err != nil {
			return err
		}
		*announced = true
	}
	limit := maxInitialBoxes
	if r.boxesRead {
		limit = 0
	}
	began := time.Now()
	boxes, err := r.readBoxes(ctx, limit)
	if err != nil {
		return err
	}
	if !r.boxesRead {
		r.mu.Lock()
		r.firstListTime = time.Since(began)
		r.mu.Unlock()
	}
	r.boxesRead = true
	r.FoundBoxes(boxes)
	if *announced || slices.Contains(boxes, r.Self) {
		*announced = true
		return nil
	}
	if err := r.Store.Announce(ctx, r.Self); err != nil {
		return err
	}
	*announced = true
	if boxes, err = r.readBoxes(ctx, limit); err != nil {
		return err
	}
	r.FoundBoxes(boxes)
	return nil
}

// announceFirst writes this box's row where the settings say that no box ran before. If it is listed
// already, they are those of an earlier start.
func (r *Registry) announceFirst(ctx context.Context) error {
	isNew, err := r.Store.AnnounceNew(ctx, r.Self)
	if err != nil {
		return err
	}
	if !isNew {
		r.Log.Warn("first start not believed", zap.String("Box", r.Self.Name))
		r.readQuarantineRepeatedly(ctx)
		return nil
	}
	if r.FirstStartConfirmed != nil {
		r.FirstStartConfirmed()
	}
	return nil
}

// maxInitialBoxes bounds the boxes that a starting box reads. It needs some to join the others and
// receives the rest from them. Without the bound, a large fleet that starts at once would read the
// whole list as often as it has rows.
const maxInitialBoxes = 320

// readBoxes reads the rows of boxes. A malformed row does not hide the others and is logged once
// per version.
func (r *Registry) readBoxes(ctx context.Context, limit int) (boxes []Box, err error) {
	listed, err := r.Store.Boxes(ctx, r.Self.Name, limit)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rejected := map[string]epoch.Version{}
	for i := range listed {
		row := &listed[i]
		if row.Problem == nil {
			boxes = append(boxes, row.Box)
			continue
		}
		rejected[row.Name] = row.Version
		if r.rejectedBoxes[row.Name] != row.Version {
			r.Log.Error("row of a box not taken", zap.String("Box", row.Name), zap.Stringer("Version", row.Version), zap.Error(row.Problem))
		}
	}
	r.rejectedBoxes = rejected
	return boxes, nil
}
