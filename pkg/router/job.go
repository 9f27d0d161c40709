package router

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/pool"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/settings"
)

// job is one caller's request while the router handles it.
type job struct {
	router   *Router
	ctx      *fasthttp.RequestCtx
	view     *view
	id       string
	customer string
	class    string
	arrived  time.Time
	deadline time.Time

	poolName  string
	pool      *pool.Pool
	rules     settings.Pool
	ticket    *pool.Ticket
	lifecycle request.Lifecycle
	// repeatable is set when the request may be sent more than once.
	repeatable bool
	// buildRequest builds the request for the assigned endpoint.
	buildRequest func() (*fasthttp.Request, error)
	// grants counts the endpoints that were granted, whether reached or not.
	grants int
	// streaming is set once the response stream owns the job; closing the
	// stream then ends the job.
	streaming bool
}

// callerCheckInterval is the time between two checks whether a waiting caller is
// gone.
const callerCheckInterval = 500 * time.Millisecond

// defaultRetryAfter is the retry advice after a failure that passes soon.
const defaultRetryAfter = time.Second

// callerGoneError ends the wait for an endpoint when the caller disconnected.
type callerGoneError struct{}

// Error implements the error interface.
func (callerGoneError) Error() string { return "the caller went away" }

// deadlineError ends the wait for an endpoint when the deadline passed.
type deadlineError struct{}

// Error implements the error interface.
func (deadlineError) Error() string { return "the deadline passed" }

// strandedError ends the wait in an endpoint's queue when another is free.
type strandedError struct{}

// Error implements the error interface.
func (strandedError) Error() string { return "another endpoint has a free slot" }

// checkWhileWaiting is called repeatedly while the job waits for an endpoint's
// response. An error ends the wait.
func (j *job) checkWhileWaiting() error {
	if j.repeatable && j.lifecycle.Attempts() < maxAttempts && j.pool.IsStranded(j.ticket) {
		return strandedError{}
	}
	return j.checkActive()
}

// checkActive returns an error when the deadline passed or the caller is gone.
func (j *job) checkActive() error {
	if time.Now().After(j.deadline) {
		return deadlineError{}
	}
	if j.isCallerGone() {
		return callerGoneError{}
	}
	return nil
}

// assignPool sets the job's pool and creates its ticket.
func (j *job) assignPool(poolName string) *request.Refusal {
	if !j.view.canUsePool(j.customer, poolName) {
		return &request.Refusal{
			Code:    request.NotAllowed,
			Message: "the customer may not use pool " + poolName,
			Run:     request.NotRun,
		}
	}
	j.poolName = poolName
	j.pool = j.router.pool(poolName)
	j.rules = j.view.fleet.Pools[poolName]
	j.ticket = &pool.Ticket{
		ID:       j.id,
		Customer: j.customer,
		Arrived:  j.arrived,
		Granted:  make(chan struct{}, 1),
	}
	return nil
}

// obtainResponse returns the head of an endpoint's response for a queued
// ticket. It tries other endpoints as far as that is safe and within the retry
// budget. When it returns a response, the ticket is running.
func (j *job) obtainResponse() (*endpoint.CheckedResponse, *request.Refusal) {
	for {
		if refusal := j.awaitGrant(); refusal != nil {
			return nil, refusal
		}
		response, err := j.attempt()
		if err == nil {
			return response, nil
		}
		if refusal := j.handleFailure(err); refusal != nil {
			return nil, refusal
		}
	}
}

// awaitGrant waits for an endpoint with room.
func (j *job) awaitGrant() *request.Refusal {
	if j.lifecycle.State() < request.Queued {
		// The transition from received to queued never fails.
		_ = j.lifecycle.Advance(request.Queued)
	}
	timer := time.NewTimer(callerCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-j.ticket.Granted:
			return nil
		case <-timer.C:
		}
		if err := j.checkActive(); err != nil {
			if j.pool.Withdraw(j.ticket) {
				return j.abandonedRefusal(err)
			}
			<-j.ticket.Granted
			j.pool.Finish(j.ticket, pool.Abandoned{})
			return j.abandonedRefusal(err)
		}
		if refusal := j.refuseIfUnavailable(); refusal != nil {
			return refusal
		}
		timer.Reset(min(callerCheckInterval, max(time.Until(j.deadline), time.Millisecond)))
	}
}

// refuseIfUnavailable refuses the request at once when no endpoint of the pool
// can be used: a longer wait would only delay the refusal.
func (j *job) refuseIfUnavailable() *request.Refusal {
	wait, none := j.pool.NoneAvailable()
	if !none || !j.pool.Withdraw(j.ticket) {
		return nil
	}
	return &request.Refusal{
		Code:       request.NoEndpoint,
		Message:    "no endpoint of the pool can be used now",
		Run:        j.lifecycle.RunStatus(),
		RetryAfter: max(wait, defaultRetryAfter),
	}
}

// abandonedRefusal returns the refusal for a request that the caller or the
// deadline ended.
func (j *job) abandonedRefusal(err error) *request.Refusal {
	if errors.Is(err, callerGoneError{}) {
		return &request.Refusal{
			Code:    request.CallerGone,
			Message: "the caller went away",
			Run:     j.lifecycle.RunStatus(),
		}
	}
	return &request.Refusal{
		Code:       request.DeadlinePassed,
		Message:    "the request's deadline passed",
		Run:        j.lifecycle.RunStatus(),
		RetryAfter: defaultRetryAfter,
	}
}

// declinedError reports that the endpoint proved that it ran nothing.
type declinedError struct {
	leaving bool
}

// Error implements the error interface.
func (e *declinedError) Error() string { return "the endpoint took no new work" }

// mismatchedResponseError reports a response that belongs to another request.
type mismatchedResponseError struct {
	requestID string
}

// Error names the other request.
func (e *mismatchedResponseError) Error() string {
	return "the endpoint answered request " + e.requestID
}

// retryableStatusError reports a status after which another endpoint may succeed.
type retryableStatusError struct {
	status int
}

// Error names the status.
func (e *retryableStatusError) Error() string {
	return "the endpoint answered " + fasthttp.StatusMessage(e.status)
}

// attempt sends the request to the assigned endpoint.
func (j *job) attempt() (*endpoint.CheckedResponse, error) {
	j.grants++
	call, err := j.buildRequest()
	if err != nil {
		return nil, err
	}
	if err := j.checkActive(); err != nil {
		return nil, err
	}
	client := j.router.client(j.ticket.Endpoint.Address, &j.rules)
	onSending := func() error { return j.lifecycle.Advance(request.Sending) }
	onSent := func() error { return j.lifecycle.Advance(request.Sent) }
	response, err := client.Send(call, !j.repeatable, j.checkWhileWaiting, onSending, onSent)
	if err != nil {
		return nil, err
	}
	if err := j.inspect(response); err != nil {
		response.Close()
		return nil, err
	}
	return response, j.lifecycle.Advance(request.Responding)
}

// inspect checks the head of a response.
func (j *job) inspect(response *endpoint.CheckedResponse) error {
	header := &response.Head
	echoed := header.Peek(request.IDHeader)
	if len(echoed) > 0 && string(echoed) != j.id {
		return &mismatchedResponseError{requestID: string(echoed)}
	}
	// A late copy of an error that names no request would be taken for the response to the next one.
	response.NoReuse = len(echoed) == 0 && response.Response.StatusCode() >= fasthttp.StatusMultipleChoices
	if j.rules.NotRunHeader != "" && len(header.Peek(j.rules.NotRunHeader)) > 0 {
		leaving := j.rules.LeavingHeader != "" && len(header.Peek(j.rules.LeavingHeader)) > 0
		return &declinedError{leaving: leaving}
	}
	status := response.Response.StatusCode()
	if j.repeatable && isRetryableStatus(status) && j.lifecycle.Attempts() < maxAttempts {
		return &retryableStatusError{status: status}
	}
	return nil
}

// maxAttempts bounds the endpoints that one request is sent to.
const maxAttempts = 3

// maxGrants bounds the endpoints that one request is granted, reached or not.
const maxGrants = 8

func isRetryableStatus(status int) bool {
	switch status {
	case fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		return true
	}
	return false
}

// handleFailure records a failed attempt and requeues the request if that is safe.
// Otherwise it returns the refusal.
func (j *job) handleFailure(err error) *request.Refusal {
	var declined *declinedError
	var dial *endpoint.DialError
	stranded := errors.Is(err, strandedError{})
	abandoned := errors.Is(err, callerGoneError{}) || errors.Is(err, deadlineError{})
	switch {
	case errors.As(err, &declined):
		j.lifecycle.ProveNotRun()
		j.pool.Finish(j.ticket, pool.Declined{Leaving: declined.leaving})
	case abandoned:
		j.pool.Finish(j.ticket, pool.Abandoned{})
		return j.abandonedRefusal(err)
	case stranded:
		j.pool.Finish(j.ticket, pool.Moved{})
	default:
		j.pool.Finish(j.ticket, pool.Failed{})
	}
	budgetExempt := declined != nil || stranded || errors.As(err, &dial)
	if j.requeue(budgetExempt) {
		return nil
	}
	return &request.Refusal{
		Code:       request.EndpointFailed,
		Message:    "the endpoint did not give a whole answer",
		Run:        j.lifecycle.RunStatus(),
		RetryAfter: defaultRetryAfter,
	}
}

// requeue queues the request for another attempt. It is exempt from the retry
// budget if the endpoint could not be reached, ran nothing, or had the request
// taken back while it waited there; any other failure takes a retry from the
// budget.
func (j *job) requeue(budgetExempt bool) bool {
	if j.lifecycle.Attempts() >= maxAttempts || j.grants >= maxGrants {
		return false
	}
	if j.lifecycle.State() >= request.Sending && j.lifecycle.Requeue(j.repeatable) != nil {
		return false
	}
	j.router.Metrics.Retries.Add(j.poolName, 1)
	if budgetExempt {
		return j.pool.Requeue(j.ticket)
	}
	return j.pool.Retry(j.ticket)
}
