package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFloods(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("A customer within its share has as many requests waiting as it likes", t, func() {
		f := floods{}
		for range 10 * floodMost {
			So(f.enter("ward", false, start), ShouldEqual, admitted)
		}
		for range 10 * floodMost {
			f.leave("ward", false, start)
		}
	})
	Convey("Beyond its share no more than a number wait, and others are not concerned", t, func() {
		f := floods{}
		So(f.enter("camp", false, start), ShouldEqual, admitted)
		f.leave("camp", true, start)
		for range floodMost {
			So(f.enter("camp", false, start), ShouldEqual, admitted)
		}
		So(f.enter("camp", false, start), ShouldEqual, beyondShare)
		So(f.enter("ward", false, start), ShouldEqual, admitted)
		f.leave("camp", false, start)
		So(f.enter("camp", false, start), ShouldEqual, admitted)
		Convey("until some time after the last refusal that said so", func() {
			So(f.enter("camp", false, start.Add(overMemory)), ShouldEqual, admitted)
		})
	})
	Convey("At an overloaded box few requests wait, of any customer", t, func() {
		f := floods{}
		for range busyMost {
			So(f.enter("ward", true, start), ShouldEqual, admitted)
		}
		So(f.enter("ward", true, start), ShouldEqual, boxBusy)
		So(f.enter("camp", true, start), ShouldEqual, admitted)
		f.leave("ward", true, start)
		So(f.enter("ward", true, start), ShouldEqual, admitted)
		So(f.enter("ward", true, start), ShouldEqual, beyondShare)
		So(f.enter("ward", false, start), ShouldEqual, admitted)
	})
	Convey("Customers without requests are forgotten", t, func() {
		f := floods{}
		for i := range 3 * mostFloods {
			name := fmt.Sprint(i)
			So(f.enter(name, false, start.Add(time.Duration(i)*time.Second)), ShouldEqual, admitted)
			f.leave(name, true, start.Add(time.Duration(i)*time.Second))
		}
		So(len(f.customers), ShouldBeLessThanOrEqualTo, mostFloods)
	})
}
