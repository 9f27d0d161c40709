package pool

import (
	"math"
	"slices"
	"time"
)

// queue holds one customer's requests at one router.
type queue struct {
	customer string
	// quick and slow hold the waiting tickets in order of arrival.
	quick []*Ticket
	slow  []*Ticket
	// unstarted holds the tickets that were sent to an endpoint and show no sign
	// of having begun; they may wait in the endpoint's own queue.
	unstarted map[*Ticket]struct{}
	// running counts the customer's tickets at endpoints.
	running int
	// key is the customer's position in the order, computed for each decision.
	key float64
	// meanOutput is a moving mean of the actual output tokens, by class.
	meanOutput map[string]float64

	// mean is the moving mean of the requests that wait, as of meanAt.
	mean   float64
	meanAt time.Time

	// lastGrant is when a ticket was last sent to an endpoint, and
	// meanGrantInterval the moving mean of the time between two grants.
	lastGrant         time.Time
	meanGrantInterval time.Duration
}

const (
	// initialOutputEstimate is the assumed output of a class of which no request
	// has finished yet.
	initialOutputEstimate = 128
	// smoothingFactor is the weight of the newest request in moving means.
	smoothingFactor = 0.2
	// minRetryAfter and maxRetryAfter bound the retry advice of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

func (q *queue) waitingCount() int {
	return len(q.quick) + len(q.slow)
}

// push queues a ticket. One that returns from an endpoint goes first, since it
// has already waited.
func (q *queue) push(t *Ticket) {
	list := &q.slow
	if t.Quick {
		list = &q.quick
	}
	if len(t.tried) > 0 {
		*list = slices.Insert(*list, 0, t)
		return
	}
	*list = append(*list, t)
}

func (q *queue) remove(t *Ticket) {
	same := func(other *Ticket) bool { return other == t }
	if t.Quick {
		q.quick = slices.DeleteFunc(q.quick, same)
		return
	}
	q.slow = slices.DeleteFunc(q.slow, same)
}

// oldestArrival returns the arrival of the customer's oldest waiting ticket.
func (q *queue) oldestArrival() time.Time {
	switch {
	case len(q.quick) == 0:
		return q.slow[0].Arrived
	case len(q.slow) == 0 || q.quick[0].Arrived.Before(q.slow[0].Arrived):
		return q.quick[0].Arrived
	default:
		return q.slow[0].Arrived
	}
}

// meanTimeConstant is the time constant of the moving mean of waiting requests.
const meanTimeConstant = time.Second

// meanWaiting returns the moving mean of the requests that wait here or in an
// endpoint's queue.
func (q *queue) meanWaiting(now time.Time) float64 {
	waiting := float64(q.waitingCount() + len(q.unstarted))
	weight := 1 - math.Exp(-float64(now.Sub(q.meanAt))/float64(meanTimeConstant))
	q.mean += weight * (waiting - q.mean)
	q.meanAt = now
	return q.mean
}

// byArrival returns all tickets in order of arrival, for ArrivalOrder.
func (q *queue) byArrival() []*Ticket {
	all := slices.Concat(q.quick, q.slow)
	slices.SortStableFunc(all, func(a, b *Ticket) int { return a.Arrived.Compare(b.Arrived) })
	return all
}

func (q *queue) recordGrant(now time.Time) {
	q.running++
	if !q.lastGrant.IsZero() {
		sinceLast := now.Sub(q.lastGrant)
		q.meanGrantInterval += time.Duration(smoothingFactor * float64(sinceLast-q.meanGrantInterval))
	}
	q.lastGrant = now
}

// retryAfter estimates the time until half of the queue is served.
func (q *queue) retryAfter() time.Duration {
	wait := q.meanGrantInterval * time.Duration(q.waitingCount()) / 2
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (q *queue) expectedOutput(class string) float64 {
	if mean, ok := q.meanOutput[class]; ok {
		return mean
	}
	return initialOutputEstimate
}

func (q *queue) recordOutput(class string, output float64) {
	mean := q.expectedOutput(class)
	q.meanOutput[class] = mean + smoothingFactor*(output-mean)
}
