package lifecycle

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestRests(t *testing.T) {
	rest := func(born int64, after time.Duration) Rest {
		return Rest{Endpoint: "e", Born: born, Until: start.Add(after)}
	}
	Convey("A shorter rest does not shorten a longer one", t, func() {
		var r Rests
		So(r.Add(rest(0, 3*time.Second), start), ShouldBeTrue)
		So(r.Add(rest(0, time.Second), start), ShouldBeFalse)
		So(r.Until("e", 0), ShouldEqual, start.Add(3*time.Second))
		So(r.Add(rest(0, 4*time.Second), start), ShouldBeTrue)
		So(r.Until("e", 0), ShouldEqual, start.Add(4*time.Second))
	})
	Convey("A rest of a later instance does, and one of an earlier instance is ignored", t, func() {
		var r Rests
		r.Add(rest(5, 3*time.Second), start)
		So(r.Until("e", 6).IsZero(), ShouldBeTrue)
		So(r.Until("e", 5).IsZero(), ShouldBeFalse)
		So(r.Until("e", 0).IsZero(), ShouldBeFalse)
		So(r.Add(rest(6, time.Second), start), ShouldBeTrue)
		So(r.Add(rest(5, time.Hour), start), ShouldBeFalse)
		So(r.Until("e", 6), ShouldEqual, start.Add(time.Second))
	})
	Convey("Expired rests are not returned, and are dropped", t, func() {
		var r Rests
		for i := range 10000 {
			now := start.Add(time.Duration(i) * time.Second)
			r.Add(Rest{Endpoint: fmt.Sprint(i), Until: now.Add(3 * time.Second)}, now)
		}
		So(r.All(start.Add(9999*time.Second)), ShouldHaveLength, 3)
		So(len(r.byID), ShouldBeLessThanOrEqualTo, 2*minSweepThreshold)
	})
}

// TestRestBinds checks with random rests of random instances that a rest lasts until the
// latest time that the current instance asked for.
func TestRestBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Rests
		latest := map[int64]time.Time{}
		now, born := start, int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "starts") == 0 {
				born++
			}
			instance := born - int64(rapid.IntRange(0, 1).Draw(t, "late"))
			until := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest")) * time.Millisecond)
			r.Add(Rest{Endpoint: "e", Born: instance, Until: until}, now)
			if until.After(latest[instance]) {
				latest[instance] = until
			}
			if now.Before(latest[born]) && now.Before(latest[born]) != now.Before(r.Until("e", born)) {
				t.Fatalf("after %s the rest of instance %d has ended, which was asked for until %s", now.Sub(start), born, latest[born].Sub(start))
			}
		}
	})
}

func TestDeparture(t *testing.T) {
	Convey("A departure applies to its own instance, to earlier and to unknown ones", t, func() {
		d := Departure{Endpoint: "e", Born: 5}
		for born, concerned := range map[int64]bool{0: true, 4: true, 5: true, 6: false} {
			So(d.AppliesTo(&Facts{Born: born}), ShouldEqual, concerned)
		}
		So((&Departure{Endpoint: "e"}).AppliesTo(&Facts{Born: 6}), ShouldBeTrue)
	})
}
