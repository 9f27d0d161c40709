// Package gateway implements the router process, which serves callers by the operator's catalog:
// it finds the route of a request, obtains an endpoint, and forwards the request and the
// response.
package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits; 0 means that it is not specified.
	Timeout time.Duration
	// Key is the API key of the customer; empty if there is none.
	Key string
	// Prompt is set for requests to model engines.
	Prompt *dispatch.Prompt
	// LastEvent is the ID of the last event of a stream that the caller has received; empty
	// means none.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of a stream that the caller
	// takes up; empty if it is not specified.
	Resumes string
}

// Delivery is the information for the headers of a request to an endpoint.
type Delivery struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	// Customer is empty if it is not known.
	Customer string
	// Remaining is the time until the request's deadline; 0 omits it.
	Remaining time.Duration
	// LastEvent is the ID of the event after which a stream continues; empty means from the
	// start.
	LastEvent string
	// FetchFrom is the address of the engine from which the endpoint is to copy cached parts of
	// the prompt first; empty means none.
	FetchFrom string
}

// ResponseInfo is the information in the head of an endpoint's response.
type ResponseInfo struct {
	// ID is the ID of the request that the response belongs to; empty if it is not specified.
	ID string
	// NotRun is set if the response proves that the endpoint did not run the request.
	NotRun bool
	// Genuine is set if the response carries the signature of an endpoint.
	Genuine bool
	// Leaving is set if the endpoint reports that it leaves.
	Leaving bool
	// Rest is for how long the endpoint, which refused the request, wants no more requests from
	// this box; 0 means that it is not specified.
	Rest time.Duration
	// RestProblem is set if the rest can not be parsed.
	RestProblem error
}

// Translator converts between the headers and paths on the wire and the types of this package.
type Translator interface {
	// ReadyPath returns the path on which the balancer checks whether the box takes requests.
	ReadyPath() string
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(header *fasthttp.RequestHeader) (RequestInfo, error)
	// ParseKey reads only the API key of a caller's request; empty if there is none.
	ParseKey(header *fasthttp.RequestHeader) string
	// PrepareRequest fills the empty head of a request to an endpoint from that of a caller's request.
	// Nothing that the caller sent behind its body becomes part of it.
	PrepareRequest(out, caller *fasthttp.RequestHeader, to Delivery)
	// ParseResponse reads the head of an endpoint's response.
	ParseResponse(header *fasthttp.ResponseHeader) ResponseInfo
	// CachePath returns the path on which a model engine lists its prefix cache.
	CachePath() string
	// ParseCachedParts reads that list: the start time of the engine, 0 if it is not specified,
	// and the cached parts.
	ParseCachedParts(body []byte) (born int64, parts []dispatch.Part, err error)
}
