package router

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/record"
	"github.com/quaylead/quaylead/pkg/request"
)

// Headers that callers may set.
const (
	// ClassHeader names the class of a request.
	ClassHeader = "Quaylead-Class"
	// TimeoutHeader bounds a request, as a duration such as "10s".
	TimeoutHeader = "Quaylead-Timeout"
)

// newID returns a random identifier that no other request or process has.
func newID() string {
	var random [15]byte
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(random[:])
	return base64.RawURLEncoding.EncodeToString(random[:])
}

// maxIDLength bounds the request IDs that callers may set.
const maxIDLength = 128

func requestID(ctx *fasthttp.RequestCtx) string {
	given := ctx.Request.Header.Peek(request.IDHeader)
	if len(given) > 0 && len(given) <= maxIDLength {
		return string(given)
	}
	return newID()
}

// serveCaller serves one call.
func (r *Router) serveCaller(ctx *fasthttp.RequestCtx) {
	r.inFlight.Add(1)
	j := &job{router: r, ctx: ctx, id: requestID(ctx), arrived: time.Now()}
	if r.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if refusal := r.route(j); refusal != nil {
		j.refuse(refusal)
	}
	if !j.streaming {
		r.inFlight.Add(-1)
	}
}

// route determines what kind of call it is and serves it.
func (r *Router) route(j *job) *request.Refusal {
	j.view = r.current.Load()
	if j.view == nil {
		return &request.Refusal{
			Code:       request.NotReady,
			Message:    "this router has no settings yet",
			Run:        request.NotRun,
			RetryAfter: time.Second,
		}
	}
	customer, refusal := j.view.identify(j.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if refusal != nil {
		return refusal
	}
	j.customer = customer
	if refusal := j.parseDeadline(); refusal != nil {
		return refusal
	}
	switch path := string(j.ctx.Path()); path {
	case "/v1/models":
		return j.listModels()
	case "/v1/chat/completions", "/v1/completions":
		return j.serveModel()
	default:
		return j.servePlain(path)
	}
}

// parseDeadline sets the deadline that applies to the whole request.
func (j *job) parseDeadline() *request.Refusal {
	timeout := j.router.Box.Limits.RequestTimeout.Duration
	given := j.ctx.Request.Header.Peek(TimeoutHeader)
	if len(given) > 0 {
		parsed, err := time.ParseDuration(string(given))
		if err != nil || parsed <= 0 {
			return invalidRequest("the header " + TimeoutHeader + " is no duration such as 10s")
		}
		timeout = min(timeout, parsed)
	}
	j.deadline = j.arrived.Add(timeout)
	return nil
}

func invalidRequest(message string) *request.Refusal {
	return &request.Refusal{Code: request.InvalidRequest, Message: message, Run: request.NotRun}
}

// modelList is the response body of /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (j *job) listModels() *request.Refusal {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for model, pool := range j.view.models {
		if j.view.canUsePool(j.customer, pool) {
			list.Data = append(list.Data, modelEntry{ID: model, Object: "model", OwnedBy: pool})
		}
	}
	body, err := json.Marshal(list)
	if err != nil {
		return invalidRequest(err.Error())
	}
	j.ctx.Response.Header.SetContentType("application/json")
	j.ctx.Response.Header.Set(request.IDHeader, j.id)
	j.ctx.Response.SetBody(body)
	return nil
}

// refuse writes a refusal as the final response.
func (j *job) refuse(refusal *request.Refusal) {
	r := j.router
	r.Metrics.Refusals.Add(string(refusal.Code), 1)
	r.logs.For(logflags.Caller).Debug("request refused",
		zap.String("Request", j.id),
		zap.String("Customer", j.customer),
		zap.String("Code", string(refusal.Code)),
		zap.String("Run", string(refusal.Run)))
	refusal.Write(&j.ctx.Response, j.id)
	if refusal.Code == request.CallerGone {
		j.ctx.SetConnectionClose()
	}
}

// refuseMalformed refuses calls that are not HTTP requests within the limits.
func (r *Router) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	r.logs.For(logflags.Caller).Debug("malformed request", zap.Error(err))
	refusal := invalidRequest("the request is malformed, too large or too slow")
	refusal.Write(&ctx.Response, newID())
	ctx.SetConnectionClose()
}

// isCallerGone reports whether the caller's connection is closed.
func (j *job) isCallerGone() bool {
	return !endpoint.IsOpen(j.ctx.Conn())
}

func (j *job) recordLatency(latencies *record.Latencies) {
	key := record.Key{Customer: j.customer, Class: j.class}
	latencies.Add(key, time.Since(j.arrived))
}
