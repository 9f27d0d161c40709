package gateway

import (
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// pending is a request that waits for a verdict.
type pending struct {
	// remote is the stream on which the dispatcher was asked; nil for the pool of this box.
	remote *remote
	// askedAt is when another box was asked; responded is set by its first response, which
	// reports either a verdict or that the request is queued.
	askedAt   time.Time
	responded bool
	// queued signals that the request is in the queue of the dispatcher. Capacity 1.
	queued chan struct{}
	// decided receives the verdict. Capacity 1.
	decided chan verdict
}

// verdict is the decision on a request: a grant or a refusal.
type verdict struct {
	// endpoint is the granted engine; empty if the request is refused.
	endpoint   string
	retryAfter time.Duration
	overShare  bool
	// admission is the bound of this box that refused the request; dispatch.Admitted if a pool
	// decided.
	admission dispatch.Admission
	// noEligibleEngine is set if all engines that may serve the request rest or leave.
	noEligibleEngine bool
	// waiting is the number of requests in the queue when this one was refused.
	waiting int
	// wait is the predicted time until the engine begins to read the prompt, and readTime the
	// predicted time for reading it.
	wait, readTime time.Duration
	// missingTokens are the tokens of shared prompt parts that the engine does not have cached.
	missingTokens int
	// fetchFrom is the engine from which the granted one can copy cached parts; empty means none.
	fetchFrom string
	// rate is the measured rate of the granted engine in tokens per second; 0 means unknown.
	rate float64
	// decidedBy is the name of the box that decided.
	decidedBy string
}

// resolvePending delivers a verdict to the request that waits for it. It reports whether there
// was one. The caller holds the lock.
func (s *scheduler) resolvePending(id string, from *remote, v verdict) bool {
	p := s.pending[id]
	if p == nil || p.remote != from {
		return false
	}
	delete(s.pending, id)
	p.decided <- v
	return true
}

// cancelPending stops waiting for a verdict. A grant that has arrived meanwhile is returned.
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
