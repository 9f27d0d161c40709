// Package gateway is the process that serves callers by the operator's catalog:
// it finds the route of a request, asks for an endpoint, passes the request on
// and the answer back.
package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// Described is what the headers of a caller's request say.
type RequestInfo struct {
	ID string
	// Deadline is how long the caller waits; 0 means that it does not say.
	Timeout time.Duration
	// Key identifies the customer; empty means that there is none.
	Key string
	// Prompt is set for requests to model engines.
	Prompt *dispatch.Prompt
	// LastEvent is the number of the last event of a stream that the caller has;
	// empty means none.
	LastEvent string
}

// Delivery is what the headers towards an endpoint have to say.
type Delivery struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	// Customer is empty where none is known.
	Customer string
	// Remaining is the time in which the answer is of use; 0 leaves it out.
	Remaining time.Duration
	// LastEvent continues a stream after this event; empty means from the start.
	LastEvent string
}

// Answered is what the head of an endpoint's answer says.
type ResponseInfo struct {
	// ID is the request that the answer belongs to; empty where it does not say.
	ID string
	// NotRun answers prove that the endpoint did not run the request.
	NotRun bool
	// Genuine answers carry an endpoint's signature.
	Genuine bool
	// Leaving answers say that the endpoint leaves.
	Leaving bool
	// Rest is for how long the endpoint, as it turned the request away, wants nothing more
	// from this box; 0 means that it does not say.
	Rest time.Duration
	// RestProblem is set where it says so in a form that can not be read.
	RestProblem error
}

// Translator knows the names of headers and paths on the wire.
type Translator interface {
	// ReadyPath is where the balancer asks whether the box takes requests.
	ReadyPath() string
	// Describe reads a caller's headers.
	ParseRequest(header *fasthttp.RequestHeader) (RequestInfo, error)
	// Address turns a copy of a caller's headers into those for an endpoint.
	PrepareRequest(header *fasthttp.RequestHeader, to Delivery)
	// Answered reads the head of an answer.
	ParseResponse(header *fasthttp.ResponseHeader) ResponseInfo
	// KeptPath is where a model engine tells what its memory keeps.
	CachePath() string
	// Kept reads that answer: the start of the engine, 0 where it does not say, and the
	// parts.
	ParseCachedParts(body []byte) (born int64, parts []dispatch.Part, err error)
	// Strip takes what concerns one connection out of an answer's headers.
	StripConnectionHeaders(header *fasthttp.ResponseHeader)
}
