package dispatch

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// engineSpeeds are the speeds of simulated engines, relative to the usual one. The zero value has
// engines of equal and constant speed.
type engineSpeeds struct {
	// rotation are the speeds of the engines in turn.
	rotation []float64
	// noise makes one in seven periods of 600 ms of each engine 2.5 times as slow.
	noise bool
	// slowAt is when a third of the engines becomes 2.5 times slower; zero means never.
	slowAt time.Time
}

const (
	noisePeriod = 600 * time.Millisecond
	slowFactor  = 2.5
)

func (s *engineSpeeds) at(endpoint string, now time.Time) float64 {
	number, _ := strconv.ParseUint(endpoint[1:], 10, 64)
	speed := 1.0
	if len(s.rotation) > 0 {
		speed = s.rotation[number%uint64(len(s.rotation))]
	}
	period := uint64(now.UnixNano() / int64(noisePeriod))
	if s.noise && rand.New(rand.NewPCG(number, period)).IntN(7) == 0 {
		speed /= slowFactor
	}
	if !s.slowAt.IsZero() && !now.Before(s.slowAt) && number/3%3 == 0 {
		speed /= slowFactor
	}
	return speed
}

// readUntil returns when an engine has read what it would read in so many seconds at the usual
// speed.
func (s *engineSpeeds) readUntil(endpoint string, from time.Time, seconds float64) time.Time {
	for {
		speed := s.at(endpoint, from)
		if !s.noise && s.slowAt.IsZero() {
			return from.Add(time.Duration(seconds / speed * float64(time.Second)))
		}
		next := from.Truncate(noisePeriod).Add(noisePeriod)
		took := time.Duration(seconds / speed * float64(time.Second))
		if !from.Add(took).After(next) {
			return from.Add(took)
		}
		seconds -= next.Sub(from).Seconds() * speed
		from = next
	}
}
