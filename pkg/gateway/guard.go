package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// errStalled ends an attempt whose endpoint sends nothing for too long. Only repeatable requests
// are ended for this; they are retried at another endpoint.
var errStalled = errors.New("the endpoint sent nothing for too long")

// guard ends an attempt that stalls, or whose endpoint has restarted. A nil guard does
// nothing.
type guard struct {
	attempts    *activeAttempts
	endpoint    route.Endpoint
	fingerprint quarantine.Fingerprint
	// timer is nil for attempts without a time limit.
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Timeouts after which a repeatable request is retried at another endpoint. They have to be far
// longer than a busy endpoint takes, because a retry wastes the work done there.
const (
	// plainStallFactor times the route's latency target is the timeout of a plain request,
	// and minPlainStallTimeout its minimum.
	plainStallFactor     = 3
	minPlainStallTimeout = 300 * time.Millisecond
	// firstEventMargin is added to the predicted time of a stream's first event.
	firstEventMargin = 1500 * time.Millisecond
	// gapStallFactor times the route's gap target is the timeout between two events, and
	// minGapStallTimeout its minimum.
	gapStallFactor     = 3
	minGapStallTimeout = time.Second
)

// startGuard replaces the call's guard and returns the context of the next attempt. A stalled
// attempt is canceled only if another one may follow: otherwise a late response is better than
// none.
func (c *call) startGuard(to destination) context.Context {
	c.guard.stop()
	c.progressAt = time.Now()
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.guard = &guard{attempts: &c.gateway.attempts, endpoint: to.Endpoint, fingerprint: c.fingerprint, cancel: cancel}
	last := c.lifecycle.Attempts()+1 >= c.route.MaxAttempts
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
	return max(plainStallFactor*c.route.LatencyTarget, minPlainStallTimeout)
}

func (c *call) gapStallTimeout() time.Duration {
	return max(gapStallFactor*c.route.GapTarget, minGapStallTimeout)
}

// reset restarts the timeout after the endpoint has sent something.
func (g *guard) reset(length time.Duration) {
	if g != nil && g.timer != nil {
		g.timer.Reset(length)
	}
}

// stop stops the timer and cancels the attempt's context.
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
