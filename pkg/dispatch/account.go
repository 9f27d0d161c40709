package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// window sums amounts over a sliding time, in buckets.
type window struct {
	buckets [windowBuckets]float64
	// last is the number of the newest bucket.
	last int64
	sum  float64
}

// windowBuckets divide a window; more would follow time more finely than the
// requests arrive.
const windowBuckets = 16

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
	}
}

func (w *window) add(amount float64, now time.Time, length time.Duration) {
	w.advance(now, length)
	w.buckets[w.last%windowBuckets] += amount
	w.sum += amount
}

// account is what one customer asked for and got of late, and what waits.
type account struct {
	name string
	usage
	// kinds are by route.
	queues map[string]*routeQueue
	// waiting is the number of requests in the queues of all kinds.
	waiting int
	// elsewhere is what it asked for and got in other groups.
	otherGroups otherGroupTotals
}

// kind is a customer's requests of one route.
type routeQueue struct {
	route string
	usage
	// queue is in the order of arrival.
	queue []*Request
}

// usage is what was asked for and got within the window, in tokens as Prompt.Cost
// counts them.
type usage struct {
	requested window
	granted   window
}

func (u *usage) advance(now time.Time, length time.Duration) {
	u.requested.advance(now, length)
	u.granted.advance(now, length)
}

// servedPart is the part that was got of what was asked for.
func (u *usage) servedFraction() float64 {
	if u.requested.sum < 1 {
		return 0
	}
	return u.granted.sum / u.requested.sum
}

func (a *account) queue(route string) *routeQueue {
	k := a.queues[route]
	if k == nil {
		if a.queues == nil {
			a.queues = map[string]*routeQueue{}
		}
		k = &routeQueue{route: route}
		a.queues[route] = k
	}
	return k
}

// noteAsked books what a request asks for.
func (a *account) addRequested(req *Request, now time.Time, length time.Duration) {
	a.requested.add(req.cost, now, length)
	a.queue(req.Route).requested.add(req.cost, now, length)
}

// noteGranted books a grant or, with a factor of -1, takes it back.
func (a *account) addGranted(req *Request, factor float64, now time.Time, length time.Duration) {
	a.granted.add(factor*req.cost, now, length)
	a.queue(req.Route).granted.add(factor*req.cost, now, length)
}

func (a *account) enqueue(req *Request) {
	k := a.queue(req.Route)
	k.queue = append(k.queue, req)
	a.waiting++
}

func (a *account) dequeue(req *Request) {
	k := a.queue(req.Route)
	if at := slices.Index(k.queue, req); at >= 0 {
		k.queue = slices.Delete(k.queue, at, at+1)
		a.waiting--
	}
}

// kindsInTurn are the kinds with waiting requests, the one first that got the
// smallest part of what it asked for. Taken in the order of arrival, a customer far
// beyond its share had one in five of its requests for long prompts granted and one
// in twenty of those for short ones, as these wait a shorter time for an idle engine.
func (a *account) waitingQueues(now time.Time, length time.Duration) []*routeQueue {
	waiting := make([]*routeQueue, 0, len(a.queues))
	for _, k := range a.queues {
		if len(k.queue) > 0 {
			k.advance(now, length)
			waiting = append(waiting, k)
		}
	}
	slices.SortFunc(waiting, func(a, b *routeQueue) int {
		return cmp.Or(cmp.Compare(a.servedFraction(), b.servedFraction()), cmp.Compare(a.route, b.route))
	})
	return waiting
}

// evenShare is the largest amount for which no customer gets more than it asked
// and the total is within capacity; a customer that asked for less leaves the
// rest to the others. All may have what they asked when it returns the largest.
func maxMinShare(asked []float64, capacity float64) float64 {
	sort.Float64s(asked)
	left := capacity
	for i, amount := range asked {
		even := left / float64(len(asked)-i)
		if amount > even {
			return even
		}
		left -= amount
	}
	if len(asked) == 0 {
		return capacity
	}
	return asked[len(asked)-1] + left
}
