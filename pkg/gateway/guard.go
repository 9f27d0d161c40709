package gateway

import (
	"context"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// guard ends an attempt whose endpoint has restarted, or that another attempt has overtaken. A nil guard
// does nothing.
type guard struct {
	attempts    *activeAttempts
	endpoint    route.Endpoint
	fingerprint quarantine.Fingerprint
	cancel      context.CancelCauseFunc
}

// startGuard replaces the call's guard and returns the context of the next attempt. If the request may be
// sent again, a second attempt begins while the endpoint is silent.
func (c *call) startGuard(to destination) context.Context {
	c.guard.stop()
	c.progressAt = time.Now()
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.guard = &guard{attempts: &c.gateway.attempts, endpoint: to.Endpoint, fingerprint: c.fingerprint, cancel: cancel}
	c.hedger = c.newHedger(c.lifecycle.Attempts() + 1)
	c.gateway.attempts.add(c.guard)
	return ctx
}

// stop cancels the attempt's context.
func (g *guard) stop() {
	if g == nil {
		return
	}
	g.attempts.remove(g)
	g.cancel(nil)
}
