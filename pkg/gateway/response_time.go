package gateway

import "time"

// responseTimes estimates how long dispatchers take for the first response to a request. A
// router that is itself slow also reads responses late, and has to wait longer before it assumes
// that the dispatcher hangs. It is not safe for concurrent use.
type responseTimes struct {
	mean time.Duration
	// timedOut holds when the requests were sent whose response did not arrive in time, by ID; a
	// response that arrives later shows that the timeout was too short.
	timedOut map[string]time.Time
}

const (
	// minResponseTimeout is far longer than the 2 ms that a response usually takes: a box with a
	// processor quota may be stopped for most of a tenth of a second.
	minResponseTimeout = 80 * time.Millisecond
	// latencyTargetDivisor divides the latency target of a request; its response may take at
	// least the quotient. Under a flood of requests a dispatcher is now and then stopped for
	// more than a tenth of a second, and leaving it costs far more than waiting: routers that
	// switch to another box and back transfer all running requests and cached parts, and two
	// dispatchers at once each see only half of what a customer got. With minResponseTimeout
	// alone, 59 boxes under two floods made 170 switches within 20 s and earned 0.66 of what was
	// due; a minimum of 200 ms earned 0.83, and a third of the latency target 0.006 more.
	latencyTargetDivisor = 3
	// maxResponseTimeout leaves time to decide locally within the latency target. It applies in
	// full to a dispatcher that has not responded yet: when a whole fleet switches to a box,
	// that box has hundreds of streams to open, and leaving it only moves them to the next one.
	maxResponseTimeout = 300 * time.Millisecond
	// meanFactor times the mean response time is the timeout, within the bounds above.
	meanFactor = 4
	// responseWeight is the weight of the newest response in the mean.
	responseWeight = 0.1
	// maxTimedOut bounds timedOut, as some responses never arrive.
	maxTimedOut = 1000
)

// timeout returns how long to wait for the first response to a request with a latency target.
func (r *responseTimes) timeout(latencyTarget time.Duration) time.Duration {
	return min(max(meanFactor*r.mean, latencyTarget/latencyTargetDivisor, minResponseTimeout), maxResponseTimeout)
}

// record adds the time that a response took to the mean.
func (r *responseTimes) record(took time.Duration) {
	r.mean += time.Duration(responseWeight * float64(took-r.mean))
}

// recordTimeout records a request whose response did not arrive in time.
func (r *responseTimes) recordTimeout(id string, asked time.Time) {
	if r.timedOut == nil || len(r.timedOut) >= maxTimedOut {
		r.timedOut = map[string]time.Time{}
	}
	r.timedOut[id] = asked
}

// recordLate records a response to a request that no longer waits for it.
func (r *responseTimes) recordLate(id string, now time.Time) {
	if asked, ok := r.timedOut[id]; ok {
		delete(r.timedOut, id)
		r.record(now.Sub(asked))
	}
}
