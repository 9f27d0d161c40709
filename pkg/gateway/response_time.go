package gateway

import "time"

// wordTimes measures how long the first word of the box that dispatches takes.
// A router that is itself late hears late: it has to wait longer before it takes
// the other box for hanging. It is not safe for concurrent use.
type responseTimes struct {
	mean time.Duration
	// givenUp are requests that were decided otherwise, and when they were asked;
	// a word that comes for them all the same tells that patience was too short.
	timedOut map[string]time.Time
}

const (
	// leastPatience is for a word that takes about 2 ms: a box whose processor
	// time is a quota may stand still for most of a tenth of a second.
	minResponseTimeout = 80 * time.Millisecond
	// patienceAims is the part of a request's aim, as its divisor, that a word may take at
	// least. A box that dispatches under a flood stands still for longer than a tenth of a
	// second now and then, and turning away from it costs far more than waiting: routers
	// that turn to another box and back hand over all that runs and is kept, and two boxes
	// that dispatch at once each know half of what a customer got. On a simulated day with
	// two floods by 59 boxes, 170 turns in 20 s and 0.66 of what was due earned with
	// leastPatience alone, 2 turns and 0.83 with 200 ms (one play each); with a third of
	// the aim 0.006 more (error 0.002, 12 pairs of days with floods and faults).
	latencyTargetDivisor = 3
	// mostPatience still leaves time to decide alone within a request's aim. A box that
	// has said nothing yet gets all of it: where a whole fleet turns to it at once, it
	// has hundreds of streams to open, and turning away from it only moves them on.
	maxResponseTimeout = 300 * time.Millisecond
	// patienceMeans is the patience in means.
	meanFactor = 4
	// wordGain is the weight of the newest word.
	responseGain = 0.1
	// mostGivenUp bounds what is remembered for words that never come.
	maxTimedOut = 1000
)

// patience is how long to wait for the first word of a request with an aim.
func (w *responseTimes) timeout(aim time.Duration) time.Duration {
	return min(max(meanFactor*w.mean, aim/latencyTargetDivisor, minResponseTimeout), maxResponseTimeout)
}

// came notes the time that a word took.
func (w *responseTimes) record(took time.Duration) {
	w.mean += time.Duration(responseGain * float64(took-w.mean))
}

// gaveUp notes a request for which no word came in time.
func (w *responseTimes) recordTimeout(id string, asked time.Time) {
	if w.timedOut == nil || len(w.timedOut) >= maxTimedOut {
		w.timedOut = map[string]time.Time{}
	}
	w.timedOut[id] = asked
}

// late notes a word for a request that no longer waits for it.
func (w *responseTimes) recordLate(id string, now time.Time) {
	if asked, ok := w.timedOut[id]; ok {
		delete(w.timedOut, id)
		w.record(now.Sub(asked))
	}
}
