package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// window sums amounts over a sliding time window, in buckets.
type window struct {
	buckets [windowBuckets]float64
	// last is the number of the newest bucket.
	last int64
	sum  float64
	// recent is the sum of the newest recentBuckets.
	recent float64
}

const (
	// windowBuckets is the number of buckets in a window. More would resolve time more finely than
	// requests arrive.
	windowBuckets = 16
	// recentBuckets is the number of the newest buckets by which customers are compared with each
	// other. Who was granted more than others waits until they have as much, or until that is no
	// longer counted. Over the whole window, customers were served in bursts of its length: over six
	// seconds, 7 of 200 random fleets gave a customer less than half of another one.
	recentBuckets = windowBuckets / 2
)

func (w *window) advance(now time.Time, length time.Duration) {
	number := now.UnixNano() / int64(length/windowBuckets)
	if number-w.last >= windowBuckets {
		*w = window{last: number}
		return
	}
	for w.last < number {
		w.last++
		at := &w.buckets[w.last%windowBuckets]
		w.sum -= *at
		*at = 0
		w.recent -= w.buckets[(w.last+windowBuckets-recentBuckets)%windowBuckets]
	}
}

func (w *window) add(amount float64, now time.Time, length time.Duration) {
	w.advance(now, length)
	w.buckets[w.last%windowBuckets] += amount
	w.sum += amount
	w.recent += amount
}

// recentTotal returns the sum of a whole window, extrapolated from the recent buckets.
func (w *window) recentTotal() float64 { return w.recent * windowBuckets / recentBuckets }

// account tracks what one customer recently requested and was granted, and its waiting requests.
type account struct {
	name string
	usage
	// queues are by route.
	queues map[string]*routeQueue
	// waiting is the number of requests in all queues.
	waiting int
	// waitingCost is the sum of their costs.
	waitingCost float64
	// otherGroups is what the customer requested and was granted in other groups of engines.
	otherGroups otherGroupTotals
}

// routeQueue holds a customer's waiting requests for one route.
type routeQueue struct {
	route string
	usage
	// queue is in order of arrival.
	queue []*Request
	// ordered is the result of Pool.inOrder in the round orderedRound.
	ordered      []*Request
	orderedRound uint64
}

// usage is what was requested and granted within the window, in tokens as counted by
// Prompt.Cost.
type usage struct {
	requested window
	granted   window
}

func (u *usage) advance(now time.Time, length time.Duration) {
	u.requested.advance(now, length)
	u.granted.advance(now, length)
}

// servedFraction returns the fraction of the requested tokens that was granted.
func (u *usage) servedFraction() float64 {
	if u.requested.sum < 1 {
		return 0
	}
	return u.granted.sum / u.requested.sum
}

func (a *account) queue(route string) *routeQueue {
	q := a.queues[route]
	if q == nil {
		if a.queues == nil {
			a.queues = map[string]*routeQueue{}
		}
		q = &routeQueue{route: route}
		a.queues[route] = q
	}
	return q
}

// addRequested records the cost of a request that arrived.
func (a *account) addRequested(req *Request, now time.Time, length time.Duration) {
	a.requested.add(req.cost, now, length)
	a.queue(req.Route).requested.add(req.cost, now, length)
}

// addGranted records the cost of a grant; a factor of -1 takes it back.
func (a *account) addGranted(req *Request, factor float64, now time.Time, length time.Duration) {
	a.granted.add(factor*req.cost, now, length)
	a.queue(req.Route).granted.add(factor*req.cost, now, length)
}

func (a *account) enqueue(req *Request) {
	q := a.queue(req.Route)
	q.queue = append(q.queue, req)
	a.waiting++
	a.waitingCost += req.cost
}

func (a *account) dequeue(req *Request) {
	q := a.queue(req.Route)
	if i := slices.Index(q.queue, req); i >= 0 {
		q.queue = slices.Delete(q.queue, i, i+1)
		a.waiting--
		a.waitingCost -= req.cost
	}
}

// recentlyGranted returns what the customer was granted over all groups in a window, extrapolated
// from the recent part of it.
func (a *account) recentlyGranted() float64 {
	return a.granted.recentTotal() + a.otherGroups.sum.Granted
}

// waitingQueues returns the queues with waiting requests, the one with the smallest served
// fraction first. When requests were taken in order of arrival instead, a customer far over its
// share had one in five of its requests with long prompts granted, but only one in twenty of
// those with short prompts, as these wait a shorter time for an idle engine.
func (a *account) waitingQueues(now time.Time, length time.Duration) []*routeQueue {
	waiting := make([]*routeQueue, 0, len(a.queues))
	for _, q := range a.queues {
		if len(q.queue) > 0 {
			q.advance(now, length)
			waiting = append(waiting, q)
		}
	}
	slices.SortFunc(waiting, func(a, b *routeQueue) int {
		return cmp.Or(cmp.Compare(a.servedFraction(), b.servedFraction()), cmp.Compare(a.route, b.route))
	})
	return waiting
}

// maxMinShare returns the largest share for which no customer gets more than it requested and
// the total stays within capacity (max-min fairness): a customer that requested less leaves the
// rest to the others. If capacity suffices for all requests, the result is at least the largest
// of them.
func maxMinShare(requested []float64, capacity float64) float64 {
	sort.Float64s(requested)
	left := capacity
	for i, amount := range requested {
		even := left / float64(len(requested)-i)
		if amount > even {
			return even
		}
		left -= amount
	}
	if len(requested) == 0 {
		return capacity
	}
	return requested[len(requested)-1] + left
}
