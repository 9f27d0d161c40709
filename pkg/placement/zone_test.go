package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSpreadZones(t *testing.T) {
	Convey("The first engine of each zone comes before the second of any", t, func() {
		zone := func(engine string) string { return engine[:1] }
		So(SpreadZones([]string{"a1", "a2", "b1", "a3", "c1", "b2"}, zone), ShouldResemble, []string{"a1", "b1", "c1", "a2", "b2", "a3"})
		So(SpreadZones([]string{"a1", "a2", "a3"}, zone), ShouldResemble, []string{"a1", "a2", "a3"})
	})
}

func TestCrossings(t *testing.T) {
	Convey("Crossings from a zone add up, are forgotten, and end with a copy", t, func() {
		var c Crossings
		now := time.Unix(1000, 0)
		So(c.Paid("a", now), ShouldEqual, 0)
		c.Add("a", 17000, now)
		c.Add("a", 17000, now)
		So(c.Paid("a", now), ShouldEqual, 2*CrossingCost(17000))
		So(c.Paid("b", now), ShouldEqual, 0)
		So(c.Paid("a", now.Add(2*time.Minute)), ShouldBeLessThan, 10*time.Millisecond)
		c.Add("a", 17000, now.Add(2*time.Minute))
		c.Clear("a")
		So(c.Paid("a", now.Add(2*time.Minute)), ShouldEqual, 0)
	})
}
