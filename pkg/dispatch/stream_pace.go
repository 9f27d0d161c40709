package dispatch

import "time"

// streamPace describes the running streams of an engine.
type streamPace struct {
	// gaps counts the granted streams that have not ended, by their Request.GapTarget.
	gaps map[time.Duration]int
	// step is the time of one token while the engine reads nothing: a decaying minimum of the
	// mean times of complete streams. 0 means unknown.
	step time.Duration
}

const (
	// paceDecay is the part of its distance to the latest stream by which an extreme value moves
	// to it. An engine ends about ten streams a second, so such a value is forgotten within 10 s.
	paceDecay = 0.01
	// minPaceTokens is the number of tokens from which on the time of a stream is a sample: that
	// of shorter ones depends on the way from the engine to the dispatcher.
	minPaceTokens = 30
)

// addStream records that a stream was granted.
func (s *streamPace) addStream(req *Request) {
	if req.GapTarget <= 0 {
		return
	}
	if s.gaps == nil {
		s.gaps = map[time.Duration]int{}
	}
	s.gaps[req.GapTarget]++
}

// removeStream records that a granted stream ended.
func (s *streamPace) removeStream(req *Request) {
	if req.GapTarget <= 0 {
		return
	}
	if s.gaps[req.GapTarget]--; s.gaps[req.GapTarget] == 0 {
		delete(s.gaps, req.GapTarget)
	}
}

// shortestGap returns the shortest gap target of the streams; 0 if there are none.
func (s *streamPace) shortestGap() (shortest time.Duration) {
	for gap := range s.gaps {
		if shortest == 0 || gap < shortest {
			shortest = gap
		}
	}
	return shortest
}

// recordStream evaluates a complete stream. The number of its tokens is not observed and assumed
// to be the expected one; a stream whose caller went away is a sample that is too short, which the
// next ones correct. The time beyond that of the steps alone was spent on reading; if the
// engine read all along, one chunk was read with each step. The size of a chunk is the same for
// all engines of a pool, and its estimate a decaying maximum over their streams.
func (p *Pool) recordStream(g *grant, now time.Time) {
	tokens := g.req.ExpectedOutput() - 1
	if g.req.GapTarget <= 0 || tokens < minPaceTokens {
		return
	}
	e, pace := g.engine, now.Sub(g.begunAt)/time.Duration(tokens)
	if e.step == 0 {
		e.step = pace
	}
	e.step = min(pace, e.step+fraction(pace-e.step, paceDecay))
	chunk := (pace - e.step).Seconds() * e.meanRate
	// Streams may also end while no engine is listed.
	decay := paceDecay / float64(max(1, len(p.sorted)))
	p.chunkTokens = max(chunk, p.chunkTokens+decay*(chunk-p.chunkTokens))
}
