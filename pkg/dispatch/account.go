package dispatch

import (
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
	// asked and granted are in tokens as Prompt.Cost counts them.
	asked   window
	granted window
	queue   []*Ask
}

// evenShare is the largest amount for which no customer gets more than it asked
// and the total is within capacity; a customer that asked for less leaves the
// rest to the others. All may have what they asked when it returns the largest.
func evenShare(asked []float64, capacity float64) float64 {
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
