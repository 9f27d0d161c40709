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

// job is one caller's request on its way through the router.
type job struct {
	router   *Router
	ctx      *fasthttp.RequestCtx
	view     *view
	id       string
	customer string
	class    string
	arrived  time.Time
	deadline time.Time

	poolName string
	pool     *pool.Pool
	rules    settings.Pool
	ticket   *pool.Ticket
	life     request.Life
	// repeatable tells that the request may be sent more than once.
	repeatable bool
	// compose writes the request for the endpoint that was chosen.
	compose func() (*fasthttp.Request, error)
	// tries counts the endpoints that were granted, whether reached or not.
	tries int
	// streaming is set once the answer's stream has the job; it then ends it.
	streaming bool
}

// callerCheck is the time between two looks whether a waiting caller is gone.
const callerCheck = 500 * time.Millisecond

// retryHint is the advice to come back after a failure that passes soon.
const retryHint = time.Second

// goneError ends waiting for an endpoint whose caller went away.
type goneError struct{}

// Error says why the wait ended.
func (goneError) Error() string { return "the caller went away" }

// lateError ends waiting for an endpoint when the deadline passed.
type lateError struct{}

// Error says why the wait ended.
func (lateError) Error() string { return "the deadline passed" }

// strandedError ends waiting in the queue of an endpoint while another is free.
type strandedError struct{}

// Error says why the wait ended.
func (strandedError) Error() string { return "another endpoint has a free slot" }

// checkAnswer is asked while an endpoint's answer is awaited.
func (j *job) checkAnswer() error {
	if j.repeatable && j.life.Attempts() < maxAttempts && j.pool.Stranded(j.ticket) {
		return strandedError{}
	}
	return j.check()
}

// check tells whether the request is still wanted.
func (j *job) check() error {
	if time.Now().After(j.deadline) {
		return lateError{}
	}
	if j.gone() {
		return goneError{}
	}
	return nil
}

// enter sets the job's pool and makes its ticket.
func (j *job) enter(poolName string) *request.Refusal {
	if !j.view.allowed(j.customer, poolName) {
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

// obtain gets the head of an endpoint's answer for a ticket in line, trying
// other endpoints as far as that is safe and within the retry budget. The
// ticket is running then.
func (j *job) obtain() (*endpoint.Answer, *request.Refusal) {
	for {
		if refusal := j.awaitGrant(); refusal != nil {
			return nil, refusal
		}
		answer, err := j.attempt()
		if err == nil {
			return answer, nil
		}
		if refusal := j.afterFailure(err); refusal != nil {
			return nil, refusal
		}
	}
}

// awaitGrant waits in line for an endpoint with room.
func (j *job) awaitGrant() *request.Refusal {
	if j.life.State() < request.Queued {
		// A received request can always be queued.
		_ = j.life.Advance(request.Queued)
	}
	timer := time.NewTimer(callerCheck)
	defer timer.Stop()
	for {
		select {
		case <-j.ticket.Granted:
			return nil
		case <-timer.C:
		}
		if err := j.check(); err != nil {
			if j.pool.Withdraw(j.ticket) {
				return j.givenUp(err)
			}
			<-j.ticket.Granted
			j.pool.Finish(j.ticket, pool.Abandoned{})
			return j.givenUp(err)
		}
		if refusal := j.hopeless(); refusal != nil {
			return refusal
		}
		timer.Reset(min(callerCheck, max(time.Until(j.deadline), time.Millisecond)))
	}
}

// hopeless gives up at once when no endpoint of the pool can be used: waiting
// on would only hold the answer back.
func (j *job) hopeless() *request.Refusal {
	wait, none := j.pool.NoneAvailable()
	if !none || !j.pool.Withdraw(j.ticket) {
		return nil
	}
	return &request.Refusal{
		Code:       request.NoEndpoint,
		Message:    "no endpoint of the pool can be used now",
		Run:        j.life.Run(),
		RetryAfter: max(wait, retryHint),
	}
}

// givenUp is the final answer when the caller or the deadline ended a request.
func (j *job) givenUp(err error) *request.Refusal {
	if errors.Is(err, goneError{}) {
		return &request.Refusal{
			Code:    request.CallerGone,
			Message: "the caller went away",
			Run:     j.life.Run(),
		}
	}
	return &request.Refusal{
		Code:       request.DeadlinePassed,
		Message:    "the request's deadline passed",
		Run:        j.life.Run(),
		RetryAfter: retryHint,
	}
}

// declinedError reports that the endpoint proved that it ran nothing.
type declinedError struct {
	leaving bool
}

// Error says what the endpoint said.
func (e *declinedError) Error() string { return "the endpoint took no new work" }

// crossedError reports an answer that belongs to another request.
type crossedError struct {
	got string
}

// Error names the other request.
func (e *crossedError) Error() string { return "the endpoint answered request " + e.got }

// statusError reports an answer that another endpoint may do better.
type statusError struct {
	status int
}

// Error names the status.
func (e *statusError) Error() string {
	return "the endpoint answered " + fasthttp.StatusMessage(e.status)
}

// attempt sends the request to the granted endpoint.
func (j *job) attempt() (*endpoint.Answer, error) {
	j.tries++
	call, err := j.compose()
	if err != nil {
		return nil, err
	}
	if err := j.check(); err != nil {
		return nil, err
	}
	client := j.router.client(j.ticket.Endpoint.Address, &j.rules)
	sending := func() error { return j.life.Advance(request.Sending) }
	sent := func() error { return j.life.Advance(request.Sent) }
	answer, err := client.Send(call, !j.repeatable, j.checkAnswer, sending, sent)
	if err != nil {
		return nil, err
	}
	if err := j.inspect(answer); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, j.life.Advance(request.Answering)
}

// inspect judges the head of an answer.
func (j *job) inspect(answer *endpoint.Answer) error {
	header := &answer.Response.Header
	echoed := header.Peek(request.IDHeader)
	if len(echoed) > 0 && string(echoed) != j.id {
		return &crossedError{got: string(echoed)}
	}
	if j.rules.NotRunHeader != "" && len(header.Peek(j.rules.NotRunHeader)) > 0 {
		leaving := j.rules.LeavingHeader != "" && len(header.Peek(j.rules.LeavingHeader)) > 0
		return &declinedError{leaving: leaving}
	}
	status := answer.Response.StatusCode()
	if j.repeatable && retryableStatus(status) && j.life.Attempts() < maxAttempts {
		return &statusError{status: status}
	}
	return nil
}

// maxAttempts bounds the endpoints that one request is sent to.
const maxAttempts = 3

// maxTries bounds the endpoints that one request is granted, reached or not.
const maxTries = 8

func retryableStatus(status int) bool {
	switch status {
	case fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		return true
	}
	return false
}

// afterFailure settles a failed attempt and puts the request back in line if
// that is safe. Otherwise it returns the final answer.
func (j *job) afterFailure(err error) *request.Refusal {
	var declined *declinedError
	var dial *endpoint.DialError
	stranded := errors.Is(err, strandedError{})
	ended := errors.Is(err, goneError{}) || errors.Is(err, lateError{})
	switch {
	case errors.As(err, &declined):
		j.life.Prove()
		j.pool.Finish(j.ticket, pool.Declined{Leaving: declined.leaving})
	case ended:
		j.pool.Finish(j.ticket, pool.Abandoned{})
		return j.givenUp(err)
	case stranded:
		j.pool.Finish(j.ticket, pool.Moved{})
	default:
		j.pool.Finish(j.ticket, pool.Failed{})
	}
	free := declined != nil || stranded || errors.As(err, &dial)
	if j.backInLine(free) {
		return nil
	}
	return &request.Refusal{
		Code:       request.EndpointFailed,
		Message:    "the endpoint did not give a whole answer",
		Run:        j.life.Run(),
		RetryAfter: retryHint,
	}
}

// backInLine queues the request for another attempt. It is free of the budget if
// the endpoint ran nothing or was left while the request waited there; any
// other failure costs.
func (j *job) backInLine(free bool) bool {
	if j.life.Attempts() >= maxAttempts || j.tries >= maxTries {
		return false
	}
	if j.life.State() >= request.Sending && j.life.Return(j.repeatable) != nil {
		return false
	}
	j.router.Metrics.Retries.Add(j.poolName, 1)
	if free {
		return j.pool.Requeue(j.ticket)
	}
	return j.pool.Retry(j.ticket)
}
