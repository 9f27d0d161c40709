package gateway

import (
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// pending is a request that waits for a verdict.
type pending struct {
	// from is the stream that was asked; nil for this box's own pool.
	remote *remote
	// asked is when another box was asked, and heard is set once it said a word.
	askedAt   time.Time
	responded bool
	// queued is told that the request is in line. Capacity 1.
	queued chan struct{}
	// decided takes the verdict. Capacity 1.
	decided chan verdict
}

// verdict is what was decided about a request.
type verdict struct {
	// endpoint is granted; empty means that the request is turned away.
	endpoint   string
	retryAfter time.Duration
	overShare  bool
	// resting tells that all engines that may serve the request rest or leave.
	noEligibleEngine bool
	waiting          int
	wait, readTime   time.Duration
	missingTokens    int
	// by is the box that decided.
	decidedBy string
}

// settle passes a verdict to the request that waits for it. It reports whether
// one did. The lock is held.
func (s *scheduler) resolvePending(id string, from *remote, v verdict) bool {
	p := s.pending[id]
	if p == nil || p.remote != from {
		return false
	}
	delete(s.pending, id)
	p.decided <- v
	return true
}

// forgetPending gives up waiting. A grant that came meanwhile is given back.
func (s *scheduler) cancelPending(id string, p *pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[id] == p {
		delete(s.pending, id)
	}
	if p.remote == nil {
		if !s.pool.Withdraw(id) {
			s.pool.End(id, dispatch.Unused{}, time.Now())
		}
		return
	}
	select {
	case v := <-p.decided:
		if v.endpoint != "" {
			p.remote.stream.Send(encodeOutcome(id, dispatch.Unused{}))
		}
	default:
		p.remote.stream.Send(encodeWithdraw(id))
	}
}
