// Package share keeps the service that each customer of a pool has had, and
// says who is furthest behind. It is pure: it takes events, does no I/O and
// reads no clock.
package share

import "math"

// Ledger is the virtual counters of one pool as one router knows them. Service
// counts in weighted tokens, divided by the customer's share. Methods are not
// safe for concurrent use; the pool's lock guards them.
type Ledger struct {
	// Bound is the furthest, in weighted tokens for a share of 1, that the news
	// of a peer that was out of reach may put a customer ahead of the one
	// furthest behind, and the furthest that anyone may fall behind the customer
	// that is served. It keeps a customer that was served elsewhere for hours
	// from being starved here. It is above the gap that slots and late news
	// bring about by themselves.
	MaxLead float64

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
	VirtualTime float64
	// Pending is what local requests that have begun were charged in advance and
	// is not yet part of Virtual; never negative.
	Pending float64
	// Reserved is the estimated cost of local requests that were sent and have
	// not begun; never negative. It orders this router's own requests and is not
	// told to peers: what waits in an engine's queue has had no service.
	Reserved float64
	// Waiting is the number of requests waiting at this router, or in the queue
	// of an endpoint that this router sent them to.
	Waiting int
	// MeanWaiting is a moving mean of Waiting, and is what peers are told: what
	// waits at one moment would be stale news when it arrives.
	MeanWaiting float64
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
	served  float64
	pending float64
	// waiting is the mean number of requests waiting there.
	waiting float64
}

// PeerService is what a peer's incarnation says of one customer.
type PeerService struct {
	// Served is the cumulative service by that incarnation; it never falls.
	Served float64
	// Pending is charged in advance there and not yet settled.
	Pending float64
	// MeanWaiting is the mean number of requests waiting there.
	MeanWaiting float64
}

// Counter returns the customer's account, opened at the floor if it is new.
func (l *Ledger) Counter(customer string) *Counter {
	if counter, ok := l.counters[customer]; ok {
		return counter
	}
	if l.counters == nil {
		l.counters = map[string]*Counter{}
	}
	counter := &Counter{Share: 1, VirtualTime: l.floor, peers: map[uint64]*peerCounter{}}
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
	if !counter.isBacklogged() {
		l.raiseToFloor(counter)
	}
	counter.Waiting++
}

// SetMeanWaiting says how many of the customer's requests wait here on average.
func (l *Ledger) SetMeanWaiting(customer string, mean float64) {
	l.Counter(customer).MeanWaiting = mean
}

// Depart notes that a waiting request has begun at an endpoint or was given up.
func (l *Ledger) Depart(customer string) {
	l.Counter(customer).Waiting--
}

// Reserve notes the estimated cost of a request that is sent to an endpoint.
func (l *Ledger) Reserve(customer string, estimate float64) {
	l.Counter(customer).Reserved += estimate
}

// Charge books a reserved estimate in advance when the request begins. Nobody
// is left further than Bound behind the customer that is served: news of a
// backlog that is wrong, or that no router can work off, earns no more credit.
func (l *Ledger) Charge(customer string, estimate float64) {
	counter := l.Counter(customer)
	key := counter.key()
	if _, any := l.lowestBacklogged(); !any {
		l.floor = math.Max(l.floor, key)
	}
	for _, other := range l.counters {
		other.VirtualTime = math.Max(other.VirtualTime, key-l.MaxLead)
	}
	counter.Reserved = math.Max(0, counter.Reserved-estimate)
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
	counter.VirtualTime += service / counter.Share
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

// Key orders the customers that wait at this router: the lowest is served next.
func (l *Ledger) Key(customer string) float64 {
	counter := l.Counter(customer)
	return counter.key() + counter.Reserved/counter.Share
}

// LeadOfNext is the lead of the request that this router sends next: what it has
// sent before goes before it.
func (l *Ledger) NextLead(customer string) float64 {
	return l.Key(customer) - l.lowest()
}

// Merge applies what a peer's incarnation says after its first word. Only what
// exceeds its earlier word counts, so a repeated or late message is harmless.
func (l *Ledger) Merge(incarnation uint64, customer string, news PeerService) {
	counter := l.Counter(customer)
	known := counter.peer(incarnation)
	wasBacklogged := counter.isBacklogged()
	known.waiting, known.pending = news.MeanWaiting, news.Pending
	if !wasBacklogged && counter.isBacklogged() {
		l.raiseToFloor(counter)
	}
	if increment := news.Served - known.served; increment > 0 {
		known.served = news.Served
		counter.VirtualTime += increment / counter.Share
	}
}

// Adopt applies the first word of a peer after a start or a silence: how far
// ahead the customer stands there, at most Bound, in place of the service that
// was given meanwhile. Two ledgers that adopt from each other agree after it,
// each customer as far ahead as it was in either; adopting twice changes
// nothing. So views do not drift apart over many partitions.
func (l *Ledger) Resync(incarnation uint64, customer string, news PeerService, lead float64) {
	counter := l.Counter(customer)
	known := counter.peer(incarnation)
	known.served = math.Max(known.served, news.Served)
	known.waiting, known.pending = news.MeanWaiting, news.Pending
	lead = math.Min(math.Max(lead, 0), l.MaxLead)
	counter.VirtualTime = math.Max(counter.VirtualTime, l.lowest()+lead)
}

// Forget drops what an incarnation said that is no longer heard. What it served
// stays counted in Virtual; if it comes back, its first word is adopted.
func (l *Ledger) RemovePeer(incarnation uint64) {
	for _, counter := range l.counters {
		delete(counter.peers, incarnation)
	}
}

// Each calls visit for every customer with an account.
func (l *Ledger) Each(visit func(customer string, counter *Counter)) {
	for customer, counter := range l.counters {
		visit(customer, counter)
	}
}

// lift puts a customer that returns from idle level with the lowest active one.
func (l *Ledger) raiseToFloor(counter *Counter) {
	l.lowest()
	counter.VirtualTime = math.Max(counter.VirtualTime, l.floor)
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
		if counter.isBacklogged() {
			lowest = math.Min(lowest, counter.key())
			any = true
		}
	}
	return lowest, any
}

// backlogMean is the mean number of requests waiting in the whole fleet from
// which a customer counts as backlogged. Below it there are moments at which
// nothing of the customer waits.
const minBacklogMean = 1.5

// backlogged tells whether the customer is backlogged: something waits here at
// this moment, or enough in the whole fleet on average.
func (c *Counter) isBacklogged() bool {
	if c.Waiting > 0 {
		return true
	}
	mean := c.MeanWaiting
	for _, peer := range c.peers {
		mean += peer.waiting
	}
	return mean >= minBacklogMean
}

// key is settled service plus what is charged in advance anywhere.
func (c *Counter) key() float64 {
	pending := c.Pending
	for _, peer := range c.peers {
		pending += peer.pending
	}
	return c.VirtualTime + pending/c.Share
}

// peer returns what an incarnation last said, opened empty if it is new.
func (c *Counter) peer(incarnation uint64) *peerCounter {
	known := c.peers[incarnation]
	if known == nil {
		known = &peerCounter{}
		c.peers[incarnation] = known
	}
	return known
}
