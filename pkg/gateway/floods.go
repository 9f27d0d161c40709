package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// floods bounds what waits at this box of customers beyond their share. Of a
// customer that asks for many times its share, most is refused in the end: what
// is beyond the bound is refused at once, which costs the box far less than
// asking, and tells the caller sooner. It is not safe for concurrent use.
type floods struct {
	customers map[string]*flood
}

// flood is one customer's.
type flood struct {
	waiting int
	// overUntil is how long the customer is taken for beyond its share.
	overUntil time.Time
}

const (
	// floodMost is the number of a customer's requests that wait at one box for
	// one group of engines, once it is beyond its share: about what the group
	// grants to all customers in the time that a request may wait.
	floodMost = 32
	// busyMost is the same at an overloaded box, for any customer: less waits there,
	// and what is refused can come back to another box within its aim.
	busyMost = 8
	// overMemory is how long a refusal that says so is believed: shares are
	// counted over seconds.
	overMemory = 500 * time.Millisecond
	// mostFloods bounds the customers that are remembered without a request.
	mostFloods = 1000
)

// admission is what floods say to a new request.
type admission int

const (
	admitted admission = iota
	// beyondShare: enough of its customer's requests wait already.
	beyondShare
	// boxBusy: this box is overloaded, and others are likely not to be.
	boxBusy
)

// enter notes that a request waits, unless it is to be refused. Busy tells that
// this box is overloaded.
func (f *floods) enter(customer string, busy bool, now time.Time) admission {
	one := f.customers[customer]
	if one == nil {
		f.forget(now)
		one = &flood{}
		f.customers[customer] = one
	}
	switch over := now.Before(one.overUntil); {
	case over && one.waiting >= floodMost:
		return beyondShare
	case busy && over && one.waiting >= busyMost:
		return beyondShare
	case busy && one.waiting >= busyMost:
		return boxBusy
	}
	one.waiting++
	return admitted
}

// leave notes that a request waits no more, and whether its customer was found
// beyond its share.
func (f *floods) leave(customer string, over bool, now time.Time) {
	one := f.customers[customer]
	one.waiting--
	if over {
		one.overUntil = now.Add(overMemory)
	}
}

func (f *floods) forget(now time.Time) {
	if f.customers == nil {
		f.customers = map[string]*flood{}
	}
	if len(f.customers) < mostFloods {
		return
	}
	for name, one := range f.customers {
		if one.waiting == 0 && now.After(one.overUntil) {
			delete(f.customers, name)
		}
	}
}

// enter notes that a request of a customer waits, unless it is to be refused.
func (s *scheduler) enter(customer string) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.floods.enter(customer, s.gateway.load.busy(now), now)
}

// leave notes that it waits no more.
func (s *scheduler) leave(customer string, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floods.leave(customer, v.endpoint == "" && v.over, time.Now())
}

// comeBackElsewhere is when a request that an overloaded box refuses had better
// come to another one, spread over as much again.
const comeBackElsewhere = 100 * time.Millisecond

// turnHere refuses a request without asking.
func (s *scheduler) turnHere(why admission, ask *dispatch.Ask) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteTurnedHere(ask.Customer, ask.Cost(), why)
	v := verdict{over: why == beyondShare, waiting: floodMost, by: s.gateway.Settings.Name}
	if v.over {
		// What waits here is decided in that time, and no sooner is there room for more.
		wait := time.Duration(s.pool.Rules.Hold * float64(ask.Aim))
		v.retryAfter = wait + rand.N(wait+1)
		return v
	}
	v.retryAfter = comeBackElsewhere + rand.N(comeBackElsewhere)
	return v
}
