// Package share keeps the service that each customer of a pool has had, and
// says who is furthest behind. It is pure: it takes events, does no I/O and
// reads no clock.
package share

import "math"

// Ledger is the virtual counters of one pool as one router knows them. Service
// counts in weighted tokens, divided by the customer's share. Methods are not
// safe for concurrent use; the pool's lock guards them.
type Ledger struct {
	// Bound is the furthest, in weighted tokens for a share of 1, that news
	// from peers may put a customer ahead of the one furthest behind. It keeps
	// a customer that was served elsewhere for hours from being starved here.
	Bound float64

	counters map[string]*Counter
	// floor is where a customer that returns from idle begins: the highest value
	// that the lowest backlogged counter has had, or, while nobody is backlogged,
	// that a started request's customer has had. It never falls, so idleness
	// earns no credit.
	floor float64
}

// Counter is one customer's account in one pool.
type Counter struct {
	// Share is above 0.
	Share float64
	// Virtual is the settled service known of, divided by Share, and lifted on
	// return from idle. It never falls.
	Virtual float64
	// Pending is what local requests in flight were charged in advance and is
	// not yet part of Virtual; never negative.
	Pending float64
	// Waiting is the number of requests waiting at this router.
	Waiting int
	// Backlogged tells that requests have waited here for long. A customer whose
	// requests start as soon as a slot is free is not backlogged, although one
	// may be waiting at any moment.
	Backlogged bool
	// Served is the service given by this router since it started, not divided
	// by Share. It never falls, and is what peers are told.
	Served float64

	// credit is what estimates charged above the true cost; the next service
	// uses it up, so that Served and Virtual need never fall. Not negative.
	credit float64
	peers  map[uint64]*peerCounter
}

// peerCounter is what one incarnation of a peer last said of the customer.
type peerCounter struct {
	served     float64
	pending    float64
	backlogged bool
}

// PeerService is what a peer's incarnation says of one customer.
type PeerService struct {
	// Served is the cumulative service by that incarnation; it never falls.
	Served float64
	// Pending is charged in advance there and not yet settled.
	Pending float64
	// Backlogged tells that requests have waited there for long.
	Backlogged bool
}

// Counter returns the customer's account, opened at the floor if it is new.
func (l *Ledger) Counter(customer string) *Counter {
	if counter, ok := l.counters[customer]; ok {
		return counter
	}
	if l.counters == nil {
		l.counters = map[string]*Counter{}
	}
	counter := &Counter{Share: 1, Virtual: l.floor, peers: map[uint64]*peerCounter{}}
	l.counters[customer] = counter
	return counter
}

// SetShare changes the weight of what is served from now on.
func (l *Ledger) SetShare(customer string, share float64) {
	l.Counter(customer).Share = share
}

// Arrive notes a request that waits here. A customer with nothing else waiting
// begins level with the others.
func (l *Ledger) Arrive(customer string) {
	counter := l.Counter(customer)
	if counter.Waiting == 0 && !counter.backlogged() {
		l.lift(counter)
	}
	counter.Waiting++
}

// SetBacklogged says whether the customer's requests have waited here for long.
func (l *Ledger) SetBacklogged(customer string, backlogged bool) {
	l.Counter(customer).Backlogged = backlogged
}

// Depart notes that a waiting request started or was given up.
func (l *Ledger) Depart(customer string) {
	l.Counter(customer).Waiting--
}

// Charge books an estimate in advance when a request starts.
func (l *Ledger) Charge(customer string, estimate float64) {
	counter := l.Counter(customer)
	if _, any := l.lowestBacklogged(); !any {
		l.floor = math.Max(l.floor, counter.key())
	}
	counter.Pending += estimate
}

// Serve books service that was given, of which covered was charged in advance.
// Negative service corrects what was booked too high; later service makes up
// for it.
func (l *Ledger) Serve(customer string, service, covered float64) {
	counter := l.Counter(customer)
	counter.Pending = math.Max(0, counter.Pending-covered)
	service -= counter.credit
	counter.credit = math.Max(0, -service)
	service = math.Max(0, service)
	counter.Served += service
	counter.Virtual += service / counter.Share
}

// Release takes back what was charged in advance and was never used.
func (l *Ledger) Release(customer string, estimate float64) {
	counter := l.Counter(customer)
	counter.Pending = math.Max(0, counter.Pending-estimate)
}

// Lead is how far the customer stands ahead of the backlogged customer that is
// furthest behind; 0 or more for a backlogged customer.
func (l *Ledger) Lead(customer string) float64 {
	return l.Counter(customer).key() - l.lowest()
}

// Key orders customers: the lowest is served next.
func (l *Ledger) Key(customer string) float64 {
	return l.Counter(customer).key()
}

// Merge applies what a peer's incarnation says. Only what exceeds its earlier
// word counts, so a repeated or late message is harmless. The customer is put
// at most Bound ahead of the one furthest behind.
func (l *Ledger) Merge(incarnation uint64, customer string, news PeerService) {
	counter := l.Counter(customer)
	known := counter.peers[incarnation]
	if known == nil {
		known = &peerCounter{}
		counter.peers[incarnation] = known
	}
	if news.Backlogged && !counter.backlogged() {
		l.lift(counter)
	}
	increment := news.Served - known.served
	if increment > 0 {
		known.served = news.Served
		l.advance(counter, increment/counter.Share)
	}
	known.pending = news.Pending
	known.backlogged = news.Backlogged
}

// Adopt takes over how far ahead customers stand elsewhere. A router that
// starts empty calls it with the first word of a peer, in place of counting
// that peer's whole history as new service.
func (l *Ledger) Adopt(incarnation uint64, customer string, news PeerService, lead float64) {
	counter := l.Counter(customer)
	counter.peers[incarnation] = &peerCounter{
		served:     news.Served,
		pending:    news.Pending,
		backlogged: news.Backlogged,
	}
	lead = math.Min(math.Max(lead, 0), l.Bound)
	counter.Virtual = math.Max(counter.Virtual, l.floor+lead)
}

// Forget drops the gauges of an incarnation that is no longer alive. What it
// served stays counted, and so does its total: it may come back.
func (l *Ledger) Forget(incarnation uint64) {
	for _, counter := range l.counters {
		if known := counter.peers[incarnation]; known != nil {
			known.pending = 0
			known.backlogged = false
		}
	}
}

// Each calls visit for every customer with an account.
func (l *Ledger) Each(visit func(customer string, counter *Counter)) {
	for customer, counter := range l.counters {
		visit(customer, counter)
	}
}

// lift puts a customer that returns from idle level with the lowest active one.
func (l *Ledger) lift(counter *Counter) {
	l.lowest()
	counter.Virtual = math.Max(counter.Virtual, l.floor)
}

// stepPart is the part of Bound that news may always move a counter by, so that
// ordinary service counts in full however far ahead the customer already is.
const stepPart = 0.125

// advance moves a counter by news from a peer. News of a long time apart is
// clipped to Bound over the lowest backlogged counter.
func (l *Ledger) advance(counter *Counter, step float64) {
	limit := math.Max(l.lowest()+l.Bound, counter.Virtual+stepPart*l.Bound)
	counter.Virtual = math.Min(counter.Virtual+step, limit)
}

// lowest returns the lowest counter of a backlogged customer and raises the
// floor to it; without any it returns the floor.
func (l *Ledger) lowest() float64 {
	lowest, any := l.lowestBacklogged()
	if !any {
		return l.floor
	}
	l.floor = math.Max(l.floor, lowest)
	return lowest
}

func (l *Ledger) lowestBacklogged() (lowest float64, any bool) {
	lowest = math.Inf(1)
	for _, counter := range l.counters {
		if counter.backlogged() {
			lowest = math.Min(lowest, counter.key())
			any = true
		}
	}
	return lowest, any
}

// backlogged tells whether the customer is backlogged anywhere in the fleet.
func (c *Counter) backlogged() bool {
	if c.Backlogged {
		return true
	}
	for _, peer := range c.peers {
		if peer.backlogged {
			return true
		}
	}
	return false
}

// key is settled service plus what is charged in advance anywhere.
func (c *Counter) key() float64 {
	pending := c.Pending
	for _, peer := range c.peers {
		pending += peer.pending
	}
	return c.Virtual + pending/c.Share
}

// Knows tells whether an incarnation has spoken of the customer before.
func (l *Ledger) Knows(incarnation uint64, customer string) bool {
	counter := l.counters[customer]
	return counter != nil && counter.peers[incarnation] != nil
}
