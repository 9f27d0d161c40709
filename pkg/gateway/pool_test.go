package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

func TestGroupsStay(t *testing.T) {
	start := time.Unix(1000, 0)
	of := func(engines, groups int) *pool {
		return &pool{endpoints: make([]route.Endpoint, engines), groups: make([]*scheduler, groups)}
	}
	Convey("A new pool has as many groups as its engines ask for", t, func() {
		So(of(90, 0).count(start), ShouldEqual, 2)
		So(of(140, 0).count(start), ShouldEqual, 4)
	})
	Convey("Engines that crashed beside those that replace them divide nothing", t, func() {
		p := of(113, 2)
		So(p.count(start), ShouldEqual, 2)
		So(p.count(start.Add(5*time.Second)), ShouldEqual, 2)
		p.endpoints = p.endpoints[:90]
		So(p.count(start.Add(6*time.Second)), ShouldEqual, 2)
		p.endpoints = make([]route.Endpoint, 113)
		So(p.count(start.Add(20*time.Second)), ShouldEqual, 2)
	})
	Convey("A pool that has grown for good is divided anew, and so is one that shrank", t, func() {
		p := of(113, 2)
		So(p.count(start), ShouldEqual, 2)
		So(p.count(start.Add(divideAfter)), ShouldEqual, 4)
		p = of(40, 2)
		So(p.count(start), ShouldEqual, 2)
		So(p.count(start.Add(divideAfter)), ShouldEqual, 1)
	})
}
