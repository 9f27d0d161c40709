package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/claim"
	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/pool"
	"github.com/quaylead/quaylead/pkg/request"
)

// servePlain serves a call to a plain service.
func (j *job) servePlain(path string) *request.Refusal {
	poolName, ok := j.view.poolForPath(path)
	if !ok {
		return &request.Refusal{
			Code:    request.NoSuchPath,
			Message: "no service has this path",
			Run:     request.NotRun,
		}
	}
	if refusal := j.assignPool(poolName); refusal != nil {
		return refusal
	}
	className := string(j.ctx.Request.Header.Peek(ClassHeader))
	j.class, j.ticket.Quick = j.view.classify(className, 0)
	j.ticket.Class = j.class
	method := string(j.ctx.Method())
	j.repeatable = isRepeatable(&j.rules, method, path)
	j.buildRequest = func() (*fasthttp.Request, error) {
		call := j.newForwardRequest()
		call.SetBodyRaw(j.ctx.PostBody())
		return call, nil
	}
	key := string(j.ctx.Request.Header.Peek(j.rules.KeyHeader))
	if j.repeatable || key == "" {
		return j.forwardPlain()
	}
	return j.serveClaimed(key)
}

// forwardPlain forwards a plain service's response as it arrives.
func (j *job) forwardPlain() *request.Refusal {
	if refusal := j.pool.Submit(j.ticket); refusal != nil {
		return refusal
	}
	response, refusal := j.obtainResponse()
	if refusal != nil {
		return refusal
	}
	return j.forward(response)
}

// forward hands a response to the server, which reads it piece by piece.
func (j *job) forward(response *endpoint.CheckedResponse) *request.Refusal {
	j.pool.Begin(j.ticket)
	j.copyHeader(response)
	if response.IsEmpty() {
		j.ctx.Response.SkipBody = j.ctx.IsHead()
		response.Close()
		j.finish(pool.Completed{})
		return nil
	}
	j.streaming = true
	stream := &plainBody{forwardedBody{job: j, response: response}}
	j.ctx.Response.SetBodyStream(stream, response.Length())
	return nil
}

// plainBody is a plain service's response that is being forwarded to the
// caller.
type plainBody struct {
	forwardedBody
}

// Read returns the next piece. After an error other than io.EOF the server closes
// the connection without a clean end, so that the caller can detect the cut.
func (b *plainBody) Read(p []byte) (n int, err error) {
	n, err = b.response.Read(p)
	b.complete = isEOF(err)
	if err != nil {
		return n, err
	}
	return n, b.extendWriteDeadline()
}

// Close records the outcome of the request.
func (b *plainBody) Close() error {
	return b.close(pool.Completed{})
}

func isEOF(err error) bool {
	return err == io.EOF
}

// serveClaimed serves a call that must run at most once and carries an
// idempotency key. The key is claimed before the first byte is sent, and the
// outcome is stored.
func (j *job) serveClaimed(key string) *request.Refusal {
	ctx, cancel := context.WithDeadline(context.Background(), j.deadline)
	defer cancel()
	claimKey := claim.Key{Customer: j.customer, Pool: j.poolName, Value: key}
	result, err := j.router.claims.Take(ctx, claimKey, j.digest())
	if err != nil {
		return &request.Refusal{
			Code:       request.StoreUnavailable,
			Message:    "the claim of the idempotency key could not be confirmed",
			Run:        request.NotRun,
			RetryAfter: defaultRetryAfter,
		}
	}
	switch result := result.(type) {
	case claim.Taken:
		// The transition from received to claimed never fails.
		_ = j.lifecycle.Advance(request.Claimed)
		return j.sendClaimed(result.Claim)
	case claim.Stored:
		j.respondStored(result.Outcome)
		return nil
	case claim.Reused:
		return &request.Refusal{
			Code:    request.KeyReused,
			Message: "the idempotency key belongs to a different request",
			Run:     request.NotRun,
		}
	default:
		return &request.Refusal{
			Code:       request.OutcomeUnknown,
			Message:    "the call with this idempotency key was begun and its outcome is not known",
			Run:        request.Unknown,
			RetryAfter: defaultRetryAfter,
		}
	}
}

// digest distinguishes this request from others with the same key.
func (j *job) digest() string {
	digest := sha256.New()
	for _, part := range [][]byte{j.ctx.Method(), j.ctx.RequestURI(), j.ctx.PostBody()} {
		digest.Write(part)
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// sendClaimed makes the one call that a claim allows.
func (j *job) sendClaimed(held *claim.Claim) *request.Refusal {
	refusal := j.pool.Submit(j.ticket)
	var response *endpoint.CheckedResponse
	if refusal == nil {
		response, refusal = j.obtainResponse()
	}
	if refusal != nil {
		if j.lifecycle.RunStatus() == request.NotRun {
			j.router.claims.Release(held)
		}
		return refusal
	}
	defer response.Close()
	content, err := response.ReadAll(j.router.Box.Limits.AnswerBytes)
	if err != nil {
		j.pool.Finish(j.ticket, pool.Failed{})
		return &request.Refusal{
			Code:    request.OutcomeUnknown,
			Message: "the call ran, but its answer did not come whole",
			Run:     j.lifecycle.RunStatus(),
		}
	}
	j.finish(pool.Completed{})
	j.router.claims.Settle(held, claim.Outcome{
		Status:      response.Response.StatusCode(),
		ContentType: string(response.Response.Header.ContentType()),
		Body:        content,
	})
	j.copyHeader(response)
	j.ctx.Response.SetBody(content)
	return nil
}

// ReplayedHeader marks a response that was stored when the call ran.
const ReplayedHeader = "Quaylead-Replayed"

func (j *job) respondStored(outcome claim.Outcome) {
	response := &j.ctx.Response
	response.SetStatusCode(outcome.Status)
	response.Header.SetContentType(outcome.ContentType)
	response.Header.Set(request.RunHeader, string(request.DidRun))
	response.Header.Set(request.IDHeader, j.id)
	response.Header.Set(ReplayedHeader, "true")
	response.SetBody(outcome.Body)
}

// newForwardRequest returns a caller's request for an endpoint, without the
// customer's key and the fields that concern one connection.
func (j *job) newForwardRequest() *fasthttp.Request {
	call := &fasthttp.Request{}
	forwarding := request.Forwarding{
		Withheld: []string{fasthttp.HeaderAuthorization, request.IDHeader, TimeoutHeader, j.rules.CustomerHeader},
	}
	forwarding.CopyHeader(&call.Header, &j.ctx.Request.Header)
	call.SetRequestURI(string(j.ctx.RequestURI()))
	call.Header.SetHost(j.ticket.Endpoint.Address)
	call.Header.Set(request.IDHeader, j.id)
	call.Header.Set(TimeoutHeader, time.Until(j.deadline).Round(time.Millisecond).String())
	if j.rules.CustomerHeader != "" {
		call.Header.Set(j.rules.CustomerHeader, j.customer)
	}
	return call
}

// copyHeader starts the response to the caller with the endpoint's status and
// headers.
func (j *job) copyHeader(response *endpoint.CheckedResponse) {
	callerResponse := &j.ctx.Response
	closing := callerResponse.ConnectionClose()
	response.Head.CopyTo(&callerResponse.Header)
	request.DeleteConnectionFields(&callerResponse.Header)
	if closing {
		callerResponse.SetConnectionClose()
	}
	callerResponse.Header.Set(request.RunHeader, string(request.DidRun))
	callerResponse.Header.Set(request.IDHeader, j.id)
}
