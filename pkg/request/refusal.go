package request

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Code is the machine-readable reason of a refusal.
type Code string

// The codes of refusals; codeStatus has the HTTP status of each.
const (
	InvalidRequest   Code = "invalid_request"
	InvalidKey       Code = "invalid_api_key"
	NotAllowed       Code = "not_allowed"
	NoSuchModel      Code = "model_not_found"
	NoSuchPath       Code = "path_not_found"
	QueueFull        Code = "queue_full"
	DeadlinePassed   Code = "deadline_passed"
	NoEndpoint       Code = "no_endpoint"
	NotReady         Code = "not_ready"
	EndpointFailed   Code = "endpoint_failed"
	StoreUnavailable Code = "store_unavailable"
	KeyReused        Code = "idempotency_key_reused"
	OutcomeUnknown   Code = "outcome_unknown"
	CallerGone       Code = "caller_gone"
	// Overloaded: there was no capacity in time; the caller may retry.
	Overloaded Code = "overloaded"
	// NotInTime: the deadline could not be met any more before the request was sent.
	NotInTime Code = "not_in_time"
	// Quarantined: the request has ended several endpoints and is not run for a while.
	Quarantined Code = "quarantined"
	// NotContinued: the stream that the caller takes up can not go on where it began.
	NotContinued Code = "not_continued"
	// TooLarge: the body exceeds the limit.
	TooLarge Code = "too_large"
	// BoxStopped: the box stopped before the response was complete.
	BoxStopped Code = "box_stopped"
)

var codeStatus = map[Code]int{
	InvalidRequest:   fasthttp.StatusBadRequest,
	InvalidKey:       fasthttp.StatusUnauthorized,
	NotAllowed:       fasthttp.StatusForbidden,
	NoSuchModel:      fasthttp.StatusNotFound,
	NoSuchPath:       fasthttp.StatusNotFound,
	QueueFull:        fasthttp.StatusTooManyRequests,
	DeadlinePassed:   fasthttp.StatusGatewayTimeout,
	NoEndpoint:       fasthttp.StatusServiceUnavailable,
	NotReady:         fasthttp.StatusServiceUnavailable,
	EndpointFailed:   fasthttp.StatusBadGateway,
	StoreUnavailable: fasthttp.StatusServiceUnavailable,
	KeyReused:        fasthttp.StatusUnprocessableEntity,
	OutcomeUnknown:   fasthttp.StatusConflict,
	CallerGone:       499,
	Overloaded:       fasthttp.StatusServiceUnavailable,
	TooLarge:         fasthttp.StatusRequestEntityTooLarge,
	NotInTime:        fasthttp.StatusServiceUnavailable,
	NotContinued:     fasthttp.StatusServiceUnavailable,
	Quarantined:      fasthttp.StatusServiceUnavailable,
	BoxStopped:       fasthttp.StatusBadGateway,
}

// The headers of every response that quaylead itself generates.
const (
	RunHeader = "Quaylead-Run"
	IDHeader  = "X-Request-Id"
)

// Refusal is a final response that quaylead sends in place of an endpoint.
type Refusal struct {
	Code    Code
	Message string
	// Run states whether an endpoint is known to have run the request.
	Run RunStatus
	// RetryAfter is the delay after which the caller should retry; 0 means that it should not.
	RetryAfter time.Duration
}

// Error implements error, so that a refusal can be returned as one inside the router.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Status returns the HTTP status for the code.
func (r *Refusal) Status() int {
	if status, ok := codeStatus[r.Code]; ok {
		return status
	}
	return fasthttp.StatusInternalServerError
}

// refusalBody is the JSON error format of the OpenAI-compatible API, which callers already
// parse.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code       Code      `json:"code"`
	Type       string    `json:"type"`
	Message    string    `json:"message"`
	RequestID  string    `json:"request_id"`
	Run        RunStatus `json:"run"`
	RetryAfter float64   `json:"retry_after_seconds,omitempty"`
}

// Write makes the refusal the given response.
func (r *Refusal) Write(response *fasthttp.Response, id string) {
	response.Reset()
	response.SetStatusCode(r.Status())
	response.Header.SetContentType("application/json")
	response.Header.Set(RunHeader, string(r.Run))
	response.Header.Set(IDHeader, id)
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := json.Marshal(refusalBody{Error: refusalError{
		Code:       r.Code,
		Type:       "quaylead_refusal",
		Message:    r.Message,
		RequestID:  id,
		Run:        r.Run,
		RetryAfter: r.RetryAfter.Seconds(),
	}})
	if err == nil {
		response.SetBody(body)
	}
}
