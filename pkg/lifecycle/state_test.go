package lifecycle

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	bound = Bound{Duration: 3 * time.Second, MaxPerSecond: 14.1}
)

// maxWithinSecond returns the largest number of times within any second.
func maxWithinSecond(times []time.Time) (maxCount int) {
	for first := range times {
		count := 0
		for _, at := range times[first:] {
			if at.Sub(times[first]) < time.Second {
				count++
			}
		}
		maxCount = max(maxCount, count)
	}
	return maxCount
}

// sendAll tries to send each millisecond, and returns when it could.
func sendAll(l *State, from time.Time, length time.Duration, fraction float64) (sent []time.Time) {
	for now := from; now.Before(from.Add(length)); now = now.Add(time.Millisecond) {
		if l.CanSend(bound, fraction, now) {
			l.RecordSent(now)
			sent = append(sent, now)
		}
	}
	return sent
}

func TestCold(t *testing.T) {
	Convey("A cold endpoint gets no more than its bound in any second, and 0.7 of it at least", t, func() {
		l := &State{Facts: Facts{ColdUntil: start.Add(time.Minute)}}
		sent := sendAll(l, start, 10*time.Second, 1)
		So(maxWithinSecond(sent), ShouldBeLessThanOrEqualTo, 14)
		So(len(sent), ShouldBeGreaterThanOrEqualTo, int(0.7*bound.MaxPerSecond*10))
	})
	Convey("A warm endpoint gets all requests, and these count once it is cold", t, func() {
		l := &State{}
		So(sendAll(l, start, 100*time.Millisecond, 1), ShouldHaveLength, 100)
		l.Update(Facts{ColdUntil: start.Add(time.Minute)}, bound, start)
		So(l.CanSend(bound, 1, start.Add(time.Second)), ShouldBeFalse)
		So(l.CanSend(bound, 1, start.Add(2*time.Second)), ShouldBeTrue)
	})
	Convey("A cold endpoint of a service without a bound gets all requests", t, func() {
		l := &State{Facts: Facts{ColdUntil: start.Add(time.Minute)}}
		So(l.CanSend(Bound{}, 1, start), ShouldBeTrue)
	})
	Convey("An endpoint counts as cold for the assumed time, also if it reports that it is warm", t, func() {
		l := &State{}
		l.AssumeCold(Returned, start.Add(3*time.Second))
		l.Update(Facts{}, bound, start)
		cold, source := l.Cold(start.Add(2999 * time.Millisecond))
		So(cold, ShouldBeTrue)
		So(source, ShouldEqual, Returned)
		cold, _ = l.Cold(start.Add(3 * time.Second))
		So(cold, ShouldBeFalse)
	})
	Convey("An endpoint counts as cold once its zone's evacuation is withdrawn", t, func() {
		l := &State{Facts: Facts{Evacuated: true}}
		So(l.CanSend(bound, 1, start), ShouldBeFalse)
		l.Update(Facts{}, bound, start)
		cold, source := l.Cold(start.Add(time.Second))
		So(cold, ShouldBeTrue)
		So(source, ShouldEqual, Restored)
	})
}

func TestAdmits(t *testing.T) {
	for name, facts := range map[string]Facts{"leaving": {Leaving: true}, "evacuated": {Evacuated: true}} {
		Convey("Nothing is sent to an endpoint that is "+name, t, func() {
			So(facts.Admits(), ShouldBeFalse)
			So((&State{Facts: facts}).CanSend(Bound{}, 1, start), ShouldBeFalse)
		})
	}
	Convey("A later instance supersedes an earlier one; unknown instances do not", t, func() {
		early, late, unknown := Facts{Born: 5}, Facts{Born: 6}, Facts{}
		So(late.Supersedes(&early), ShouldBeTrue)
		So(early.Supersedes(&late), ShouldBeFalse)
		So(early.IsOutdatedBy(&late), ShouldBeTrue)
		So(unknown.Supersedes(&early), ShouldBeFalse)
		So(early.Supersedes(&unknown), ShouldBeFalse)
	})
}

// TestColdBound checks that boxes whose fractions add up to 1 keep to the bound together, at
// random times.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fractions := rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 5).Draw(t, "parts")
		total := 0.0
		for _, fraction := range fractions {
			total += fraction
		}
		states := make([]*State, len(fractions))
		for i := range states {
			states[i] = &State{Facts: Facts{ColdUntil: start.Add(time.Hour)}}
		}
		var sent []time.Time
		for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond) {
			for i, l := range states {
				for l.CanSend(bound, fractions[i]/max(1, total), now) {
					l.RecordSent(now)
					sent = append(sent, now)
				}
			}
		}
		if count := maxWithinSecond(sent); float64(count) > bound.MaxPerSecond {
			t.Fatalf("%d requests in one second, of %.1f", count, bound.MaxPerSecond)
		}
	})
}
