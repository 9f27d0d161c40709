package pool

import (
	"math"
	"slices"
	"time"
)

// queue is one customer's line at one router.
type queue struct {
	customer string
	// quick and slow hold the waiting tickets in order of arrival.
	quick []*Ticket
	slow  []*Ticket
	// unstarted are the tickets that were sent to an endpoint and show no sign of
	// having begun; they may wait in the endpoint's own queue.
	unstarted map[*Ticket]struct{}
	// running counts the customer's tickets at endpoints.
	running int
	// key is the customer's place, computed afresh for each decision.
	key float64
	// typical is a moving mean of the true output, by class.
	typical map[string]float64

	mean   float64
	meanAt time.Time

	lastStart time.Time
	startGap  time.Duration
}

const (
	// firstOutputGuess stands for the output of a class never seen to end.
	firstOutputGuess = 128
	// learnRate is the weight of the newest request in moving means.
	learnRate = 0.2
	// leastRetryAfter and mostRetryAfter bound the advice to come back.
	leastRetryAfter = time.Second
	mostRetryAfter  = time.Minute
)

func (q *queue) length() int {
	return len(q.quick) + len(q.slow)
}

// push puts a ticket in line; one that comes back from an endpoint goes first,
// since it has waited its turn.
func (q *queue) push(t *Ticket) {
	line := &q.slow
	if t.Quick {
		line = &q.quick
	}
	if len(t.tried) > 0 {
		*line = slices.Insert(*line, 0, t)
		return
	}
	*line = append(*line, t)
}

func (q *queue) remove(t *Ticket) {
	same := func(other *Ticket) bool { return other == t }
	if t.Quick {
		q.quick = slices.DeleteFunc(q.quick, same)
		return
	}
	q.slow = slices.DeleteFunc(q.slow, same)
}

// first is the arrival of the customer's oldest waiting ticket.
func (q *queue) first() time.Time {
	switch {
	case len(q.quick) == 0:
		return q.slow[0].Arrived
	case len(q.slow) == 0 || q.quick[0].Arrived.Before(q.slow[0].Arrived):
		return q.quick[0].Arrived
	default:
		return q.slow[0].Arrived
	}
}

// meanTime is the time over which the mean of waiting requests moves.
const meanTime = time.Second

// meanWaiting is the moving mean of the requests that wait here or in an
// endpoint's queue.
func (q *queue) meanWaiting(now time.Time) float64 {
	waiting := float64(q.length() + len(q.unstarted))
	weight := 1 - math.Exp(-float64(now.Sub(q.meanAt))/float64(meanTime))
	q.mean += weight * (waiting - q.mean)
	q.meanAt = now
	return q.mean
}

// byArrival gives all tickets in order of arrival, for the baseline.
func (q *queue) byArrival() []*Ticket {
	all := slices.Concat(q.quick, q.slow)
	slices.SortStableFunc(all, func(a, b *Ticket) int { return a.Arrived.Compare(b.Arrived) })
	return all
}

func (q *queue) start(now time.Time) {
	q.running++
	if !q.lastStart.IsZero() {
		gap := now.Sub(q.lastStart)
		q.startGap += time.Duration(learnRate * float64(gap-q.startGap))
	}
	q.lastStart = now
}

// retryAfter estimates when the line will have moved on by half.
func (q *queue) retryAfter() time.Duration {
	wait := q.startGap * time.Duration(q.length()) / 2
	return min(max(wait, leastRetryAfter), mostRetryAfter)
}

func (q *queue) typicalOutput(class string) float64 {
	if typical, ok := q.typical[class]; ok {
		return typical
	}
	return firstOutputGuess
}

func (q *queue) learn(class string, output float64) {
	typical := q.typicalOutput(class)
	q.typical[class] = typical + learnRate*(output-typical)
}
