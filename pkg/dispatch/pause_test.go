package dispatch

import (
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// withoutPauses makes a pool decide as if its engines were even.
func withoutPauses(p *Pool) { p.spread.updatedAt = start.Add(24 * time.Hour) }

// playChunks plays a load on the engines of a model.
func playChunks(model chunkModel, load chunkLoad, seed uint64, configure func(*Pool)) *simulation {
	s := newChunkSimulation(model, chunkEngineCount, seed)
	if configure != nil {
		configure(s.pool)
	}
	s.play(chunkLoadLength, load.sources()...)
	return s
}

// comparePauses plays a load with and without the bound, and returns the sums of the outcomes.
func comparePauses(t *testing.T, model chunkModel, load chunkLoad) (with, without chunkOutcome) {
	for seed := range uint64(3) {
		one := playChunks(model, load, seed, nil).outcome()
		other := playChunks(model, load, seed, withoutPauses).outcome()
		t.Log("with:   ", one)
		t.Log("without:", other)
		with.inTime += one.inTime
		with.latePause += one.latePause
		without.inTime += other.inTime
		without.latePause += other.latePause
	}
	return with, without
}

// TestPausesOfStreams checks that the bound makes fewer streams late and that no fewer callers are
// served in time for it.
func TestPausesOfStreams(t *testing.T) {
	Convey("Uneven engines that are slow at times", t, func() {
		with, without := comparePauses(t, modelB, loadB(0.7, 1))
		So(with.latePause, ShouldBeLessThan, without.latePause*4/5)
		So(with.inTime, ShouldBeGreaterThan, without.inTime)
	})
	Convey("Uneven engines whose pauses are short serve the same as without the bound", t, func() {
		with, without := comparePauses(t, modelA, loadA(1, 1))
		So(with.inTime, ShouldAlmostEqual, without.inTime, without.inTime/200)
	})
}

// TestEvenEngines checks that noise does not make even engines count as uneven: every decision is
// then the same as without the bound.
func TestEvenEngines(t *testing.T) {
	Convey("Even engines with noise decide as without the bound", t, func() {
		even := modelB
		even.speeds = []float64{1}
		for seed := range uint64(4) {
			with := playChunks(even, loadB(1.35, 6), seed, nil)
			without := playChunks(even, loadB(1.35, 6), seed, withoutPauses)
			So(reflect.DeepEqual(with.tallies, without.tallies), ShouldBeTrue)
			for id, e := range with.chunkEngines {
				So(e.readTokens, ShouldEqual, without.chunkEngines[id].readTokens)
			}
		}
	})
}

func TestUnevenness(t *testing.T) {
	active := func(rates ...float64) bool {
		p := newTestPool(len(rates), 0)
		for i, e := range p.sorted {
			for range minSteadySamples {
				e.recordSample(rates[i])
			}
		}
		p.updateRateSpread(start)
		return p.spread.isWide
	}
	Convey("Rates that differ by more than a quarter are uneven", t, func() {
		So(active(70000, 70000, 170000), ShouldBeTrue)
		So(active(100000, 100000, 130000), ShouldBeTrue)
		So(active(100000, 110000, 120000), ShouldBeFalse)
	})
	Convey("One slow second does not make a slow engine", t, func() {
		var s steadyRate
		for range 20 {
			s.recordSample(100000)
		}
		for range 3 {
			s.recordSample(40000)
		}
		So(s.meanRate, ShouldBeGreaterThan, 90000)
		So(s.slowdown(), ShouldBeGreaterThan, 2)
	})
}

// newUnevenPool returns a pool of engines that read 70,000 and 170,000 tokens a second and take
// 2.5 times as long at times. e0 is slow and e2 fast.
func newUnevenPool() *Pool {
	p := newTestPool(3, 0)
	p.service.Engine.EventTokens = eventTokens
	p.chunkTokens = 2900
	for i, rate := range []float64{70000, 70000, 170000} {
		e := p.sorted[i]
		e.rate, e.rateSamples = rate, earlySamples
		e.steadyRate = steadyRate{meanRate: rate, slowestRate: rate / slowFactor, samples: minSteadySamples}
		e.step = 4 * time.Millisecond
	}
	p.updateRateSpread(start)
	return p
}

// addStream makes an engine run a stream that has begun.
func addStream(p *Pool, e *engine, id string, gap time.Duration) {
	req := newRequest(id, "running", start, Part{ID: 1})
	req.GapTarget = gap
	p.addGrant(req, e, start)
	p.Begin(id, start)
}

func TestReadBound(t *testing.T) {
	Convey("The reading at an engine whose streams would pause too long is bounded", t, func() {
		p := newUnevenPool()
		slow, fast := p.engines["e0"], p.engines["e2"]
		So(p.readBound(slow, start), ShouldEqual, noReadBound)
		addStream(p, slow, "1", 400*time.Millisecond)
		addStream(p, slow, "2", 300*time.Millisecond)
		addStream(p, fast, "3", 300*time.Millisecond)
		So(p.readBound(slow, start), ShouldEqual, 96*time.Millisecond)
		Convey("not where no pause comes near the target", func() {
			p.chunkTokens = 500
			So(p.readBound(slow, start), ShouldEqual, noReadBound)
		})
		Convey("by the shortest target of the streams that run", func() {
			p.End("2", Broken{}, start)
			So(p.readBound(slow, start), ShouldEqual, 136*time.Millisecond)
		})
		Convey("and an engine that is slow at present reads nothing more", func() {
			p.addGrant(newRequest("4", "a", start, Part{ID: 4, Tokens: 7000}), slow, start)
			So(p.readBound(slow, start.Add(150*time.Millisecond)), ShouldEqual, 96*time.Millisecond)
			So(p.readBound(slow, start.Add(250*time.Millisecond)), ShouldEqual, 0)
			p.Begin("4", start.Add(300*time.Millisecond))
			So(p.readBound(slow, start.Add(310*time.Millisecond)), ShouldEqual, 0)
			So(p.readBound(slow, start.Add(600*time.Millisecond)), ShouldEqual, 96*time.Millisecond)
		})
	})
}

// TestPlaceUneven checks which prompts leave the engine that they go to otherwise: e0, which has
// their shared part cached.
func TestPlaceUneven(t *testing.T) {
	setUp := func(cached ...Part) *Pool {
		p := newUnevenPool()
		for _, e := range p.sorted {
			addStream(p, e, e.ID, 300*time.Millisecond)
		}
		for _, part := range cached {
			p.engines["e0"].addCached(part)
			p.recordCachedPart(part, p.engines["e0"], start)
		}
		return p
	}
	place := func(p *Pool, target time.Duration, parts ...Part) string {
		req := newRequest("req", "a", start, parts...)
		req.LatencyTarget = target
		return submit(p, req, start)[0].(Grant).Endpoint
	}
	own := func(tokens int) Part { return Part{ID: 100, Tokens: tokens} }
	Convey("A prompt of which most is cached stays", t, func() {
		So(place(setUp(shared(7)), time.Second, shared(7), own(3000)), ShouldEqual, "e0")
	})
	Convey("A long read goes to a fast engine, whichever are its homes", t, func() {
		for id := range uint64(8) {
			So(place(setUp(), time.Second, shared(id), own(3000)), ShouldEqual, "e2")
		}
	})
	Convey("A prompt stays if no other engine has room", t, func() {
		p := setUp(shared(7))
		eject(p, "e1")
		eject(p, "e2")
		So(place(p, time.Second, shared(7), own(9000)), ShouldEqual, "e0")
	})
	Convey("A prompt that no engine can read in time goes where it is read first", t, func() {
		So(place(setUp(shared(7)), 100*time.Millisecond, shared(7), own(30000)), ShouldEqual, "e2")
	})
}
