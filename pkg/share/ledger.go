// Package share accounts for the service that each customer of a pool has received and finds
// the customer that is furthest behind. It is driven by events alone: it does no I/O and reads
// no clock.
package share

import "math"

// Ledger holds the virtual times of the customers of one pool as one router knows them. Service
// is counted in weighted tokens, divided by the customer's share. Methods are not safe for
// concurrent use; the pool's lock guards them.
type Ledger struct {
	// MaxLead is the furthest, in weighted tokens for a share of 1, that the report of a peer
	// that was unreachable may put a customer ahead of the one furthest behind, and the
	// furthest that any customer may fall behind the one that is served. It keeps a customer
	// that was served elsewhere for hours from being starved here. It is above the gap that
	// slots and late reports cause by themselves.
	MaxLead float64

	counters map[string]*Counter
	// floor is the virtual time at which a customer that returns from idle starts: the highest
	// value that the lowest virtual time of a backlogged customer has had or, while no customer
	// is backlogged, that of the customer of a started request. It never falls: idle customers
	// earn no credit.
	floor float64
}

// Counter is one customer's account in one pool.
type Counter struct {
	// Share is the customer's weight, above 0.
	Share float64
	// VirtualTime is the known settled service divided by Share, raised on return from idle. It
	// never falls.
	VirtualTime float64
	// Pending is what was charged in advance for local requests that have begun and is not yet
	// part of VirtualTime; never negative.
	Pending float64
	// Reserved is the estimated cost of local requests that were sent and have not begun; never
	// negative. It orders this router's own requests and is not sent to peers: what waits in an
	// engine's queue has received no service.
	Reserved float64
	// Waiting is the number of requests waiting at this router, or in the queue of an endpoint
	// that this router sent them to.
	Waiting int
	// MeanWaiting is a moving mean of Waiting, and is what peers receive: a momentary count
	// would be outdated when it arrives.
	MeanWaiting float64
	// Served is the service given by this router since it started, not divided by Share. It
	// never falls, and is what peers receive.
	Served float64

	// credit is what estimates charged above the true cost. Later service uses it up, so that
	// Served and VirtualTime need never fall. Never negative.
	credit float64
	peers  map[uint64]*peerCounter
}

// peerCounter is what one incarnation of a peer last reported of the customer.
type peerCounter struct {
	served  float64
	pending float64
	// waiting is the mean number of requests waiting there.
	waiting float64
}

// PeerService is what one incarnation of a peer reports of one customer.
type PeerService struct {
	// Served is the total service given by that incarnation; it never falls.
	Served float64
	// Pending is what is charged in advance there and not yet settled.
	Pending float64
	// MeanWaiting is the mean number of requests waiting there.
	MeanWaiting float64
}

// Counter returns the customer's account. A new one starts at the floor.
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

// SetShare sets the customer's weight for service from now on.
func (l *Ledger) SetShare(customer string, share float64) {
	l.Counter(customer).Share = share
}

// Arrive records a request that waits at this router. A customer that was not backlogged is
// raised to the floor.
func (l *Ledger) Arrive(customer string) {
	counter := l.Counter(customer)
	if !counter.isBacklogged() {
		l.raiseToFloor(counter)
	}
	counter.Waiting++
}

// SetMeanWaiting sets how many of the customer's requests wait here on average.
func (l *Ledger) SetMeanWaiting(customer string, mean float64) {
	l.Counter(customer).MeanWaiting = mean
}

// Depart records that a waiting request has begun at an endpoint or was given up.
func (l *Ledger) Depart(customer string) {
	l.Counter(customer).Waiting--
}

// Reserve records the estimated cost of a request that is sent to an endpoint.
func (l *Ledger) Reserve(customer string, estimate float64) {
	l.Counter(customer).Reserved += estimate
}

// Charge turns a reserved estimate into an advance charge when the request begins. No customer
// is left further than MaxLead behind the one that is served: reports of a backlog that are
// wrong, or a backlog that no router can work off, earn no more credit.
func (l *Ledger) Charge(customer string, estimate float64) {
	counter := l.Counter(customer)
	key := counter.key()
	if _, found := l.lowestBacklogged(); !found {
		l.floor = math.Max(l.floor, key)
	}
	for _, other := range l.counters {
		other.VirtualTime = math.Max(other.VirtualTime, key-l.MaxLead)
	}
	counter.Reserved = math.Max(0, counter.Reserved-estimate)
	counter.Pending += estimate
}

// Serve records service that was given, of which precharged was charged in advance. Negative
// service corrects what was charged too high; later service makes up for it.
func (l *Ledger) Serve(customer string, service, precharged float64) {
	counter := l.Counter(customer)
	counter.Pending = math.Max(0, counter.Pending-precharged)
	service -= counter.credit
	counter.credit = math.Max(0, -service)
	service = math.Max(0, service)
	counter.Served += service
	counter.VirtualTime += service / counter.Share
}

// Release reverses an advance charge that was never used.
func (l *Ledger) Release(customer string, estimate float64) {
	counter := l.Counter(customer)
	counter.Pending = math.Max(0, counter.Pending-estimate)
}

// Lead returns how far the customer is ahead of the backlogged customer that is furthest
// behind. It is never negative for a backlogged customer.
func (l *Ledger) Lead(customer string) float64 {
	return l.Counter(customer).key() - l.lowest()
}

// Key returns the sort key of a customer that waits at this router: the customer with the
// lowest key is served next.
func (l *Ledger) Key(customer string) float64 {
	counter := l.Counter(customer)
	return counter.key() + counter.Reserved/counter.Share
}

// NextLead returns the lead of the request that this router sends next, behind those that it
// has already sent.
func (l *Ledger) NextLead(customer string) float64 {
	return l.Key(customer) - l.lowest()
}

// Merge applies a later report of a peer's incarnation. Only what exceeds its earlier reports
// counts, so that repeated or late messages do no harm.
func (l *Ledger) Merge(incarnation uint64, customer string, report PeerService) {
	counter := l.Counter(customer)
	account := counter.peer(incarnation)
	wasBacklogged := counter.isBacklogged()
	account.waiting, account.pending = report.MeanWaiting, report.Pending
	if !wasBacklogged && counter.isBacklogged() {
		l.raiseToFloor(counter)
	}
	if increment := report.Served - account.served; increment > 0 {
		account.served = report.Served
		counter.VirtualTime += increment / counter.Share
	}
}

// Resync applies the first report of a peer after a start or a loss of contact: how far ahead
// the customer is there, at most MaxLead, in place of the service that was given meanwhile. Two
// ledgers that resync from each other then agree, each customer as far ahead as it was in
// either of them; doing it twice changes nothing. So views do not drift apart over many network
// partitions.
func (l *Ledger) Resync(incarnation uint64, customer string, report PeerService, lead float64) {
	counter := l.Counter(customer)
	account := counter.peer(incarnation)
	account.served = math.Max(account.served, report.Served)
	account.waiting, account.pending = report.MeanWaiting, report.Pending
	lead = math.Min(math.Max(lead, 0), l.MaxLead)
	counter.VirtualTime = math.Max(counter.VirtualTime, l.lowest()+lead)
}

// RemovePeer removes the reports of an incarnation that is lost. What it served stays counted
// in VirtualTime; if it comes back, its first report is applied by Resync.
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

// raiseToFloor raises a customer that returns from idle to the lowest backlogged one.
func (l *Ledger) raiseToFloor(counter *Counter) {
	l.lowest()
	counter.VirtualTime = math.Max(counter.VirtualTime, l.floor)
}

// lowest returns the lowest key of a backlogged customer and raises the floor to it. If no
// customer is backlogged, it returns the floor.
func (l *Ledger) lowest() float64 {
	lowest, found := l.lowestBacklogged()
	if !found {
		return l.floor
	}
	l.floor = math.Max(l.floor, lowest)
	return lowest
}

func (l *Ledger) lowestBacklogged() (lowest float64, found bool) {
	lowest = math.Inf(1)
	for _, counter := range l.counters {
		if counter.isBacklogged() {
			lowest = math.Min(lowest, counter.key())
			found = true
		}
	}
	return lowest, found
}

// minBacklogMean is the mean number of requests waiting in the whole fleet from which on a
// customer counts as backlogged. Below it there are moments at which no request of the customer
// waits.
const minBacklogMean = 1.5

// isBacklogged reports whether a request waits here at this moment, or enough requests wait in
// the whole fleet on average.
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

// key returns the virtual time including what is charged in advance at any router.
func (c *Counter) key() float64 {
	pending := c.Pending
	for _, peer := range c.peers {
		pending += peer.pending
	}
	return c.VirtualTime + pending/c.Share
}

// peer returns the last report of an incarnation, empty if it is new.
func (c *Counter) peer(incarnation uint64) *peerCounter {
	known := c.peers[incarnation]
	if known == nil {
		known = &peerCounter{}
		c.peers[incarnation] = known
	}
	return known
}
