package dispatch

import "time"

// Floods bounds what waits at one router, for one pool, of customers beyond their share.
// Of a customer that asks for many times its share, most is refused in the end: what is
// beyond the bound is refused at once, which costs the router far less than asking, and
// tells the caller sooner. It is not safe for concurrent use.
type Floods struct {
	customers map[string]*flood
}

// flood is one customer's.
type flood struct {
	waiting int
	// overUntil is how long the customer is taken for beyond its share.
	overUntil time.Time
}

const (
	// FloodMost is the number of a customer's requests that wait at one router for
	// one pool, once it is beyond its share: about what the pool grants to all
	// customers in the time that a request may wait.
	FloodMost = 32
	// busyMost is the same at an overloaded router, for any customer: less waits
	// there, and what is refused can come back to another one within its aim.
	busyMost = 8
	// overMemory is how long a refusal that says so is believed: shares are
	// counted over seconds.
	overMemory = 500 * time.Millisecond
	// mostFloods bounds the customers that are remembered without a request.
	mostFloods = 1000
)

// Admission is what floods say to a new request.
type Admission int

const (
	// Admitted requests may wait.
	Admitted Admission = iota
	// BeyondShare requests are refused: enough of their customer's wait already.
	BeyondShare
	// RouterBusy requests are refused: this router is overloaded, and others are
	// likely not to be.
	RouterBusy
)

// Enter notes that a request waits, unless it is to be refused. Busy tells that this
// router is overloaded.
func (f *Floods) Enter(customer string, busy bool, now time.Time) Admission {
	why := f.Judge(customer, busy, now)
	if why != Admitted {
		return why
	}
	one := f.customers[customer]
	if one == nil {
		f.forget(now)
		one = &flood{}
		f.customers[customer] = one
	}
	one.waiting++
	return Admitted
}

// Judge tells what Enter would, and notes nothing.
func (f *Floods) Judge(customer string, busy bool, now time.Time) Admission {
	one := f.customers[customer]
	if one == nil {
		return Admitted
	}
	switch over := now.Before(one.overUntil); {
	case over && one.waiting >= FloodMost:
		return BeyondShare
	case busy && over && one.waiting >= busyMost:
		return BeyondShare
	case busy && one.waiting >= busyMost:
		return RouterBusy
	}
	return Admitted
}

// Leave notes that a request waits no more, and whether its customer was found beyond
// its share.
func (f *Floods) Leave(customer string, over bool, now time.Time) {
	one := f.customers[customer]
	one.waiting--
	if over {
		one.overUntil = now.Add(overMemory)
	}
}

func (f *Floods) forget(now time.Time) {
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
