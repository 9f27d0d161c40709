package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/route"
)

// destination is the endpoint that a request is to go to.
type destination struct {
	route.Endpoint
	// finish settles the attempt.
	finish func(outcome)
	// settle does so with the time that the answer took; it is only set for plain
	// endpoints.
	finishTimed func(how outcome, took time.Duration)
	// begin notes the first event; it is only set for engines.
	begin func()
	// granted is what was predicted, and at when it was granted; both are only
	// set for engines.
	granted   verdict
	grantedAt time.Time
	// suspended is the sum of the suspensions that were noticed before it was chosen.
	suspendedTotal time.Duration
}

// attempt sends the request to an endpoint and waits for the head of the
// answer. A failure says what to do next.
func (c *call) attempt(to destination, lastEvent string) (*endpoint.Reply, error) {
	if c.life.State() < request.Queued {
		// A received request can always be queued.
		_ = c.life.Advance(request.Queued)
	}
	out := c.buildRequest(to.Endpoint, lastEvent)
	ctx := c.guardContext(to)
	reply, err := c.gateway.client(to.Address).Do(ctx, &endpoint.Call{
		Request: out,
		Sure:    !c.route.Repeatable,
		Sending: func() error {
			c.gateway.checkSuspension()
			if c.gateway.suspensions.isOutdated(to.suspendedTotal) || !c.gateway.admits(&to.Endpoint) {
				return errNotAdmitted
			}
			if c.gateway.ledger.Check(c.fingerprint, time.Now()).Quarantined() {
				return errQuarantined
			}
			c.reserved = reservation{}
			return c.life.Advance(request.Sending)
		},
		Belongs: func(head *fasthttp.ResponseHeader) bool {
			id := c.gateway.Translator.ParseResponse(head).ID
			return id == "" || id == c.ID
		},
		Written: func() { fasthttp.ReleaseRequest(out) },
	})
	if err != nil {
		return nil, err
	}
	answered := c.gateway.Translator.ParseResponse(&reply.Head)
	c.handleSelfReport(to, answered)
	if answered.NotRun {
		c.life.Prove()
		status := reply.Head.StatusCode()
		c.drop(reply)
		return nil, &declinedError{status: status}
	}
	if !answered.Genuine && reply.Head.StatusCode() < fasthttp.StatusMultipleChoices {
		reply.Close()
		return nil, &unusableError{reason: "the answer lacks the endpoint's signature"}
	}
	return reply, nil
}

// drop reads what is left of a short answer, so that its connection can be
// used again.
func (c *call) drop(reply *endpoint.Reply) {
	if _, err := reply.Whole(maxHeadBytes); err != nil {
		c.log().Debug("refusal of an endpoint was cut", zap.String("Request", c.ID), zap.Error(err))
	}
	reply.Close()
}

// compose makes the request for an endpoint: all as the caller sent it, but for
// the headers that concern a connection or are ours.
func (c *call) buildRequest(to route.Endpoint, lastEvent string) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	c.http.Request.Header.CopyTo(&out.Header)
	out.Header.DisableNormalizing()
	out.Header.SetNoDefaultContentType(true)
	c.gateway.Translator.PrepareRequest(&out.Header, Delivery{
		Endpoint:  to.ID,
		Customer:  c.customer,
		Remaining: c.remaining(),
		LastEvent: lastEvent,
	})
	out.SetBodyRaw(c.http.Request.Body())
	return out
}

// declinedError reports that the endpoint proved that it ran nothing.
type declinedError struct {
	status int
}

// Error names the status.
func (e *declinedError) Error() string {
	return "the endpoint declined with status " + strconv.Itoa(e.status)
}

// unusableError reports an answer that can not be passed on.
type unusableError struct {
	reason string
}

// Error says why.
func (e *unusableError) Error() string { return e.reason }

// next decides what follows a failed attempt: nil for another one, or the final
// answer. The attempt is settled.
func (c *call) handleFailure(to destination, err error) *request.Refusal {
	how, retry := c.classifyFailure(to, err)
	to.finish(how)
	if how.isFailure() {
		c.gateway.rollouts.recordAnswer(&to.Endpoint, c.route.Name, true, 0)
	}
	c.excluded = append(c.excluded, to.ID)
	if errors.Is(err, errNotAdmitted) {
		c.gateway.Metrics.HandedBack()
	}
	c.log().Info("attempt failed",
		zap.String("Request", c.ID),
		zap.Stringer("Fingerprint", c.fingerprint),
		zap.String("Endpoint", to.ID),
		zap.String("Address", to.Address),
		zap.Int("Attempts", c.life.Attempts()),
		zap.String("Run", string(c.life.Run())),
		zap.Duration("Age", time.Since(c.arrived)),
		zap.Bool("Again", retry),
		zap.Error(err))
	if c.ctx.Err() != nil {
		return c.endedRefusal()
	}
	if retry {
		return nil
	}
	if refusal := c.refuseQuarantined(); refusal != nil && c.life.Run() == request.NotRun {
		return refusal
	}
	if c.life.Run() == request.NotRun {
		return notRun(request.NoEndpoint, "no endpoint took the request", failureRetryDelay())
	}
	return &request.Refusal{
		Code:    request.EndpointFailed,
		Message: "the endpoint gave no whole answer",
		Run:     c.life.Run(),
	}
}

// mostUnreachable bounds the endpoints that are tried in vain for a connection, or that
// get nothing any more when it stands.
const maxUnreachable = 3

// judge tells what a failure says of the endpoint, and whether the request may
// go to another one.
func (c *call) classifyFailure(to destination, err error) (how outcome, retry bool) {
	var unreached *endpoint.DialError
	var declined *declinedError
	switch {
	case c.ctx.Err() != nil:
		return outcomeUnknown, false
	case errors.Is(err, errQuarantined):
		return outcomeUnused, false
	case errors.Is(err, errNotAdmitted):
		c.unreachable++
		return outcomeUnused, c.unreachable < maxUnreachable
	case errors.As(err, &unreached):
		c.unreachable++
		return outcomeUnreachable, c.unreachable < maxUnreachable
	case errors.As(err, &declined):
		return outcomeFull, c.reserveRetry()
	default:
		// What ended the endpoint is known before it may be sent again.
		how = c.classifyBroken(to, err)
		return how, c.route.Repeatable && c.reserveRetry()
	}
}

// mayRepeat books another attempt, if the route and the budget allow it.
func (c *call) reserveRetry() bool {
	if c.life.Attempts() >= c.route.MaxAttempts || c.remaining() < minRetryTime {
		return false
	}
	if c.gateway.ledger.Check(c.fingerprint, time.Now()).Quarantined() {
		return false
	}
	reserved, ok := c.gateway.budget.take(c.service.Name)
	if !ok {
		c.log().Info("retry budget spent", zap.String("Request", c.ID), zap.String("Service", c.service.Name))
		return false
	}
	c.reserved = reserved
	if c.life.State() >= request.Sending {
		// Only what may be repeated, or is proved not run, comes here.
		_ = c.life.Return(c.route.Repeatable)
	}
	return true
}

// unbook gives a repeated send back that is not made, as no endpoint takes the request.
func (c *call) releaseRetry() {
	if c.reserved != (reservation{}) {
		c.gateway.budget.refund(c.service.Name, c.reserved)
		c.reserved = reservation{}
	}
}

// leastTime is the time without which another attempt is of no use.
const minRetryTime = 20 * time.Millisecond

// comeBackAfterFailure is when an endpoint that failed is likely to be left out,
// spread so that callers do not return together.
func failureRetryDelay() time.Duration {
	return 200*time.Millisecond + rand.N(200*time.Millisecond)
}

// ended is the final answer when the deadline, the route's time limit, the
// caller or a stop ended the request.
func (c *call) endedRefusal() *request.Refusal {
	cause := context.Cause(c.ctx)
	switch {
	case errors.Is(cause, errCallerGone):
		return &request.Refusal{Code: request.CallerGone, Message: cause.Error(), Run: c.life.Run()}
	case c.life.Run() == request.NotRun:
		return notRun(request.NotInTime, cause.Error(), failureRetryDelay())
	default:
		return &request.Refusal{Code: request.DeadlinePassed, Message: cause.Error(), Run: c.life.Run()}
	}
}
