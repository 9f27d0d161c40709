package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFloodsJudge(t *testing.T) {
	Convey("Check returns what the next Enter does, and records nothing", t, func() {
		f := BacklogLimiter{}
		for range maxWaitingBusy {
			So(f.Check("ward", true, start), ShouldEqual, Admitted)
			So(f.Enter("ward", true, start), ShouldEqual, Admitted)
		}
		So(f.Check("ward", true, start), ShouldEqual, RefusedBusy)
		So(f.Check("ward", false, start), ShouldEqual, Admitted)
		So(f.Check("other", true, start), ShouldEqual, Admitted)
		f.Leave("ward", true, start)
		So(f.Check("ward", true, start), ShouldEqual, Admitted)
	})
}

func TestFloods(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("The requests of a customer within its share are not bounded", t, func() {
		f := BacklogLimiter{}
		for range 10 * MaxWaitingOverShare {
			So(f.Enter("ward", false, start), ShouldEqual, Admitted)
		}
		for range 10 * MaxWaitingOverShare {
			f.Leave("ward", false, start)
		}
	})
	Convey("Over its share the requests of a customer are bounded, and those of others are not", t, func() {
		f := BacklogLimiter{}
		So(f.Enter("camp", false, start), ShouldEqual, Admitted)
		f.Leave("camp", true, start)
		for range MaxWaitingOverShare {
			So(f.Enter("camp", false, start), ShouldEqual, Admitted)
		}
		So(f.Enter("camp", false, start), ShouldEqual, RefusedOverShare)
		So(f.Enter("ward", false, start), ShouldEqual, Admitted)
		f.Leave("camp", false, start)
		So(f.Enter("camp", false, start), ShouldEqual, Admitted)
		Convey("until some time after the last refusal for being over its share", func() {
			So(f.Enter("camp", false, start.Add(overShareTTL)), ShouldEqual, Admitted)
		})
	})
	Convey("At an overloaded box the requests of every customer are bounded", t, func() {
		f := BacklogLimiter{}
		for range maxWaitingBusy {
			So(f.Enter("ward", true, start), ShouldEqual, Admitted)
		}
		So(f.Enter("ward", true, start), ShouldEqual, RefusedBusy)
		So(f.Enter("camp", true, start), ShouldEqual, Admitted)
		f.Leave("ward", true, start)
		So(f.Enter("ward", true, start), ShouldEqual, Admitted)
		So(f.Enter("ward", true, start), ShouldEqual, RefusedOverShare)
		So(f.Enter("ward", false, start), ShouldEqual, Admitted)
	})
	Convey("Customers without requests are evicted", t, func() {
		f := BacklogLimiter{}
		for i := range 3 * maxTrackedCustomers {
			name := fmt.Sprint(i)
			So(f.Enter(name, false, start.Add(time.Duration(i)*time.Second)), ShouldEqual, Admitted)
			f.Leave(name, true, start.Add(time.Duration(i)*time.Second))
		}
		So(len(f.customers), ShouldBeLessThanOrEqualTo, maxTrackedCustomers)
	})
}
