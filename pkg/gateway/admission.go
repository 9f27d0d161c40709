package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// admissionMessages name the bound of this box that refused a request.
var admissionMessages = map[dispatch.Admission]string{
	dispatch.RefusedOverShare: "the customer has its share and enough of its requests wait at this box",
	dispatch.RefusedBusy:      "this box is overloaded and enough of the customer's requests wait here",
	dispatch.RefusedStarting:  "this box has as many requests in progress as it can begin",
}

// decidedBy precedes the name of the box that decided in the message of a refusal.
const decidedBy = ", decided by "

// enterQueue records that a request of a customer waits, unless it has to be refused.
func (s *scheduler) enterQueue(customer string) dispatch.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.backlog.Enter(customer, s.gateway.load.isBusy(now), now)
}

// refuseEarly refuses a request that would not be sent to a dispatcher; ok is false if it may
// wait. A refusal at this point takes a third less of the router's processor time than one
// after the watch on the caller's connection has begun. A router whose processor time is used up
// by refusals of one customer sends no requests to the dispatcher.
func (s *scheduler) refuseEarly(req *dispatch.Request) (v verdict, ok bool) {
	s.mu.Lock()
	now := time.Now()
	admission := s.backlog.Check(req.Customer, s.gateway.load.isBusy(now), now)
	s.mu.Unlock()
	if admission == dispatch.Admitted {
		return v, false
	}
	return s.refuseLocally(admission, req), true
}

// leaveQueue records that a request no longer waits.
func (s *scheduler) leaveQueue(customer string, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog.Leave(customer, v.endpoint == "" && v.overShare, time.Now())
}

// otherBoxRetryDelay is the minimum Retry-After of a request that an overloaded or stopping box
// refuses and that should be retried at another box.
const otherBoxRetryDelay = 100 * time.Millisecond

// retryDelay returns when to retry a request that this box refuses: after the given time at least, and
// spread over as long again, so that requests refused together do not return together. Callers who return
// to an overloaded box before the balancer has noticed come to it again, and refusing them takes the
// processor time of requests that it could serve.
func (g *Gateway) retryDelay(least time.Duration, now time.Time) time.Duration {
	wait := max(least, g.load.untilRebalanced(now))
	return wait + rand.N(wait+1)
}

// refuseLocally refuses a request without asking the dispatcher.
func (s *scheduler) refuseLocally(admission dispatch.Admission, req *dispatch.Request) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocalRefusal(req.Customer, req.Cost(), admission)
	v := verdict{
		overShare: admission == dispatch.RefusedOverShare,
		admission: admission,
		waiting:   dispatch.MaxWaitingOverShare,
		decidedBy: s.gateway.Settings.Name,
	}
	if v.overShare {
		// The requests that wait here are decided within that time. No other one is admitted
		// before.
		wait := time.Duration(s.pool.Rules.MaxWaitFraction * float64(req.LatencyTarget))
		v.retryAfter = s.gateway.retryDelay(wait, time.Now())
		return v
	}
	v.retryAfter = s.gateway.retryDelay(otherBoxRetryDelay, time.Now())
	return v
}
