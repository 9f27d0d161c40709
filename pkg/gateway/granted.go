package gateway

import (
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// running is a granted request of this box.
type grantedRequest struct {
	ask      *dispatch.Request
	endpoint string
	begun    bool
}

// accept notes a grant, also in this box's own pool and at the box that
// dispatches, so that both know what runs.
func (s *scheduler) recordGrant(ask *dispatch.Request, v verdict, from *remote) verdict {
	if v.endpoint == "" {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[ask.ID] = &grantedRequest{ask: ask, endpoint: v.endpoint}
	s.granted.Grant(ask, time.Now())
	s.poolHistories.grant(ask, time.Now())
	if from != nil {
		s.pool.Adopt(ask, v.endpoint, false, time.Now())
	}
	if from != s.remote && s.remote != nil {
		s.remote.stream.Send(encodeAsk(ask, v.endpoint, false))
	}
	return v
}

// begin notes the first event of a granted request.
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
	s.pool.Begin(id, time.Now())
	if s.remote != nil {
		s.remote.stream.Send(encodeBegin(id))
	}
	s.decide()
}

// end settles a granted request.
func (s *scheduler) end(id string, how dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	if !r.begun {
		// The same that the box that dispatches takes back.
		if _, done := how.(dispatch.Done); !done {
			s.granted.Refund(r.ask, time.Now())
			s.poolHistories.refund(r.ask, time.Now())
		}
	}
	s.pool.End(id, how, time.Now())
	if s.remote != nil {
		s.remote.stream.Send(encodeOutcome(id, how))
	}
	s.decide()
}

// noteRest has this box's own pool, and the box that dispatches, grant this box nothing at an
// engine that asked it for rest. What is granted by boxes that do not know it is handed back:
// each costs a round of messages, and the same engine is granted next, as it looks idle.
func (s *scheduler) recordRest(rest lifecycle.Rest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pool.SetBackoff(ownStream, rest, now)
	if s.remote != nil && s.has(rest.Endpoint) {
		s.remote.stream.Send(encodeRest(rest, now))
	}
}
