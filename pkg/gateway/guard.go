package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// errStalled ends an attempt whose endpoint says nothing for far too long. Only
// requests that may be repeated are given up so; they go to another endpoint.
var errStalled = errors.New("the endpoint said nothing for too long")

// guard ends an attempt that stalls, or whose endpoint has started again. A nil guard does
// nothing.
type guard struct {
	attempts    *activeAttempts
	endpoint    route.Endpoint
	fingerprint quarantine.Fingerprint
	// timer is nil for attempts that may take as long as they like.
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// The silence after which a repeatable request goes elsewhere. It has to be far
// beyond what a busy endpoint takes, as giving up costs what was done there.
const (
	// plainStallAims is in aims of the route, and plainStallLeast its least.
	plainStallFactor     = 3
	minPlainStallTimeout = 300 * time.Millisecond
	// firstStall goes beyond the predicted time of a stream's first event.
	firstEventMargin = 1500 * time.Millisecond
	// pauseStallAims is in longest pauses that the route aims for, and
	// pauseStallLeast its least.
	pauseStallFactor     = 3
	minPauseStallTimeout = time.Second
)

// guarded returns the context of an attempt. One that stalls is given up only where
// another one may follow: otherwise an answer that comes late is better than none.
func (c *call) guardContext(to destination) context.Context {
	c.guard.stop()
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.guard = &guard{attempts: &c.gateway.attempts, endpoint: to.Endpoint, fingerprint: c.fingerprint, cancel: cancel}
	last := c.life.Attempts()+1 >= c.route.MaxAttempts
	if c.route.Repeatable && !last {
		c.guard.timer = time.AfterFunc(c.firstStallTimeout(to), func() {
			if c.gateway.budget.canTake(c.service.Name) {
				cancel(errStalled)
			}
		})
	}
	c.gateway.attempts.add(c.guard)
	return ctx
}

func (c *call) firstStallTimeout(to destination) time.Duration {
	if c.route.Streaming {
		return firstEventMargin + to.granted.wait + to.granted.readTime
	}
	return max(plainStallFactor*c.route.Aim, minPlainStallTimeout)
}

func (c *call) pauseStallTimeout() time.Duration {
	return max(pauseStallFactor*c.route.PauseAim, minPauseStallTimeout)
}

// extend gives the attempt more time, as something came.
func (g *guard) extend(length time.Duration) {
	if g != nil && g.timer != nil {
		g.timer.Reset(length)
	}
}

// stop ends the attempt's context.
func (g *guard) stop() {
	if g == nil {
		return
	}
	g.attempts.remove(g)
	if g.timer != nil {
		g.timer.Stop()
	}
	g.cancel(nil)
}
