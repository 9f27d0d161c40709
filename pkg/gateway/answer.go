package gateway

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/request"
)

// answer is the response of an endpoint of which enough was received to use it: the first event of a
// stream, or the whole body. Nothing of it has been sent to the caller.
type answer struct {
	to       destination
	response *endpoint.Response
	// stream is nil if the response is no stream of events; body is the whole body then.
	stream *stream
	body   []byte
	// guard is that of the attempt.
	guard *guard
	// began is when the endpoint was sent the request.
	began time.Time
}

var eventStreamType = []byte("text/event-stream")

// fetch sends the request to an endpoint and receives its answer. Its errors go to handleFailure, which
// decides how to continue.
func (c *call) fetch(to destination, lastEvent string) (*answer, error) {
	began := time.Now()
	response, err := c.attempt(to, lastEvent)
	if err != nil {
		return nil, err
	}
	if c.canRetryElsewhere(response) {
		response.Close()
		return nil, errEndpointError
	}
	got := &answer{to: to, response: response, guard: c.guard, began: began}
	if c.isModel() && isEventStream(response) {
		got.stream = c.newStream(to, response, lastEvent)
		err = got.stream.awaitEvent()
	} else {
		got.body, err = c.readWhole(&got.to, response)
	}
	if err != nil {
		return nil, err
	}
	return got, nil
}

// firstOrder returns the order of a response to a request that names the last event. Where streams may not be
// resumed, endpoints may begin anew, whatever the caller names.
func (c *call) firstOrder(lastEvent string) eventOrder {
	if !c.route.Resumable {
		lastEvent = ""
	}
	return orderAfter(lastEvent)
}

func isEventStream(response *endpoint.Response) bool {
	name := response.Head.ContentType()
	name = name[:min(len(name), len(eventStreamType))]
	return response.Head.StatusCode() == fasthttp.StatusOK && bytes.EqualFold(name, eventStreamType)
}

// readWhole reads a response completely before any of it is sent, so that a truncated one can still be
// reported as failed.
func (c *call) readWhole(to *destination, response *endpoint.Response) ([]byte, error) {
	body, err := c.readAnswer(response)
	if err == nil {
		err = c.checkUnframedEnd(to, response, c.route.Repeatable)
	}
	if err == nil && c.route.Streaming && isEventStream(response) {
		order := c.firstOrder(c.LastEvent)
		err = order.checkEvents(body)
	}
	if err == nil && !c.hedger.finish() {
		err = errStalled
	}
	c.recordUnframedEnd(to, response, err)
	response.Close()
	if err != nil {
		c.release(body)
		return nil, &endpoint.NoResponseError{Address: c.route.Name, Err: err}
	}
	return body, nil
}

// drop releases an answer that is not sent to the caller.
func (a *answer) drop(c *call) {
	a.response.Close()
	if a.stream != nil {
		c.release(a.stream.buffer)
		return
	}
	c.release(a.body)
}

// discard drops an answer that is not used, through no fault of its endpoint.
func (a *answer) discard(c *call) {
	a.drop(c)
	a.guard.stop()
	a.to.finish(outcomeUnknown)
}

// serveEndpoints sends the request to endpoints until one has answered. The head of a stream is withheld
// until its first event has arrived: until then nothing has been delivered to the caller, so the request
// can be retried at another endpoint.
func (c *call) serveEndpoints() *request.Refusal {
	for {
		to, refusal := c.acquireEndpoint()
		if refusal != nil {
			return refusal
		}
		got, err := c.fetchBeside(to, c.LastEvent)
		if err == nil {
			c.deliver(got)
			return nil
		}
		if refusal := c.handleFailure(to, err); refusal != nil {
			return refusal
		}
	}
}
