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
	suspensionLook = 250 * time.Millisecond
	// renewPatience is how long a box that was suspended waits for a word of the store; then
	// it serves by what it knows, like any box in an outage. The others take it for lost for
	// about as long.
	renewPatience = 3 * time.Second
	// renewPause is the time between two tries, each of which has the time-out of a call.
	renewPause = 100 * time.Millisecond
)

// waking notices suspensions of the machine. The steady clock does not count them, so that
// what is seconds old looks fresh: sessions that the others have given up, grants, the
// configuration and the endpoints, and requests whose callers have gone.
type waking struct {
	suspension.Clock
	// renewing is set until the box has looked again.
	renewing atomic.Bool

	mu    sync.Mutex
	calls map[*call]struct{}
}

func (w *waking) enter(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = map[*call]struct{}{}
	}
	w.calls[c] = struct{}{}
}

func (w *waking) leave(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

// endLate ends the requests that ran out of time meanwhile, and has the others end in time.
func (w *waking) endLate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		c.endAfter(c.left())
	}
}

// since tells whether what was decided when suspensions added up to a sum may be outdated: a
// grant from before is handed back, as another request may have it now.
func (w *waking) since(sum time.Duration) bool {
	return w.Noticed() != sum || w.renewing.Load()
}

// lookForSuspension is called before anything is sent, and from time to time.
func (g *Gateway) lookForSuspension() {
	length, err := g.waking.Look()
	if err != nil {
		g.log.Warn("suspension not known", zap.Error(err))
		return
	}
	if length == 0 {
		return
	}
	g.log.Warn("the machine was suspended", zap.Duration("For", length))
	g.waking.endLate()
	g.exchange.ReopenSessions()
	if g.waking.renewing.CompareAndSwap(false, true) {
		g.work.Go(func() error {
			g.renew()
			return nil
		})
	}
}

// renew has the box look again at what it serves by.
func (g *Gateway) renew() {
	defer g.waking.renewing.Store(false)
	ctx, cancel := context.WithTimeout(g.over, renewPatience)
	defer cancel()
	for {
		err := g.registry.Refresh(ctx)
		if err == nil {
			g.log.Info("looked again after a suspension")
			return
		}
		g.log.Warn("not looked again after a suspension", zap.Error(err))
		if interval.Wait(ctx, renewPause) != nil {
			return
		}
	}
}
