package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStartLimiter(t *testing.T) {
	Convey("A router takes on no more requests than may start at once", t, func() {
		l := &StartLimiter{Max: 4}
		for range 4 {
			So(l.Admits("flood"), ShouldBeTrue)
			l.Start("flood")
		}
		So(l.Admits("flood"), ShouldBeFalse)
		l.Finish("flood")
		So(l.Admits("flood"), ShouldBeTrue)
	})
	Convey("A customer that fills the bound keeps no other one from its even part", t, func() {
		l := &StartLimiter{Max: 4}
		for range 4 {
			l.Start("flood")
		}
		for range 2 {
			So(l.Admits("small"), ShouldBeTrue)
			l.Start("small")
		}
		So(l.Admits("small"), ShouldBeFalse)
		So(l.Admits("flood"), ShouldBeFalse)
	})
	Convey("Without a bound everything is admitted", t, func() {
		l := &StartLimiter{}
		for range 1000 {
			So(l.Admits("flood"), ShouldBeTrue)
			l.Start("flood")
		}
	})
}
