package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/request"
)

// incomingBody is a request whose headers were received and whose body may still be read. The HTTP
// server reads a body completely before it calls the handler.
type incomingBody struct {
	customer string
	// reserved is the size of the body and requestBytes, as announced or at most.
	reserved int64
	// refused is set if the customer had no room; nothing is reserved then.
	refused bool
	// info is set only for refused requests, whose headers may be gone when they are refused.
	info RequestInfo
	// expiresAt is after the read timeout. A caller that disconnects before its body was read
	// leaves an entry for which no hook is called.
	expiresAt time.Time
}

// memoryRetryDelay is the minimum Retry-After of a request whose customer keeps too much of this
// box's memory; a random time of up to the same length is added. Most answers are read within it.
const memoryRetryDelay = 500 * time.Millisecond

// refusedBodyBytes makes the server refuse to read a body; 0 would mean the default.
const refusedBodyBytes = 1

// receiveHeader reserves memory for a request's body before it is read.
func (m *callerMemory) receiveHeader(header *fasthttp.RequestHeader) (config fasthttp.RequestConfig) {
	body := &incomingBody{
		customer:  m.customerOf(header),
		reserved:  requestBytes + m.maxBody(header),
		expiresAt: time.Now().Add(2 * readTimeout),
	}
	if !m.budget.Reserve(body.customer, body.reserved) {
		body.refused, body.reserved = true, 0
		// The ID is parsed even if other headers are invalid.
		body.info, _ = m.gateway.Translator.ParseRequest(header)
		config.MaxRequestBodySize = refusedBodyBytes
	}
	if stale := m.setBody(header, body); stale != nil {
		m.budget.Release(stale.customer, stale.reserved)
	}
	return config
}

// customerOf returns the customer of a request; requests whose customer is not known share one
// account.
func (m *callerMemory) customerOf(header *fasthttp.RequestHeader) string {
	catalog := m.gateway.registry.Catalog()
	if catalog == nil {
		return ""
	}
	if customer := catalog.CustomerOf(m.gateway.Translator.ParseKey(header)); customer != nil {
		return customer.Name
	}
	return ""
}

// maxBody returns the announced size of a request's body, or a bound if none is announced.
func (m *callerMemory) maxBody(header *fasthttp.RequestHeader) int64 {
	const chunked = -1
	if length := header.ContentLength(); length != chunked {
		return int64(min(max(0, length), maxBodyBytes))
	}
	if catalog := m.gateway.registry.Catalog(); catalog != nil && catalog.Limits.BodyBytes > 0 {
		return int64(catalog.Limits.BodyBytes)
	}
	return maxBodyBytes
}

// setBody records a request and returns an earlier one with the same headers object, whose caller
// disconnected; nil if there is none.
func (m *callerMemory) setBody(header *fasthttp.RequestHeader, body *incomingBody) (stale *incomingBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stale = m.bodies[header]
	m.bodies[header] = body
	return stale
}

// takeBody removes and returns the entry of a request; nil if there is none.
func (m *callerMemory) takeBody(header *fasthttp.RequestHeader) *incomingBody {
	m.mu.Lock()
	defer m.mu.Unlock()
	body := m.bodies[header]
	delete(m.bodies, header)
	return body
}

// dropExpiredBodies releases what is reserved for bodies that were never read to their end.
func (m *callerMemory) dropExpiredBodies(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for header, body := range m.bodies {
		if now.After(body.expiresAt) {
			delete(m.bodies, header)
			m.budget.Release(body.customer, body.reserved)
		}
	}
}

// claimMemory makes the memory that was reserved for the request's body that of its connection,
// where it is released once the answer was written. It returns the refusal of a request whose
// customer has no room.
func (c *call) claimMemory() *request.Refusal {
	m, conn := c.gateway.memory, connOf(c.http)
	if m == nil || conn == nil {
		return nil
	}
	body := m.takeBody(&c.http.Request.Header)
	if body == nil {
		return nil
	}
	if body.refused {
		return c.memoryRefusal(body)
	}
	// A body of unknown size had its bound reserved.
	actual := requestBytes + int64(len(c.http.Request.Body()))
	m.budget.Add(body.customer, actual-body.reserved)
	conn.begin(body.customer, actual)
	return nil
}

// memoryRefusal refuses a request whose customer keeps its share of this box's memory.
func (c *call) memoryRefusal(body *incomingBody) *request.Refusal {
	c.RequestInfo, c.customer = body.info, body.customer
	c.gateway.Metrics.RefusedForMemory(body.customer)
	return notRun(request.Overloaded, "the customer keeps its share of this box's memory", memoryRetryDelay+rand.N(memoryRetryDelay))
}

// refuseUnread answers a request whose body was not read. It reports whether it was refused because
// of its customer's memory; other requests are malformed, and what was reserved is released.
func (g *Gateway) refuseUnread(http *fasthttp.RequestCtx) bool {
	conn := connOf(http)
	if g.memory == nil || conn == nil {
		return false
	}
	body := g.memory.takeBody(&http.Request.Header)
	if body == nil {
		return false
	}
	if !body.refused {
		g.memory.budget.Release(body.customer, body.reserved)
		return false
	}
	c := &call{requestFacts: requestFacts{gateway: g, http: http, arrived: time.Now()}}
	c.refuse(c.memoryRefusal(body))
	conn.draining.Store(true)
	return true
}
