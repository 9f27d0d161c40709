package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWordTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	const shortAim = 100 * time.Millisecond
	Convey("A box that hears late waits longer, also when all words came too late", t, func() {
		w := wordTimes{}
		So(w.patience(shortAim), ShouldEqual, leastPatience)
		for i := range 50 {
			id := fmt.Sprint(i)
			w.gaveUp(id, start)
			w.late(id, start.Add(60*time.Millisecond))
		}
		So(w.patience(shortAim), ShouldBeGreaterThan, 200*time.Millisecond)
		So(w.givenUp, ShouldBeEmpty)
		for range 100 {
			w.came(2 * time.Millisecond)
		}
		So(w.patience(shortAim), ShouldEqual, leastPatience)
	})
	Convey("A box that hangs gives no late words, so patience stays short", t, func() {
		w := wordTimes{}
		for i := range 5 * mostGivenUp {
			w.gaveUp(fmt.Sprint(i), start)
		}
		So(w.patience(shortAim), ShouldEqual, leastPatience)
		So(len(w.givenUp), ShouldBeLessThanOrEqualTo, mostGivenUp)
	})
	Convey("Who has time waits for a box that stands still for more than a tenth of a second", t, func() {
		w := wordTimes{}
		for range 100 {
			w.came(2 * time.Millisecond)
		}
		So(w.patience(600*time.Millisecond), ShouldEqual, 200*time.Millisecond)
		So(w.patience(300*time.Millisecond), ShouldEqual, 100*time.Millisecond)
		So(w.patience(10*time.Second), ShouldEqual, mostPatience)
	})
	Convey("Patience leaves time to decide alone", t, func() {
		w := wordTimes{}
		for range 100 {
			w.came(time.Minute)
		}
		So(w.patience(shortAim), ShouldEqual, mostPatience)
	})
}
