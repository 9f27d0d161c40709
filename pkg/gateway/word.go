package gateway

import "time"

// wordTimes measures how long the first word of the box that dispatches takes.
// A router that is itself late hears late: it has to wait longer before it takes
// the other box for hanging. It is not safe for concurrent use.
type wordTimes struct {
	mean time.Duration
	// givenUp are requests that were decided otherwise, and when they were asked;
	// a word that comes for them all the same tells that patience was too short.
	givenUp map[string]time.Time
}

const (
	// leastPatience is for a word that takes about 2 ms: a box whose processor
	// time is a quota may stand still for most of a tenth of a second.
	leastPatience = 80 * time.Millisecond
	// mostPatience still leaves time to decide alone within a request's aim. A box that
	// has said nothing yet gets all of it: where a whole fleet turns to it at once, it
	// has hundreds of streams to open, and turning away from it only moves them on.
	mostPatience = 300 * time.Millisecond
	// patienceMeans is the patience in means.
	patienceMeans = 4
	// wordGain is the weight of the newest word.
	wordGain = 0.1
	// mostGivenUp bounds what is remembered for words that never come.
	mostGivenUp = 1000
)

// patience is how long to wait for a first word.
func (w *wordTimes) patience() time.Duration {
	return min(max(patienceMeans*w.mean, leastPatience), mostPatience)
}

// came notes the time that a word took.
func (w *wordTimes) came(took time.Duration) {
	w.mean += time.Duration(wordGain * float64(took-w.mean))
}

// gaveUp notes a request for which no word came in time.
func (w *wordTimes) gaveUp(id string, asked time.Time) {
	if w.givenUp == nil || len(w.givenUp) >= mostGivenUp {
		w.givenUp = map[string]time.Time{}
	}
	w.givenUp[id] = asked
}

// late notes a word for a request that no longer waits for it.
func (w *wordTimes) late(id string, now time.Time) {
	if asked, ok := w.givenUp[id]; ok {
		delete(w.givenUp, id)
		w.came(now.Sub(asked))
	}
}
