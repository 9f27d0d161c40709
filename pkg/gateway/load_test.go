package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// addSamples adds the same wait for each measurement of a period.
func addSamples(l *load, from time.Time, length, wait time.Duration) (until time.Time, began bool) {
	until = from.Add(length)
	for at := from; at.Before(until); at = at.Add(probeInterval) {
		l.addSample(wait)
		began = l.update(at) || began
	}
	return until, began
}

func TestOverloadedBox(t *testing.T) {
	const shortWait, longWait = time.Millisecond, 300 * time.Millisecond
	start := time.Unix(1000, 0)
	Convey("A box whose work waits for the processor is not ready until it has caught up", t, func() {
		l := load{}
		now, began := addSamples(&l, start, 5*time.Second, shortWait)
		So(began, ShouldBeFalse)
		now, began = addSamples(&l, now, probeInterval, longWait)
		So(began, ShouldBeFalse)
		now, began = addSamples(&l, now, time.Second, longWait)
		So(began, ShouldBeTrue)
		So(l.isBusy(now), ShouldBeTrue)
		now, began = addSamples(&l, now, 2*time.Second, shortWait)
		So(began, ShouldBeFalse)
		So(l.isBusy(now), ShouldBeTrue)
		now, _ = addSamples(&l, now, 2*time.Second, shortWait)
		So(l.isBusy(now), ShouldBeFalse)
		_, began = addSamples(&l, now, time.Second, longWait)
		So(began, ShouldBeTrue)
	})
	Convey("Callers are asked to open new connections only once the balancer has noticed", t, func() {
		l := load{}
		now, _ := addSamples(&l, start, time.Second, longWait)
		So(l.isBusy(now), ShouldBeTrue)
		So(l.isShedding(now), ShouldBeFalse)
		now, _ = addSamples(&l, now, balancerDelay, longWait)
		So(l.isShedding(now), ShouldBeTrue)
		now, _ = addSamples(&l, now, 10*time.Second, shortWait)
		So(l.isShedding(now), ShouldBeFalse)
	})
	Convey("Each byte that a box sends itself is measured, until the context ends", t, func() {
		ctx, stop := context.WithTimeout(t.Context(), 3*probeInterval)
		defer stop()
		l := load{}
		So(l.measure(ctx, func() {}), ShouldBeNil)
		So(l.meanDelay(), ShouldBeGreaterThan, 0)
	})
}

// TestRefusedCallersReturnOnceTheyAreSentElsewhere guards against retries that come to the same overloaded
// box, which then refuses most of its time, or all at once to the next one.
func TestRefusedCallersReturnOnceTheyAreSentElsewhere(t *testing.T) {
	const longWait, draws = 300 * time.Millisecond, 200
	start := time.Unix(1000, 0)
	g := &Gateway{}
	// delays draws the earliest and the latest retry.
	delays := func(now time.Time) (earliest, latest time.Duration) {
		earliest = time.Hour
		for range draws {
			delay := g.retryDelay(otherBoxRetryDelay, now)
			earliest, latest = min(earliest, delay), max(latest, delay)
		}
		return earliest, latest
	}
	Convey("A box that is not overloaded asks for a retry soon", t, func() {
		earliest, latest := delays(start)
		So(earliest, ShouldBeGreaterThanOrEqualTo, otherBoxRetryDelay)
		So(latest, ShouldBeLessThanOrEqualTo, 2*otherBoxRetryDelay)
	})
	Convey("An overloaded box asks for it once the balancer has noticed, and not for all at once", t, func() {
		now, _ := addSamples(&g.load, start, time.Second, longWait)
		left := g.load.busySince.Add(balancerDelay).Sub(now)
		earliest, latest := delays(now)
		So(earliest, ShouldBeGreaterThanOrEqualTo, left)
		So(latest, ShouldBeGreaterThan, left+left/2)
		now, _ = addSamples(&g.load, now, balancerDelay, longWait)
		_, latest = delays(now)
		So(latest, ShouldBeLessThanOrEqualTo, 2*otherBoxRetryDelay)
	})
}
