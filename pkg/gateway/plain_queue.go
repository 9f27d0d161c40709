package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/route"
)

// isDispatched reports whether the request waits for a grant of its service's dispatcher.
func (c *call) isDispatched() bool {
	return c.isQueuedPlain() || (c.service.Engine != nil && c.Prompt != nil)
}

// isQueuedPlain reports whether the request waits for a slot of a plain service. The service has no
// pool yet if its configuration arrived just now.
func (c *call) isQueuedPlain() bool {
	return c.queuesPlain && c.gateway.pool(c.service.Name) != nil
}

// acquireSlot waits until the request to a plain service is granted a slot, or refused.
func (c *call) acquireSlot() (to destination, refusal *request.Refusal) {
	began := time.Now()
	c.readmitExcluded()
	to, refusal = c.acquire()
	if refusal != nil {
		return to, refusal
	}
	c.gateway.Metrics.PlainGranted(c.customer, c.route.Name, time.Since(began))
	finish := to.finish
	to.finishTimed = func(result outcome, _ time.Duration) { finish(result) }
	return to, nil
}

// readmitExcluded allows all endpoints again once every one that may serve the request has failed
// it: a second attempt at one of them is better than a refusal. A hedge is not sent to the endpoint that
// still works on the request.
func (c *call) readmitExcluded() {
	if c.hedge != nil {
		return
	}
	now := time.Now()
	canServe := func(e route.Endpoint) bool {
		return e.Admits() && !slices.Contains(c.excluded, e.ID) && !c.gateway.rests.isResting(&e, now)
	}
	if len(c.excluded) > 0 && !slices.ContainsFunc(c.plainEndpoints(), canServe) {
		c.excluded = nil
	}
}

// slotRefusal returns the refusal for a verdict without a slot.
func (c *call) slotRefusal(v verdict) *request.Refusal {
	if v.noEligibleEngine {
		refusal := c.refusePlain(c.plainEndpoints())
		refusal.Message += decidedBy + v.decidedBy
		return refusal
	}
	message := "the endpoints are busy"
	switch {
	case v.admission != dispatch.Admitted:
		message = admissionMessages[v.admission]
	case v.overShare:
		message = "the customer has its share and the endpoints are busy"
	}
	return notRun(request.Overloaded, message+decidedBy+v.decidedBy, v.retryAfter)
}

// refusePlain refuses a request that no endpoint takes. If endpoints rest, the caller is asked to
// retry when the first rest ends.
func (c *call) refusePlain(endpoints []route.Endpoint) *request.Refusal {
	now := time.Now()
	if until := c.gateway.rests.firstEnd(endpoints, now); !until.IsZero() {
		return notRun(request.NoEndpoint, "all endpoints of the service asked for rest", dispatch.RetryAfterRest(until.Sub(now), rand.Float64()))
	}
	return notRun(request.NoEndpoint, "the service has no endpoint now", failureRetryDelay())
}
