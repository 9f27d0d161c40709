package gateway

// sentBody is a request's body in an attempt, counted until the endpoint has answered. A nil
// sentBody is not counted.
type sentBody struct {
	memory   *callerMemory
	endpoint string
	bytes    int64
	// bound is the number of bytes that the endpoint may have been sent at once; 0 means none.
	bound   int64
	counted bool
}

// bodyTo returns the body of an attempt at an endpoint.
func (c *call) bodyTo(to destination) *sentBody {
	m := c.gateway.memory
	catalog := c.gateway.registry.Catalog()
	if m == nil || catalog == nil {
		return nil
	}
	return &sentBody{
		memory:   m,
		endpoint: to.ID,
		bytes:    int64(len(c.http.Request.Body())),
		bound:    int64(to.Slots) * int64(catalog.Limits.BodyBytes),
	}
}

// send counts the body and reports whether the endpoint may be sent it.
func (s *sentBody) send() bool {
	if s == nil {
		return true
	}
	s.counted = s.memory.unanswered.Send(s.endpoint, s.bytes, s.bound)
	return s.counted
}

// answered ends the count, if it was begun.
func (s *sentBody) answered() {
	if s != nil && s.counted {
		s.memory.unanswered.Answer(s.endpoint, s.bytes)
	}
}
