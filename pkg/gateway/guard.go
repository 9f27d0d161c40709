package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// errStalled ends an attempt whose endpoint sends nothing for too long. Only requests that may
// be repeated are given up for this; they are sent to another endpoint.
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

// The silence after which a repeatable request is sent to another endpoint. It has to be far
// longer than what a busy endpoint takes, as giving up wastes the work done there.
const (
	// plainStallFactor times the route's latency target is the timeout of a plain request,
	// and minPlainStallTimeout its minimum.
	plainStallFactor     = 3
	minPlainStallTimeout = 300 * time.Millisecond
	// firstEventMargin is added to the predicted time of a stream's first event.
	firstEventMargin = 1500 * time.Millisecond
	// pauseStallFactor times the longest pause that the route aims for is the timeout between
	// two events, and minPauseStallTimeout its minimum.
	gapStallFactor     = 3
	minGapStallTimeout = time.Second
)

// guardContext returns the context of an attempt. A stalled attempt is given up only if
// another one may follow: otherwise a late answer is better than none.
func (c *call) startGuard(to destination) context.Context {
	c.guard.stop()
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

// extend restarts the timeout, as the endpoint has sent something.
func (g *guard) reset(length time.Duration) {
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
