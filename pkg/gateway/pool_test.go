package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/partition"
)

func TestGroupsStay(t *testing.T) {
	start := time.Unix(1000, 0)
	of := func(engines, groups int) *pool {
		return &pool{engines: engines, groups: make([]*scheduler, groups)}
	}
	Convey("A new pool has as many groups as its engines require", t, func() {
		So(of(partition.MaxGroupEngines, 0).groupCount(start), ShouldEqual, 1)
		So(of(partition.MaxGroupEngines+1, 0).groupCount(start), ShouldEqual, 2)
	})
	Convey("Crashed engines listed beside their replacements cause no repartition", t, func() {
		p := of(2*partition.MaxGroupEngines+20, 2)
		So(p.groupCount(start), ShouldEqual, 2)
		So(p.groupCount(start.Add(5*time.Second)), ShouldEqual, 2)
		p.engines = 2*partition.MaxGroupEngines - 10
		So(p.groupCount(start.Add(6*time.Second)), ShouldEqual, 2)
		p.engines = 2*partition.MaxGroupEngines + 20
		So(p.groupCount(start.Add(20*time.Second)), ShouldEqual, 2)
	})
	Convey("A pool that has grown or shrunk for repartitionDelay is repartitioned", t, func() {
		p := of(2*partition.MaxGroupEngines+20, 2)
		So(p.groupCount(start), ShouldEqual, 2)
		So(p.groupCount(start.Add(repartitionDelay)), ShouldEqual, 4)
		p = of(partition.MaxGroupEngines-10, 2)
		So(p.groupCount(start), ShouldEqual, 2)
		So(p.groupCount(start.Add(repartitionDelay)), ShouldEqual, 1)
	})
}
