package gateway

import (
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// grantedRequest is a request of this box that was granted an endpoint.
type grantedRequest struct {
	req      *dispatch.Request
	endpoint string
	begun    bool
}

// recordGrant records a grant. This box's own pool and the dispatcher record it as well, unless
// they made it: both count what runs at the engines.
func (s *scheduler) recordGrant(req *dispatch.Request, v verdict, from *remote) verdict {
	if v.endpoint == "" {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[req.ID] = &grantedRequest{req: req, endpoint: v.endpoint}
	s.granted.Grant(req, time.Now())
	s.poolHistories.recordGrant(req, time.Now())
	if from != nil {
		s.pool.Adopt(req, v.endpoint, false, time.Now())
		s.pool.RecordRate(v.endpoint, v.rate)
	}
	if from != s.remote && s.remote != nil {
		s.remote.stream.Send(encodeRequest(req, v.endpoint, false))
	}
	return v
}

// grantKnown grants a request an engine that it was sent to before, without asking the dispatcher.
func (s *scheduler) grantKnown(req *dispatch.Request, engine string) verdict {
	req.Stream = ownStream
	v := verdict{endpoint: engine, decidedBy: s.gateway.Settings.Name}
	s.mu.Lock()
	s.recordRequest(req, time.Now())
	s.pool.Adopt(req, engine, false, time.Now())
	s.mu.Unlock()
	return s.recordGrant(req, v, nil)
}

// begin records the first event of a granted request.
func (s *scheduler) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.running[id]
	if r == nil || r.begun {
		return
	}
	r.begun = true
	if s.remote != nil {
		s.remote.absentGrants = absentGrants{}
	}
	if s.remote == nil {
		s.pool.TakeOver(id)
	}
	s.pool.Begin(id, time.Now())
	if s.remote != nil {
		s.remote.stream.Send(encodeBegin(id))
	}
	s.decide()
}

// end records the outcome of a granted request.
func (s *scheduler) end(id string, result dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	if !r.begun {
		// The dispatcher refunds the same.
		if _, done := result.(dispatch.Done); !done {
			s.granted.Refund(r.req, time.Now())
			s.poolHistories.recordRefund(r.req, time.Now())
		}
	}
	s.pool.End(id, result, time.Now())
	if s.remote != nil {
		s.remote.stream.Send(encodeOutcome(id, result))
	}
	s.decide()
}

// recordRest makes this box's own pool, and the dispatcher, grant this box nothing at an engine
// that asked it for rest. Without it the dispatcher's grants of that engine would have to be
// handed back: each costs a round trip, and the next request is granted the same engine, which
// seems idle.
func (s *scheduler) recordRest(rest lifecycle.Rest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pool.SetRest(ownStream, rest, now)
	if s.remote != nil && s.hasEngine(rest.Endpoint) {
		s.remote.stream.Send(encodeRest(rest, now))
	}
}
