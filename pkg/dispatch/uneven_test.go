package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// unevenSpeeds are those of a deployment whose homes were once equally many at slow and at fast
// engines.
var unevenSpeeds = []float64{0.7, 0.7, 1.7}

// addressCustomer requests so many times the usual rates of a pool of 12 engines whose prompts
// have many shared parts.
func addressCustomer(name string, factor float64) []source {
	return []source{
		{customer: name, route: "address", perSecond: 75 * factor, latencyTarget: 600 * time.Millisecond, shared: 13300, own: 3720, sharedParts: 261, output: 120},
		{customer: name, route: "carrier", perSecond: 59 * factor, latencyTarget: time.Second, shared: 6300, own: 2890, sharedParts: 91, output: 54},
		{customer: name, route: "tag", perSecond: 73 * factor, latencyTarget: 1200 * time.Millisecond, shared: 350, own: 1110, sharedParts: 200, output: 174},
	}
}

// newAddressSimulation returns 12 engines for which no customer has a share.
func newAddressSimulation(seed uint64, speeds engineSpeeds) *simulation {
	s := newSimulation(12, 0, 112000)
	s.rand = rand.New(rand.NewPCG(seed, 9))
	s.speeds = speeds
	s.cacheTokens = 885000
	for _, e := range s.pool.sorted {
		e.cacheCapacity = s.cacheTokens
	}
	return s
}

// keepWeights keeps the weights as they are, which at the start are equal.
func (s *simulation) keepWeights() { s.pool.weighedAt = start.Add(time.Hour) }

// readingTime returns the time in which the engines have read all prompts.
func (s *simulation) readingTime() (longest time.Duration) {
	for _, at := range s.freeAt {
		longest = max(longest, at.Sub(start))
	}
	return longest
}

// assignKnowing sends a request at once to the engine where it costs least, with full knowledge of
// the engines: what each has cached and when it will have read it. Each shared token that has to
// be read again counts a number of times more.
func (s *simulation) assignKnowing(req *Request, missFactor float64) {
	var best string
	bestCost := 0.0
	shared := Prompt{Parts: req.Shared()}
	for _, e := range s.pool.sorted {
		reading := float64(s.missing(e.ID, &req.Prompt)) / s.readRate
		cost := s.speeds.readUntil(e.ID, later(s.now, s.freeAt[e.ID]), reading).Sub(s.now).Seconds()
		cost += missFactor * float64(s.missing(e.ID, &shared)) / s.readRate
		if best == "" || cost < bestCost {
			best, bestCost = e.ID, cost
		}
	}
	s.read(Grant{Request: req, Endpoint: best})
}

// readingTimeKnowing returns the reading time of a load with full knowledge: the best of several
// weights of reading again.
func readingTimeKnowing(seed uint64, speeds engineSpeeds, length time.Duration, sources ...source) (best time.Duration) {
	for _, missFactor := range []float64{0, 1, 2, 4} {
		s := newAddressSimulation(seed, speeds)
		number := 0
		for i := range sources {
			for when := s.next(start, &sources[i]); when.Before(start.Add(length)); when = s.next(when, &sources[i]) {
				number++
				req := s.newRequest(&sources[i], number, when)
				s.at(when, func() { s.assignKnowing(req, missFactor) })
			}
		}
		s.until(start.Add(time.Hour))
		if took := s.readingTime(); best == 0 || took < best {
			best = took
		}
	}
	return best
}

// TestUnevenReading compares the time in which a drawn load is read with that of one queue with
// full knowledge. Nothing is refused, so that both read the same prompts. Slow engines that are
// homes of too many parts, or fast ones that are given too much, are still reading when the others
// have ended.
func TestUnevenReading(t *testing.T) {
	const length = 10 * time.Second
	for number := range uint64(8) {
		seed, slows := number%4, number >= 4
		load := addressCustomer("a", 1.5)
		speeds := engineSpeeds{rotation: unevenSpeeds, noise: seed%2 == 0}
		if slows {
			speeds.slowAt = start.Add(3 * time.Second)
		}
		Convey(fmt.Sprintf("A load is read within 10%% of the time that full knowledge needs: seed %d, a third becomes slower %v", seed, slows), t, func() {
			knowing := readingTimeKnowing(seed, speeds, length, load...)
			play := func(prepare func(*simulation)) float64 {
				s := newAddressSimulation(seed, speeds)
				s.pool.Rules.MaxWaitFraction = 1000
				prepare(s)
				s.play(length, load...)
				return float64(s.readingTime()) / float64(knowing)
			}
			weighted := play(func(*simulation) {})
			even := play((*simulation).keepWeights)
			zones := play((*simulation).useZones)
			t.Logf("seed %d, slower %v: full knowledge %v, weights %.3f, equal weights %.3f, weights and zones %.3f", seed, slows, knowing, weighted, even, zones)
			So(weighted, ShouldBeLessThan, 1.1)
			So(zones, ShouldBeLessThan, 1.1)
			if slows {
				So(weighted, ShouldBeLessThan, even)
			}
		})
	}
}

// inTime returns the fraction of the requests that began within their latency targets.
func (s *simulation) inTime() float64 {
	inTime, requested := 0, 0
	for _, one := range s.tallies {
		inTime += one.inTime
		requested += one.requested
	}
	return float64(inTime) / float64(requested)
}

// TestUnevenInTime guards against weights that read much but late.
func TestUnevenInTime(t *testing.T) {
	Convey("With weights more requests begin in time than with equal ones", t, func() {
		weighted, even := 0.0, 0.0
		const seeds = 4
		for seed := range uint64(seeds) {
			load := addressCustomer("a", 1.5+0.5*float64(seed/2))
			for _, total := range []*float64{&weighted, &even} {
				s := newAddressSimulation(seed, engineSpeeds{rotation: unevenSpeeds, noise: seed%2 == 0})
				if total == &even {
					s.keepWeights()
				}
				s.play(10*time.Second, load...)
				*total += s.inTime() / seeds
			}
		}
		t.Logf("in time: weights %.3f, equal weights %.3f", weighted, even)
		So(weighted, ShouldBeGreaterThan, even)
	})
}

// granted returns the decisions on a drawn load in their order.
func (s *simulation) granted(length time.Duration, sources ...source) (decisions []string) {
	s.observe = func(d Decision) {
		switch d := d.(type) {
		case Grant:
			decisions = append(decisions, d.Request.ID+" to "+d.Endpoint)
		case Refusal:
			decisions = append(decisions, fmt.Sprint(d.Request.ID, " refused for ", d.RetryAfter))
		}
	}
	s.play(length, sources...)
	return decisions
}

// TestEvenEnginesWithNoise guards against noise that is taken for a difference between engines.
func TestEvenEnginesWithNoise(t *testing.T) {
	for seed := range uint64(6) {
		Convey(fmt.Sprintf("Even engines with noise decide as with equal weights: seed %d", seed), t, func() {
			load := addressCustomer("a", 1+0.5*float64(seed%3))
			speeds := engineSpeeds{noise: seed < 4}
			weighted, even := newAddressSimulation(seed, speeds), newAddressSimulation(seed, speeds)
			even.keepWeights()
			decisions := weighted.granted(12*time.Second, load...)
			So(weighted.pool.uneven, ShouldBeFalse)
			So(len(decisions), ShouldBeGreaterThan, 2000)
			So(decisions, ShouldResemble, even.granted(12*time.Second, load...))
		})
	}
}

// TestRatesAfterTakeover guards against a new dispatcher that places prompts as if all engines
// were even until it has measured them.
func TestRatesAfterTakeover(t *testing.T) {
	Convey("The next dispatcher has the weights of the one before as soon as it decides", t, func() {
		s := newAddressSimulation(1, engineSpeeds{rotation: unevenSpeeds})
		s.play(20*time.Second, addressCustomer("a", 1.5)...)
		So(s.pool.engines["e2"].rating.Weight(), ShouldBeGreaterThan, 1.3)
		router, next := newTestPool(12, 0), newTestPool(12, 0)
		for _, cached := range s.pool.CachedParts() {
			router.RecordRate(cached.Endpoint, cached.Rate)
		}
		for _, cached := range router.CachedParts() {
			next.AddCachedParts(cached, start)
		}
		submit(next, newRequest("1", "a", start, shared(7), Part{ID: 100, Tokens: 100}), start)
		for _, e := range next.sorted {
			// Within a step: the one before counts a part of the mean rate for each engine.
			So(e.rating.Weight()/s.pool.engines[e.ID].rating.Weight(), ShouldBeBetween, 0.79, 1.26)
			So(e.rate, ShouldAlmostEqual, s.pool.engines[e.ID].rating.Rate(), 1)
		}
	})
	Convey("Grants carry the measured rate", t, func() {
		s := newAddressSimulation(1, engineSpeeds{})
		var last float64
		s.observe = func(d Decision) {
			if g, ok := d.(Grant); ok {
				last = g.Rate
			}
		}
		s.play(2*time.Second, addressCustomer("a", 1)...)
		So(last, ShouldBeBetween, 90000, 140000)
	})
}

// TestSharesOnSlowerEngines plays what once broke the shares of customers: with empty caches at
// the start, a third of uneven engines becomes 2.5 times slower, and then there are more long
// prompts. With zones, the rules for zones and empty caches are on.
func TestSharesOnSlowerEngines(t *testing.T) {
	const length = 12 * time.Second
	for seed := range uint64(8) {
		d := drawFleet(rand.New(rand.NewPCG(seed, 21)))
		d.takeOver = 0
		d.speeds = engineSpeeds{rotation: unevenSpeeds, noise: true, slowAt: start.Add(3 * time.Second)}
		d.surgeAt = 5 * time.Second
		for _, zones := range []bool{false, true} {
			d.zones = zones
			Convey(fmt.Sprintf("No customer that is refused gets less than half of another: seed %d, zones %v", seed, zones), t, func() {
				So(d.play(length).findUnfair(0.5), ShouldBeEmpty)
			})
		}
	}
}
