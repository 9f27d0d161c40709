package gateway

import (
	"context"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

const (
	// maxSlotTimeout and minSlotTimeout bound how long a request for a slot waits for any response of a
	// dispatcher, and slotTimeoutDivisor divides its latency target for it. With two dispatchers asked
	// one after the other, a target of 150 ms leaves 90 ms for the request itself. The wait for
	// engines is longer, as another dispatcher has to be told all running requests and cached
	// parts; here the box decides alone for one request, which needs neither. The minimum exceeds
	// confirmInterval and the time between two decisions.
	maxSlotTimeout     = 40 * time.Millisecond
	minSlotTimeout     = 25 * time.Millisecond
	slotTimeoutDivisor = 5
	// confirmInterval is the time between two messages that a request still waits: half of the
	// timeout for a target of 150 ms. Under a flood a hundred requests may wait, and each costs the
	// dispatcher a message.
	confirmInterval = 15 * time.Millisecond
)

// slotTimeout returns how long a request for a slot waits for a response.
func slotTimeout(latencyTarget time.Duration) time.Duration {
	return min(max(latencyTarget/slotTimeoutDivisor, minSlotTimeout), maxSlotTimeout)
}

// askForSlot asks another box for a slot of a plain service. While the request is queued there, the
// dispatcher confirms it periodically. errLateResponse means that this box is to decide, and any
// other error that the dispatcher is of no use now, unless the context has ended.
func (s *scheduler) askForSlot(ctx context.Context, req *dispatch.Request, box string) (verdict, error) {
	wait := slotTimeout(req.LatencyTarget)
	connectContext, cancel := context.WithTimeoutCause(ctx, wait, errLateResponse)
	defer cancel()
	r, err := s.connect(connectContext, box)
	if err != nil {
		return verdict{}, err
	}
	p := &pending{remote: r, queued: make(chan struct{}, 1), decided: make(chan verdict, 1), askedAt: time.Now()}
	s.mu.Lock()
	s.pending[req.ID] = p
	sent := r.stream.Send(encodeRequest(req, "", false))
	s.mu.Unlock()
	if !sent {
		s.cancelPending(req.ID, p)
		return verdict{}, errNoResponse
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	due := time.Now().Add(wait)
	for extended := false; ; {
		select {
		case v := <-p.decided:
			return s.recordGrant(req, v, r), nil
		case <-p.queued:
			due = time.Now().Add(wait)
			timer.Reset(wait)
			continue
		case <-r.ended:
			err = errStreamEnded
		case <-timer.C:
			// If this box itself is late, it may not have read the response yet.
			if isLate := time.Since(due) > wait/2; isLate && !extended {
				extended = true
				timer.Reset(wait / 2)
				continue
			}
			err = s.recordSlotTimeout(r, p)
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		s.cancelPending(req.ID, p)
		return verdict{}, err
	}
}

// recordSlotTimeout records that a dispatcher did not respond to a request in time. It returns
// errNoResponse once the dispatcher has decided nothing for minResponseTimeout: boxes with a
// processor quota are often stopped for a shorter time.
func (s *scheduler) recordSlotTimeout(r *remote, p *pending) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.unansweredSince.IsZero() {
		r.unansweredSince = p.askedAt
	}
	if time.Since(r.unansweredSince) >= minResponseTimeout {
		return errNoResponse
	}
	return errLateResponse
}

// confirmQueued notifies the boxes that ask this one which of their requests still wait for a slot.
// The caller holds the lock.
func (s *scheduler) confirmQueued(now time.Time) {
	if !s.plain || now.Sub(s.confirmedAt) < confirmInterval {
		return
	}
	s.confirmedAt = now
	s.pool.EachWaiting(func(req *dispatch.Request) {
		if to := s.streams[req.Stream]; to != nil {
			to.stream.Send(&peerpb.Verdict{ID: req.ID, Queued: true})
		}
	})
}

// ask asks another box for a verdict.
func (s *scheduler) ask(ctx context.Context, req *dispatch.Request, box string) (verdict, error) {
	if s.isPlain() {
		return s.askForSlot(ctx, req, box)
	}
	return s.askRemote(ctx, req, box)
}

// isPlain reports whether the group is of a plain service.
func (s *scheduler) isPlain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plain
}

// estimateSlotTime sets the time for which a request is expected to hold a slot.
func (s *scheduler) estimateSlotTime(req *dispatch.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.EstimateSlotTime(req)
}
