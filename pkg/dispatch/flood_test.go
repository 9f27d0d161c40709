package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFloodsJudge(t *testing.T) {
	Convey("A judgement is that of the next entry, and notes nothing", t, func() {
		f := Floods{}
		for range busyMost {
			So(f.Judge("ward", true, start), ShouldEqual, Admitted)
			So(f.Enter("ward", true, start), ShouldEqual, Admitted)
		}
		So(f.Judge("ward", true, start), ShouldEqual, RouterBusy)
		So(f.Judge("ward", false, start), ShouldEqual, Admitted)
		So(f.Judge("other", true, start), ShouldEqual, Admitted)
		f.Leave("ward", true, start)
		So(f.Judge("ward", true, start), ShouldEqual, Admitted)
	})
}

func TestFloods(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("A customer within its share has as many requests waiting as it likes", t, func() {
		f := Floods{}
		for range 10 * FloodMost {
			So(f.Enter("ward", false, start), ShouldEqual, Admitted)
		}
		for range 10 * FloodMost {
			f.Leave("ward", false, start)
		}
	})
	Convey("Beyond its share no more than a number wait, and others are not concerned", t, func() {
		f := Floods{}
		So(f.Enter("camp", false, start), ShouldEqual, Admitted)
		f.Leave("camp", true, start)
		for range FloodMost {
			So(f.Enter("camp", false, start), ShouldEqual, Admitted)
		}
		So(f.Enter("camp", false, start), ShouldEqual, BeyondShare)
		So(f.Enter("ward", false, start), ShouldEqual, Admitted)
		f.Leave("camp", false, start)
		So(f.Enter("camp", false, start), ShouldEqual, Admitted)
		Convey("until some time after the last refusal that said so", func() {
			So(f.Enter("camp", false, start.Add(overMemory)), ShouldEqual, Admitted)
		})
	})
	Convey("At an overloaded box few requests wait, of any customer", t, func() {
		f := Floods{}
		for range busyMost {
			So(f.Enter("ward", true, start), ShouldEqual, Admitted)
		}
		So(f.Enter("ward", true, start), ShouldEqual, RouterBusy)
		So(f.Enter("camp", true, start), ShouldEqual, Admitted)
		f.Leave("ward", true, start)
		So(f.Enter("ward", true, start), ShouldEqual, Admitted)
		So(f.Enter("ward", true, start), ShouldEqual, BeyondShare)
		So(f.Enter("ward", false, start), ShouldEqual, Admitted)
	})
	Convey("Customers without requests are forgotten", t, func() {
		f := Floods{}
		for i := range 3 * mostFloods {
			name := fmt.Sprint(i)
			So(f.Enter(name, false, start.Add(time.Duration(i)*time.Second)), ShouldEqual, Admitted)
			f.Leave(name, true, start.Add(time.Duration(i)*time.Second))
		}
		So(len(f.customers), ShouldBeLessThanOrEqualTo, mostFloods)
	})
}
