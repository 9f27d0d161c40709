package dispatch

import "time"

// BacklogLimiter bounds how many requests of customers over their share wait at one router for
// one pool. When a customer requests many times its share, most of its requests are refused in
// the end. Refusing those beyond the bound at once costs the router far less than asking the
// dispatcher, and the caller learns it sooner. It is not safe for concurrent use.
type BacklogLimiter struct {
	customers map[string]*customerBacklog
}

// customerBacklog is the state of one customer.
type customerBacklog struct {
	waiting int
	// overShareUntil is the time until which the customer is assumed to be over its share.
	overShareUntil time.Time
}

const (
	// MaxWaitingOverShare bounds the requests of a customer over its share that wait at one
	// router for one pool. It is about what the pool grants to all customers in the time for
	// which a request may wait.
	MaxWaitingOverShare = 32
	// maxWaitingBusy is the bound at an overloaded router, for any customer. Fewer wait there,
	// and a refused request can be retried at another router within its latency target.
	maxWaitingBusy = 8
	// overShareTTL is how long a customer is assumed to be over its share after a refusal for that
	// reason. Shares are counted over seconds.
	overShareTTL = 500 * time.Millisecond
	// maxTrackedCustomers is the number of customers from which on those without waiting
	// requests are evicted.
	maxTrackedCustomers = 1000
)

// Admission is the decision of a router on whether it takes on a request.
type Admission int

const (
	// Admitted means that the request may wait.
	Admitted Admission = iota
	// RefusedOverShare means that enough requests of the customer, which is over its share, wait
	// already.
	RefusedOverShare
	// RefusedBusy means that this router is overloaded; other routers are likely not to be.
	RefusedBusy
	// RefusedStarting means that this router has as many requests in progress as it can begin: see
	// StartLimiter.
	RefusedStarting
)

// Enter records a waiting request, unless it has to be refused. busy is set if this router is
// overloaded.
func (l *BacklogLimiter) Enter(customer string, busy bool, now time.Time) Admission {
	admission := l.Check(customer, busy, now)
	if admission != Admitted {
		return admission
	}
	backlog := l.customers[customer]
	if backlog == nil {
		l.evictIdle(now)
		backlog = &customerBacklog{}
		l.customers[customer] = backlog
	}
	backlog.waiting++
	return Admitted
}

// Check returns what Enter would return, and records nothing.
func (l *BacklogLimiter) Check(customer string, busy bool, now time.Time) Admission {
	backlog := l.customers[customer]
	if backlog == nil {
		return Admitted
	}
	switch isOver := now.Before(backlog.overShareUntil); {
	case isOver && backlog.waiting >= MaxWaitingOverShare:
		return RefusedOverShare
	case busy && isOver && backlog.waiting >= maxWaitingBusy:
		return RefusedOverShare
	case busy && backlog.waiting >= maxWaitingBusy:
		return RefusedBusy
	}
	return Admitted
}

// Leave records that a request no longer waits, and whether its customer was found to be over
// its share.
func (l *BacklogLimiter) Leave(customer string, isOver bool, now time.Time) {
	backlog := l.customers[customer]
	backlog.waiting--
	if isOver {
		backlog.overShareUntil = now.Add(overShareTTL)
	}
}

func (l *BacklogLimiter) evictIdle(now time.Time) {
	if l.customers == nil {
		l.customers = map[string]*customerBacklog{}
	}
	if len(l.customers) < maxTrackedCustomers {
		return
	}
	for name, backlog := range l.customers {
		if backlog.waiting == 0 && now.After(backlog.overShareUntil) {
			delete(l.customers, name)
		}
	}
}
