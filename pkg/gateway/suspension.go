package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/suspension"
)

const (
	// suspensionLook is the time between two looks whether the machine was suspended, where
	// nothing is sent meanwhile.
	suspensionCheckInterval = 250 * time.Millisecond
	// renewPatience is how long a box that was suspended waits for a word of the store; then
	// it serves by what it knows, like any box in an outage. The others take it for lost for
	// about as long.
	refreshTimeout = 3 * time.Second
	// renewPause is the time between two tries, each of which has the time-out of a call.
	refreshRetryDelay = 100 * time.Millisecond
)

// waking notices suspensions of the machine. The steady clock does not count them, so that
// what is seconds old looks fresh: sessions that the others have given up, grants, the
// configuration and the endpoints, and requests whose callers have gone.
type suspensionTracker struct {
	suspension.Clock
	// renewing is set until the box has looked again.
	refreshing atomic.Bool

	mu    sync.Mutex
	calls map[*call]struct{}
}

func (w *suspensionTracker) add(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = map[*call]struct{}{}
	}
	w.calls[c] = struct{}{}
}

func (w *suspensionTracker) remove(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

// endLate ends the requests that ran out of time meanwhile, and has the others end in time.
func (w *suspensionTracker) endExpired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		c.endAfter(c.remaining())
	}
}

// since tells whether what was decided when suspensions added up to a sum may be outdated: a
// grant from before is handed back, as another request may have it now.
func (w *suspensionTracker) isOutdated(sum time.Duration) bool {
	return w.Noticed() != sum || w.refreshing.Load()
}

// lookForSuspension is called before anything is sent, and from time to time.
func (g *Gateway) checkSuspension() {
	length, err := g.suspensions.Look()
	if err != nil {
		g.log.Warn("suspension not known", zap.Error(err))
		return
	}
	if length == 0 {
		return
	}
	g.log.Warn("the machine was suspended", zap.Duration("For", length))
	g.suspensions.endExpired()
	g.exchange.ReopenSessions()
	if g.suspensions.refreshing.CompareAndSwap(false, true) {
		g.work.Go(func() error {
			g.refresh()
			return nil
		})
	}
}

// renew has the box look again at what it serves by.
func (g *Gateway) refresh() {
	defer g.suspensions.refreshing.Store(false)
	ctx, cancel := context.WithTimeout(g.workContext, refreshTimeout)
	defer cancel()
	for {
		err := g.registry.Refresh(ctx)
		if err == nil {
			g.log.Info("looked again after a suspension")
			return
		}
		g.log.Warn("not looked again after a suspension", zap.Error(err))
		if interval.Wait(ctx, refreshRetryDelay) != nil {
			return
		}
	}
}
