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
	// suspensionCheckInterval is the time between two checks for a suspension of the machine
	// while nothing is sent.
	suspensionCheckInterval = 250 * time.Millisecond
	// refreshTimeout bounds how long a box waits for the store after a suspension; then it
	// serves with the state that it has, as in an outage of the store. The other boxes consider
	// it lost for about as long.
	refreshTimeout = 3 * time.Second
	// refreshRetryDelay is the time between two attempts, each of which has the timeout of a
	// store call.
	refreshRetryDelay = 100 * time.Millisecond
)

// suspensionTracker detects suspensions of the machine. The monotonic clock does not advance
// during one, and outdated state therefore seems fresh: sessions that the peers have closed,
// grants, the configuration, the endpoints, and requests whose callers have gone.
type suspensionTracker struct {
	suspension.Clock
	// refreshing is set after a suspension until the box has refreshed its state.
	refreshing atomic.Bool

	mu    sync.Mutex
	calls map[*call]struct{}
}

// add registers a request in progress.
func (t *suspensionTracker) add(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls = map[*call]struct{}{}
	}
	t.calls[c] = struct{}{}
}

// remove removes a request.
func (t *suspensionTracker) remove(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, c)
}

// endExpired ends the requests whose deadline passed during a suspension, and adjusts the
// timers of the others.
func (t *suspensionTracker) endExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.calls {
		c.endAfter(c.remaining())
	}
}

// isOutdated reports whether a decision may be outdated that was made when the suspensions had
// the given sum. A grant from before a suspension is handed back, because its slot may have been
// granted to another request meanwhile.
func (t *suspensionTracker) isOutdated(sum time.Duration) bool {
	return t.Detected() != sum || t.refreshing.Load()
}

// checkSuspension detects a suspension of the machine and refreshes what it made outdated. It is
// called before anything is sent, and periodically.
func (g *Gateway) checkSuspension() {
	length, err := g.suspensions.Measure()
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

// refresh reads the catalog, orders and endpoints. It retries until that succeeds or
// refreshTimeout has passed.
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
