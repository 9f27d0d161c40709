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
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/route"
)

// destination is the endpoint chosen for an attempt.
type destination struct {
	route.Endpoint
	// finish records the outcome of the attempt.
	finish func(outcome)
	// end is the record of the endpoint's end under the request, for finish; nil for plain endpoints that
	// are not queued.
	end *quarantine.End
	// finishTimed also records how long the response took; it is set only for plain endpoints.
	finishTimed func(how outcome, took time.Duration)
	// begin records the first event; it is set only for engines.
	begin func()
	// granted is the dispatcher's grant with its predicted times, and grantedAt when it was
	// made; both are set only for engines.
	granted   verdict
	grantedAt time.Time
	// group is the group that granted it; nil for plain endpoints that are not queued.
	group *scheduler
	// suspendedTotal is the total suspension time of the machine noticed before the endpoint
	// was chosen.
	suspendedTotal time.Duration
}

// attempt sends the request to an endpoint and waits for the head of the response. Its errors
// go to handleFailure, which decides how to continue.
func (c *call) attempt(to destination, lastEvent string) (*endpoint.Response, error) {
	if c.lifecycle.State() < request.Queued {
		// A received request can always be queued.
		_ = c.lifecycle.Advance(request.Queued)
	}
	c.attemptBegan = false
	out := c.buildRequest(to, lastEvent)
	ctx := c.startGuard(to)
	body := c.bodyTo(to)
	defer body.answered()
	response, err := c.gateway.client(to.Address).Do(ctx, &endpoint.Call{
		Request:       out,
		ID:            c.ID,
		NonRepeatable: !c.route.Repeatable,
		Sending: func() error {
			c.gateway.checkSuspension()
			if c.gateway.suspensions.isOutdated(to.suspendedTotal) || !c.gateway.admits(&to.Endpoint) {
				return errNotAdmitted
			}
			if c.isQuarantinedAt(to.Release) {
				return errQuarantined
			}
			if !body.send() {
				return errNotAdmitted
			}
			c.reserved = reservation{}
			if err := c.lifecycle.Advance(request.Sending); err != nil {
				return err
			}
			c.hedger.arm(c.firstStallTimeout(to), lastEvent)
			c.hedge.startOverlap()
			return nil
		},
		Match:   c.matchResponse,
		Written: func() { fasthttp.ReleaseRequest(out) },
	})
	if err != nil {
		return nil, err
	}
	info := c.gateway.Translator.ParseResponse(&response.Head)
	c.handleSelfReport(to, info)
	if info.NotRun {
		c.lifecycle.ProveNotRun()
		status := response.Head.StatusCode()
		c.discard(response)
		return nil, &declinedError{status: status}
	}
	if !info.Genuine && response.Head.StatusCode() < fasthttp.StatusMultipleChoices {
		response.Close()
		return nil, &unusableError{reason: "the answer lacks the endpoint's signature"}
	}
	return response, nil
}

// matchResponse tells whether a response belongs to the request. Refusals and errors may name none.
func (c *call) matchResponse(head *fasthttp.ResponseHeader) endpoint.Match {
	switch id := c.gateway.Translator.ParseResponse(head).ID; {
	case id == "" && (c.ID == "" || head.StatusCode() >= fasthttp.StatusMultipleChoices):
		return endpoint.MatchUnnamed
	case id == c.ID:
		return endpoint.MatchNamed
	default:
		return endpoint.MatchOther
	}
}

// discardTimeout bounds the time for the rest of a short response, which usually comes with its head. The
// next attempt waits for it.
const discardTimeout = 20 * time.Millisecond

// discard reads the rest of a short response, so that its connection can be reused.
func (c *call) discard(response *endpoint.Response) {
	if err := response.Discard(maxHeadBytes, discardTimeout); err != nil {
		c.log().Debug("response of an endpoint that declined was not read to its end", zap.String("Request", c.ID), zap.Error(err))
	}
	response.Close()
}

// buildRequest builds the request for an endpoint: the caller's request without the headers
// that concern one connection or are the router's own.
func (c *call) buildRequest(to destination, lastEvent string) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	c.gateway.Translator.PrepareRequest(&out.Header, &c.http.Request.Header, Delivery{
		Endpoint:  to.ID,
		Customer:  c.customer,
		Remaining: c.remaining(),
		LastEvent: lastEvent,
		FetchFrom: c.fetchAddress(to),
	})
	out.SetBodyRaw(c.http.Request.Body())
	return out
}

// declinedError reports that the endpoint proved that it did not run the request.
type declinedError struct {
	status int
}

// Error returns a message with the status.
func (e *declinedError) Error() string {
	return "the endpoint declined with status " + strconv.Itoa(e.status)
}

// unusableError reports a response that can not be forwarded.
type unusableError struct {
	reason string
}

// Error returns the reason.
func (e *unusableError) Error() string { return e.reason }

// handleFailure records the outcome of a failed attempt. It returns nil if another attempt
// follows, and otherwise the refusal for the caller.
func (c *call) handleFailure(to destination, err error) *request.Refusal {
	again := c.failAttempt(to, err)
	if c.ctx.Err() != nil {
		return c.endedRefusal()
	}
	if again {
		return nil
	}
	if refusal := c.refuseQuarantined(); refusal != nil && c.lifecycle.RunStatus() == request.NotRun {
		return refusal
	}
	if c.lifecycle.RunStatus() == request.NotRun {
		return notRun(request.NoEndpoint, "no endpoint took the request", failureRetryDelay())
	}
	return &request.Refusal{
		Code:    request.EndpointFailed,
		Message: "the endpoint gave no whole answer",
		Run:     c.lifecycle.RunStatus(),
	}
}

// failAttempt records the outcome of a failed attempt, and reports whether another one follows.
func (c *call) failAttempt(to destination, err error) (again bool) {
	c.settleAttempt(to, err)
	if again = c.mayRetry(err); !again {
		c.releaseRetry()
	}
	if c.isWithdrawn() {
		return again
	}
	c.log().Info("attempt failed",
		zap.String("Request", c.ID),
		zap.Stringer("Fingerprint", c.fingerprint),
		zap.String("Endpoint", to.ID),
		zap.String("Address", to.Address),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.String("Run", string(c.lifecycle.RunStatus())),
		zap.Duration("Age", time.Since(c.arrived)),
		zap.Bool("Again", again),
		zap.Bool("Stopping", c.gateway.stopping.Load()),
		zap.Duration("Silence", time.Since(c.progressAt)),
		zap.Error(err))
	return again
}

// maxUnreachable bounds the endpoints of one request that could not be connected to, or that no
// longer admitted requests once the connection was open.
const maxUnreachable = 3

// settleAttempt records the outcome of a failed attempt.
func (c *call) settleAttempt(to destination, err error) {
	result := c.classifyFailure(to, err)
	to.finish(result)
	if result.isFailure() {
		c.gateway.rollouts.recordResponse(&to.Endpoint, c.route.Name, true, 0)
	}
	c.excluded = append(c.excluded, to.ID)
	if errors.Is(err, errNotAdmitted) {
		c.gateway.Metrics.HandedBack()
	}
}

// classifyFailure returns what a failure says about the endpoint, and records its end.
func (c *call) classifyFailure(to destination, err error) outcome {
	var unreached *endpoint.DialError
	var declined *declinedError
	switch {
	case c.ctx.Err() != nil && (c.hedger.foundSilent() || c.isSilentAgain(&to)):
		// No other endpoint has answered, but this one has not either.
		return c.recordBroken(to, errStalled)
	case c.ctx.Err() != nil:
		return outcomeUnknown
	case errors.Is(err, errQuarantined), errors.Is(err, errNotAdmitted):
		return outcomeUnused
	case errors.Is(err, errBegunAnew), errors.Is(err, errUnprovenEnd):
		return outcomeUnknown
	case errors.As(err, &unreached):
		return outcomeUnreachable
	case errors.As(err, &declined):
		return outcomeDeclined
	default:
		return c.recordBroken(to, err)
	}
}

// mayRetry reports whether the request may be sent to another endpoint after a failure that is recorded: its
// record may have put the request under quarantine.
func (c *call) mayRetry(err error) bool {
	var unreached *endpoint.DialError
	var declined *declinedError
	switch {
	case c.ctx.Err() != nil, errors.Is(err, errQuarantined):
		return false
	case errors.Is(err, errNotAdmitted), errors.As(err, &unreached):
		c.unreachable++
		// On its way back to an endpoint the request may have had all its attempts.
		return c.unreachable < maxUnreachable && c.lifecycle.Attempts() < c.route.MaxAttempts
	case errors.As(err, &declined):
		return c.reserveRetry()
	default:
		return c.route.Repeatable && c.reserveRetry()
	}
}

// reserveRetry reserves another attempt, if the route and the retry budget allow it.
func (c *call) reserveRetry() bool { return c.mayTryAgain() && c.takeRetry() }

// mayTryAgain reports whether the route and the time left allow another attempt.
func (c *call) mayTryAgain() bool {
	return c.lifecycle.Attempts() < c.route.MaxAttempts && c.remaining() >= minRetryTime && c.refuseQuarantined() == nil
}

// takeRetry reserves another attempt, if the retry budget allows it.
func (c *call) takeRetry() bool {
	reserved, ok := c.gateway.budget.take(c.service.Name)
	if !ok {
		c.log().Info("retry budget spent", zap.String("Request", c.ID), zap.String("Service", c.service.Name))
		return false
	}
	c.reserved = reserved
	c.requeue()
	return true
}

// requeue returns the request to the queue for another attempt. Only requests that may be repeated, or that
// provably did not run, get one.
func (c *call) requeue() {
	if c.lifecycle.State() >= request.Sending {
		_ = c.lifecycle.Requeue(c.route.Repeatable)
	}
}

// releaseRetry refunds a reserved retry that is not sent because no endpoint takes the request.
func (c *call) releaseRetry() {
	if c.reserved != (reservation{}) {
		c.gateway.budget.refund(c.service.Name, c.reserved)
		c.reserved = reservation{}
	}
}

// minRetryTime is the remaining time below which another attempt is of no use.
const minRetryTime = 20 * time.Millisecond

// failureRetryDelay returns the Retry-After of a request that failed: by then the failing
// endpoint is likely to be excluded. It is random, because the callers would otherwise all retry
// at once.
func failureRetryDelay() time.Duration {
	return 200*time.Millisecond + rand.N(200*time.Millisecond)
}

// endedRefusal returns the refusal of a request that was ended by its deadline, the route's time
// limit, its caller or a planned stop.
func (c *call) endedRefusal() *request.Refusal {
	cause, run := context.Cause(c.ctx), c.lifecycle.RunStatus()
	isStopped := errors.Is(cause, errStopTimeout)
	switch {
	case errors.Is(cause, errCallerGone):
		return &request.Refusal{Code: request.CallerGone, Message: cause.Error(), Run: run}
	case isStopped && run == request.NotRun:
		return notRun(request.NotReady, cause.Error(), otherBoxRetryDelay)
	case isStopped:
		return &request.Refusal{Code: request.BoxStopped, Message: cause.Error(), Run: run}
	case run == request.NotRun:
		return notRun(request.NotInTime, cause.Error(), failureRetryDelay())
	default:
		return &request.Refusal{Code: request.DeadlinePassed, Message: cause.Error(), Run: run}
	}
}
