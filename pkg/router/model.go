package router

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/pool"
	"github.com/quaylead/quaylead/pkg/request"
)

var eventStreamType = []byte("text/event-stream")

// serveModel serves a call to a model pool.
func (j *job) serveModel() *request.Refusal {
	if !j.ctx.IsPost() {
		return invalidRequest("model requests are made by POST")
	}
	call, err := endpoint.ParseModelCall(j.ctx.PostBody())
	if err != nil {
		return invalidRequest("the body is no model request: " + err.Error())
	}
	poolName, ok := j.view.models[call.Model]
	if !ok {
		return &request.Refusal{
			Code:    request.NoSuchModel,
			Message: "there is no model " + strconv.Quote(call.Model),
			Run:     request.NotRun,
		}
	}
	if refusal := j.assignPool(poolName); refusal != nil {
		return refusal
	}
	className := string(j.ctx.Request.Header.Peek(ClassHeader))
	j.class, j.ticket.Quick = j.view.classify(className, call.MaxTokens)
	j.ticket.Class = j.class
	j.ticket.InputTokens = float64(call.PromptBytes) / endpoint.BytesPerToken
	j.ticket.MaxOutputTokens = float64(call.MaxTokens)
	j.ticket.Affinity = call.Affinity
	j.ticket.Streamed = call.Stream
	j.repeatable = true
	j.buildRequest = func() (*fasthttp.Request, error) {
		body, err := call.Body(j.rules.PriorityField, j.ticket.Priority)
		if err != nil {
			return nil, err
		}
		request := j.newForwardRequest()
		request.SetBodyRaw(body)
		return request, nil
	}
	return j.forwardModel(call)
}

// forwardModel forwards an engine's response. Nothing is delivered before its
// first event, so if a response breaks off earlier, another engine may still
// provide one.
func (j *job) forwardModel(call *endpoint.ModelCall) *request.Refusal {
	if refusal := j.pool.Submit(j.ticket); refusal != nil {
		return refusal
	}
	for {
		response, refusal := j.obtainResponse()
		if refusal != nil {
			return refusal
		}
		var err error
		switch {
		case response.Response.StatusCode() != fasthttp.StatusOK:
			return j.forward(response)
		case bytes.HasPrefix(response.Response.Header.ContentType(), eventStreamType):
			err = j.forwardStream(response, call.WantsUsage)
		default:
			err = j.forwardBuffered(response)
		}
		if err == nil {
			return nil
		}
		response.Close()
		if refusal := j.handleFailure(err); refusal != nil {
			return refusal
		}
	}
}

// forwardBuffered forwards a response that is not streamed, once it has been
// read completely.
func (j *job) forwardBuffered(response *endpoint.CheckedResponse) error {
	body, err := response.ReadAll(j.router.Box.Limits.AnswerBytes)
	if err != nil {
		return err
	}
	response.Close()
	usage, known := endpoint.ParseUsage(body)
	j.pool.Begin(j.ticket)
	j.finish(pool.Completed{
		InputTokens:  float64(usage.PromptTokens),
		OutputTokens: float64(usage.CompletionTokens),
		UsageKnown:   known,
	})
	j.recordLatency(&j.router.Metrics.FirstToken)
	j.copyHeader(response)
	j.ctx.Response.SetBody(body)
	return nil
}

// forwardStream hands the stream to the server, which reads it event by event.
func (j *job) forwardStream(response *endpoint.CheckedResponse, keepUsage bool) error {
	events := &endpoint.EventStream{Source: response, KeepUsage: keepUsage}
	events.Count = func(tokens int) { j.pool.RecordTokens(j.ticket, float64(tokens)) }
	if err := events.Prime(); err != nil {
		return err
	}
	j.pool.Begin(j.ticket)
	j.recordLatency(&j.router.Metrics.FirstToken)
	j.copyHeader(response)
	j.streaming = true
	j.ctx.Response.ImmediateHeaderFlush = true
	j.ctx.Response.SetBodyStream(&eventBody{forwardedBody: forwardedBody{job: j, response: response}, events: events}, -1)
	return nil
}

// finish records that the response is complete.
func (j *job) finish(outcome pool.Completed) {
	j.pool.Finish(j.ticket, outcome)
	// The transition from responding to settled never fails.
	_ = j.lifecycle.Advance(request.Settled)
	j.router.Metrics.Answers.Add(j.poolName, 1)
	j.recordLatency(&j.router.Metrics.Total)
}

// forwardedBody is a response that is being forwarded to the caller. Closing it
// records the outcome of the request.
type forwardedBody struct {
	job      *job
	response *endpoint.CheckedResponse
	// complete is set once the end of the response was forwarded.
	complete bool
	closed   bool
}

// extendWriteDeadline gives a slow caller the write timeout for the next piece.
func (b *forwardedBody) extendWriteDeadline() error {
	timeout := b.job.router.Box.Limits.WriteTimeout.Duration
	return b.job.ctx.Conn().SetWriteDeadline(time.Now().Add(timeout))
}

// close ends the exchange with the endpoint, whether the response is complete
// or cut.
func (b *forwardedBody) close(outcome pool.Completed) error {
	if b.closed {
		return nil
	}
	b.closed = true
	j := b.job
	defer j.router.inFlight.Add(-1)
	err := b.response.Close()
	if b.complete {
		j.finish(outcome)
		return err
	}
	j.router.Metrics.Cut.Add(j.poolName, 1)
	if j.isCallerGone() {
		j.pool.Finish(j.ticket, pool.Abandoned{})
		return err
	}
	j.pool.Finish(j.ticket, pool.Failed{})
	return err
}

// eventBody is an engine's event stream that is being forwarded to the caller.
type eventBody struct {
	forwardedBody
	events *endpoint.EventStream
}

// Read returns the next events. After an error other than io.EOF the server closes
// the connection without a clean end, so that the caller can detect the cut.
func (b *eventBody) Read(p []byte) (n int, err error) {
	n, err = b.events.Read(p)
	b.complete = isEOF(err)
	if err != nil {
		return n, err
	}
	return n, b.extendWriteDeadline()
}

// Close records the outcome of the request, with its actual cost.
func (b *eventBody) Close() error {
	return b.close(pool.Completed{
		InputTokens:  float64(b.events.Usage.PromptTokens),
		OutputTokens: float64(b.events.Usage.CompletionTokens),
		UsageKnown:   b.events.UsageKnown,
	})
}
