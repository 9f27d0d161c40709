package gateway

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// errEndpointError reports an error status of the endpoint that is not forwarded.
var errEndpointError = &unusableError{reason: "the endpoint answered with an error of its own"}

// canRetryElsewhere reports whether the response is an error that another endpoint may not
// return, and the request runs at another one or may be retried.
func (c *call) canRetryElsewhere(response *endpoint.Response) bool {
	if response.Head.StatusCode() < fasthttp.StatusInternalServerError || !c.route.Repeatable || c.ctx.Err() != nil {
		return false
	}
	return c.hedger.hasSecond() || (c.lifecycle.Attempts() < c.route.MaxAttempts && c.gateway.budget.canTake(c.service.Name))
}

// deliverPlain sends the complete answer of a plain endpoint to the caller.
func (c *call) deliverPlain(got *answer) {
	status := got.response.Head.StatusCode()
	good := status < fasthttp.StatusInternalServerError
	c.forwardBody(got)
	if good && c.route.Streaming {
		c.recordBegun(&got.to)
	}
	c.logEndpointError(got.to, status)
	if good {
		c.clearFingerprint(got.response)
	}
	c.settlePlain(got.to, good, time.Since(got.began))
}

// settlePlain records a complete response of a plain endpoint.
func (c *call) settlePlain(to destination, good bool, took time.Duration) {
	result := outcomeFailed
	if good {
		result = outcomeGood
		c.gateway.Metrics.Completed(c.customer, c.route.Name, time.Since(c.arrived))
	}
	c.gateway.rollouts.recordResponse(&to.Endpoint, c.route.Name, !good, took)
	to.finishTimed(result, took)
}

// acquirePlain returns the endpoint for the next attempt. If the service is queued, the request waits for a
// grant; otherwise this box selects an endpoint by its own measurements.
func (c *call) acquirePlain() (to destination, refusal *request.Refusal) {
	if c.isQueuedPlain() {
		return c.acquireSlot()
	}
	return c.choosePlain()
}

// plainEndpoints returns the endpoints that may serve a request to a plain service.
func (c *call) plainEndpoints() []route.Endpoint {
	endpoints := c.gateway.registry.Directory().EndpointsOf(c.service.Name)
	if len(c.zones) > 0 {
		endpoints = slices.DeleteFunc(endpoints, func(e route.Endpoint) bool { return !slices.Contains(c.zones, e.Zone) })
	}
	if versions := c.admittedReleases(); versions != (rollout.VersionFilter{}) {
		endpoints = slices.DeleteFunc(endpoints, func(e route.Endpoint) bool { return !versions.Admits(e.Release) })
	}
	if c.route.Resumable {
		endpoints = slices.DeleteFunc(endpoints, func(e route.Endpoint) bool { return !c.mayRunAt(e.Release) })
	}
	return c.allowedEndpoints(endpoints)
}

// choosePlain selects an endpoint for a request to a plain service. The caller has to record the
// outcome through the returned destination.
func (c *call) choosePlain() (to destination, refusal *request.Refusal) {
	endpoints := c.plainEndpoints()
	chosen, state := c.gateway.health.choose(endpoints, c.excluded, c.gateway.Settings.Zone)
	if state == nil && len(c.excluded) > 0 && c.hedge == nil {
		// Every endpoint has failed this request once; a second attempt at one of them is better
		// than a refusal. A hedge is not sent to the endpoint that still works on the request.
		c.excluded = nil
		chosen, state = c.gateway.health.choose(endpoints, nil, c.gateway.Settings.Zone)
	}
	if state == nil {
		c.releaseRetry()
		return to, c.refusePlain(endpoints)
	}
	settle := func(result outcome, took time.Duration) { c.gateway.health.finish(chosen.ID, state, result, took) }
	return destination{
		Endpoint:    chosen,
		finish:      func(result outcome) { settle(result, 0) },
		finishTimed: settle,

		suspendedTotal: c.gateway.suspensions.Detected(),
	}, nil
}
