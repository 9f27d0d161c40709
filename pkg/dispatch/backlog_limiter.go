package dispatch

import "time"

// Floods bounds what waits at one router, for one pool, of customers beyond their share.
// Of a customer that asks for many times its share, most is refused in the end: what is
// beyond the bound is refused at once, which costs the router far less than asking, and
// tells the caller sooner. It is not safe for concurrent use.
type BacklogLimiter struct {
	customers map[string]*customerBacklog
}

// flood is one customer's.
type customerBacklog struct {
	waiting int
	// overUntil is how long the customer is taken for beyond its share.
	overShareUntil time.Time
}

const (
	// FloodMost is the number of a customer's requests that wait at one router for
	// one pool, once it is beyond its share: about what the pool grants to all
	// customers in the time that a request may wait.
	MaxWaitingOverShare = 32
	// busyMost is the same at an overloaded router, for any customer: less waits
	// there, and what is refused can come back to another one within its aim.
	maxWaitingBusy = 8
	// overMemory is how long a refusal that says so is believed: shares are
	// counted over seconds.
	overShareTTL = 500 * time.Millisecond
	// mostFloods bounds the customers that are remembered without a request.
	maxTrackedCustomers = 1000
)

// Admission is what floods say to a new request.
type Admission int

const (
	// Admitted requests may wait.
	Admitted Admission = iota
	// BeyondShare requests are refused: enough of their customer's wait already.
	RefusedOverShare
	// RouterBusy requests are refused: this router is overloaded, and others are
	// likely not to be.
	RefusedBusy
)

// Enter notes that a request waits, unless it is to be refused. Busy tells that this
// router is overloaded.
func (f *BacklogLimiter) Enter(customer string, busy bool, now time.Time) Admission {
	why := f.Check(customer, busy, now)
	if why != Admitted {
		return why
	}
	one := f.customers[customer]
	if one == nil {
		f.evictIdle(now)
		one = &customerBacklog{}
		f.customers[customer] = one
	}
	one.waiting++
	return Admitted
}

// Judge tells what Enter would, and notes nothing.
func (f *BacklogLimiter) Check(customer string, busy bool, now time.Time) Admission {
	one := f.customers[customer]
	if one == nil {
		return Admitted
	}
	switch over := now.Before(one.overShareUntil); {
	case over && one.waiting >= MaxWaitingOverShare:
		return RefusedOverShare
	case busy && over && one.waiting >= maxWaitingBusy:
		return RefusedOverShare
	case busy && one.waiting >= maxWaitingBusy:
		return RefusedBusy
	}
	return Admitted
}

// Leave notes that a request waits no more, and whether its customer was found beyond
// its share.
func (f *BacklogLimiter) Leave(customer string, over bool, now time.Time) {
	one := f.customers[customer]
	one.waiting--
	if over {
		one.overShareUntil = now.Add(overShareTTL)
	}
}

func (f *BacklogLimiter) evictIdle(now time.Time) {
	if f.customers == nil {
		f.customers = map[string]*customerBacklog{}
	}
	if len(f.customers) < maxTrackedCustomers {
		return
	}
	for name, one := range f.customers {
		if one.waiting == 0 && now.After(one.overShareUntil) {
			delete(f.customers, name)
		}
	}
}
