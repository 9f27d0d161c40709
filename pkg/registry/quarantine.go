package registry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// QuarantinedRequest is a row of the store about a request under which endpoints ended. If the row
// is malformed, only Key and Problem are set.
type QuarantinedRequest struct {
	quarantine.StoredRequest
	Key     string
	Problem error
}

const (
	// maxQuarantineBatch bounds the requests in one write.
	maxQuarantineBatch = 50
	// maxQuarantineReads bounds how often a starting box tries to read the quarantine before it
	// continues without it. In most outages, a store that returns the configuration returns the
	// quarantine, too.
	maxQuarantineReads = 3
)

// PersistQuarantine schedules a write of the quarantine's changes to the store.
func (r *Registry) PersistQuarantine() {
	select {
	case r.quarantineChanged() <- struct{}{}:
	default:
	}
}

// quarantineChanged returns the channel quarantineSignal, which is created on first use.
func (r *Registry) quarantineChanged() chan struct{} {
	r.quarantineOnce.Do(func() { r.quarantineSignal = make(chan struct{}, 1) })
	return r.quarantineSignal
}

// followQuarantine writes the changes of the quarantine until the context ends.
func (r *Registry) followQuarantine(ctx context.Context) error {
	retry := backoff{countOtherFollowers: r.CountOtherFollowers}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.quarantineChanged():
		}
		for rows := r.takeUnstored(); len(rows) > 0; rows = r.takeUnstored() {
			err := r.Store.WriteQuarantine(ctx, rows)
			if err == nil {
				retry.reset()
				continue
			}
			r.Quarantine.PutBack(rows)
			r.Log.Warn("quarantined requests not written", zap.Int("Requests", len(rows)), zap.Error(err))
			if retry.wait(ctx) != nil {
				return nil
			}
		}
	}
}

func (r *Registry) takeUnstored() []quarantine.StoredRequest {
	return r.Quarantine.TakeUnstored(maxQuarantineBatch, time.Now())
}

// loadQuarantine reads the quarantine from the store. It runs before the configuration is read: a
// box with a configuration serves, and by then it has to know which requests it must not send.
// After all boxes were killed at once, no other box knows them.
func (r *Registry) loadQuarantine(ctx context.Context) {
	if !r.FirstStart {
		r.readQuarantineRepeatedly(ctx)
	}
}

func (r *Registry) readQuarantineRepeatedly(ctx context.Context) {
	if r.Quarantine == nil {
		return
	}
	retry := backoff{countOtherFollowers: r.CountOtherFollowers}
	for range maxQuarantineReads {
		err := r.readQuarantine(ctx)
		if err == nil {
			return
		}
		r.Log.Warn("quarantined requests not read", zap.Error(err))
		if retry.wait(ctx) != nil {
			return
		}
	}
}

// rewriteQuarantine writes what a restored store lacks of the quarantine.
func (r *Registry) rewriteQuarantine(ctx context.Context) error {
	if r.Quarantine == nil {
		return nil
	}
	if err := r.readQuarantine(ctx); err != nil {
		return err
	}
	r.PersistQuarantine()
	return nil
}

// readQuarantine merges the quarantine of the store. Outdated rows are scheduled for removal.
func (r *Registry) readQuarantine(ctx context.Context) (err error) {
	rows, err := r.Store.ReadQuarantine(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	var outdated, stored []quarantine.StoredRequest
	for i := range rows {
		row := &rows[i]
		switch {
		case row.Problem != nil:
			r.Log.Error("row of a quarantined request not taken", zap.String("Key", row.Key), zap.Error(row.Problem))
		case row.IsExpired():
			outdated = append(outdated, quarantine.StoredRequest{Fingerprint: row.Fingerprint})
		default:
			r.Quarantine.Merge(row.Ends, fromStore, now)
			stored = append(stored, row.StoredRequest)
		}
	}
	r.Log.Info("quarantined requests read", zap.Int("Requests", len(rows)), zap.Int("Old", len(outdated)))
	r.Quarantine.Reconcile(stored)
	if len(outdated) > 0 {
		r.Quarantine.PutBack(outdated)
		r.PersistQuarantine()
	}
	return nil
}
