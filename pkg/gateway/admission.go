package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// enter notes that a request of a customer waits, unless it is to be refused.
func (s *scheduler) enterQueue(customer string) dispatch.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.floods.Enter(customer, s.gateway.load.isBusy(now), now)
}

// refusesUnasked refuses a request that would not be asked for; ok is false where it may
// wait. It costs a third less of the router's own work than refusing it after its caller's
// connection is watched (profile of refusals at one router on loopback), and a router
// whose processor time is used up by refusals of one customer asks for nothing.
func (s *scheduler) refuseEarly(ask *dispatch.Request) (v verdict, ok bool) {
	s.mu.Lock()
	now := time.Now()
	why := s.floods.Check(ask.Customer, s.gateway.load.isBusy(now), now)
	s.mu.Unlock()
	if why == dispatch.Admitted {
		return v, false
	}
	return s.refuseLocally(why, ask), true
}

// leave notes that it waits no more.
func (s *scheduler) leaveQueue(customer string, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floods.Leave(customer, v.endpoint == "" && v.overShare, time.Now())
}

// comeBackElsewhere is when a request that an overloaded box refuses had better
// come to another one, spread over as much again.
const otherBoxRetryDelay = 100 * time.Millisecond

// turnHere refuses a request without asking.
func (s *scheduler) refuseLocally(why dispatch.Admission, ask *dispatch.Request) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocalRefusal(ask.Customer, ask.Cost(), why)
	v := verdict{overShare: why == dispatch.RefusedOverShare, waiting: dispatch.MaxWaitingOverShare, decidedBy: s.gateway.Settings.Name}
	if v.overShare {
		// What waits here is decided in that time, and no sooner is there room for more.
		wait := time.Duration(s.pool.Rules.MaxWaitFraction * float64(ask.LatencyTarget))
		v.retryAfter = wait + rand.N(wait+1)
		return v
	}
	v.retryAfter = otherBoxRetryDelay + rand.N(otherBoxRetryDelay)
	return v
}
