package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// SpreadZones reorders ranked engines so that as many availability zones as there are come first:
// the first engine of each zone in the order of their ranks, then the second of each, and so on.
// The very first engine stays. If a zone goes or returns, the order of the others stays.
func SpreadZones[T any](ranked []T, zoneOf func(T) string) []T {
	type placed struct {
		value T
		turn  int
	}
	turns := map[string]int{}
	order := make([]placed, len(ranked))
	for i, value := range ranked {
		zone := zoneOf(value)
		order[i] = placed{value, turns[zone]}
		turns[zone]++
	}
	slices.SortStableFunc(order, func(a, b placed) int { return cmp.Compare(a.turn, b.turn) })
	spread := make([]T, len(order))
	for i := range order {
		spread[i] = order[i].value
	}
	return spread
}

const (
	// crossingBase and crossingByte are the time for which a request may wait at an engine of its
	// own zone rather than cross to another one: so much for each request, and so much for each
	// byte of its body. A prompt of 17 kB may wait 110 ms, a fifth of its latency target. That is
	// less than reading its shared part of 13,300 tokens again, so that no part is read again for
	// a single crossing, and more than reading one of 350 tokens.
	crossingBase = 40 * time.Millisecond
	crossingByte = 4 * time.Microsecond
	// crossingWindow is the time over which crossings are added up. It is of the order of the
	// time for which a copy stays cached.
	crossingWindow = 30 * time.Second
)

// CrossingCost returns the cost of sending a request of a size in bytes to another zone, as a
// time that it may wait instead.
func CrossingCost(size int) time.Duration {
	return crossingBase + time.Duration(size)*crossingByte
}

// Crossings are the costs of the requests for one part that recently crossed, by the zone that
// they came from. Once those from a zone have cost as much as a copy there, the copy is made: then
// no order of requests costs more than twice what it costs if the demand is known in advance. The
// zero value is empty.
type Crossings struct {
	// paid is in seconds as of updatedAt, and decays.
	paid      map[string]float64
	updatedAt time.Time
}

// Add records a request that crossed.
func (c *Crossings) Add(zone string, size int, now time.Time) {
	c.decay(now)
	if c.paid == nil {
		c.paid = map[string]float64{}
	}
	c.paid[zone] += CrossingCost(size).Seconds()
}

// Clear records that a request from a zone stayed in it, so there is a copy.
func (c *Crossings) Clear(zone string) { delete(c.paid, zone) }

// Paid returns what the requests from a zone that crossed have cost.
func (c *Crossings) Paid(zone string, now time.Time) time.Duration {
	c.decay(now)
	return time.Duration(c.paid[zone] * float64(time.Second))
}

func (c *Crossings) decay(now time.Time) {
	if len(c.paid) > 0 {
		factor := math.Exp(-now.Sub(c.updatedAt).Seconds() / crossingWindow.Seconds())
		for zone := range c.paid {
			c.paid[zone] *= factor
		}
	}
	c.updatedAt = now
}
