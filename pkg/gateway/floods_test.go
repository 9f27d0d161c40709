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
			So(f.enter("ward", start), ShouldBeTrue)
		}
		for range 10 * floodMost {
			f.leave("ward", false, start)
		}
	})
	Convey("Beyond its share no more than a number wait, and others are not concerned", t, func() {
		f := floods{}
		So(f.enter("camp", start), ShouldBeTrue)
		f.leave("camp", true, start)
		for range floodMost {
			So(f.enter("camp", start), ShouldBeTrue)
		}
		So(f.enter("camp", start), ShouldBeFalse)
		So(f.enter("ward", start), ShouldBeTrue)
		f.leave("camp", false, start)
		So(f.enter("camp", start), ShouldBeTrue)
		Convey("until some time after the last refusal that said so", func() {
			So(f.enter("camp", start.Add(overMemory)), ShouldBeTrue)
		})
	})
	Convey("Customers without requests are forgotten", t, func() {
		f := floods{}
		for i := range 3 * mostFloods {
			name := fmt.Sprint(i)
			So(f.enter(name, start.Add(time.Duration(i)*time.Second)), ShouldBeTrue)
			f.leave(name, true, start.Add(time.Duration(i)*time.Second))
		}
		So(len(f.customers), ShouldBeLessThanOrEqualTo, mostFloods)
	})
}
