package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/rollout"
)

func TestKeptOrders(t *testing.T) {
	const retention = 8 * time.Second
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	makeOrder := func(epochs, counter uint64, target string) rollout.Order {
		return rollout.Order{Service: "llm", Target: target, Version: epoch.Join(epochs, counter), Within: time.Minute}
	}
	before := Orders{Version: epoch.Join(1, 30), Evacuated: []string{"a", "b"}, Rollouts: []rollout.Order{makeOrder(1, 25, "v3")}}
	after := func(orders Orders) Orders {
		orders.Keep(&before, now, retention)
		return orders
	}
	Convey("Orders that a restored store lacks stay in force for the retention time", t, func() {
		orders := after(Orders{Version: epoch.Join(2, 10), Evacuated: []string{"b"}})
		So(orders.IsEvacuated("a"), ShouldBeTrue)
		So(orders.Kept.Evacuated, ShouldResemble, []string{"a"})
		So(orders.ActiveRollouts(), ShouldResemble, before.Rollouts)
		So(orders.KeptUntil, ShouldEqual, now.Add(retention))
		So(orders.DiffersFrom(&before), ShouldBeFalse)
		withoutKept := orders.WithoutKept()
		So(withoutKept.IsEvacuated("a"), ShouldBeFalse)
		So(withoutKept.IsEvacuated("b"), ShouldBeTrue)
		So(withoutKept.ActiveRollouts(), ShouldBeEmpty)
	})
	Convey("Within one epoch, missing orders were withdrawn", t, func() {
		orders := after(Orders{Version: epoch.Join(1, 31)})
		So(orders.IsEvacuated("a"), ShouldBeFalse)
		So(orders.ActiveRollouts(), ShouldBeEmpty)
	})
	Convey("Kept orders stay in later versions, until their time is over or they are written again", t, func() {
		kept := after(Orders{Version: epoch.Join(2, 10)})
		later := Orders{Version: epoch.Join(2, 11), Evacuated: []string{"a"}}
		later.Keep(&kept, now.Add(time.Second), retention)
		So(later.Kept.Evacuated, ShouldResemble, []string{"b"})
		So(later.KeptUntil, ShouldEqual, now.Add(retention))
		over := Orders{Version: epoch.Join(2, 12)}
		over.Keep(&kept, now.Add(retention), retention)
		So(over.Kept.IsEmpty(), ShouldBeTrue)
	})
	Convey("An older order of the copy does not replace a roll-out; a later one and the same one do", t, func() {
		for _, c := range []struct {
			order    rollout.Order
			replaces bool
		}{
			{makeOrder(2, 12, "v2"), false},
			{makeOrder(2, 31, "v4"), true},
			{makeOrder(2, 12, "v3"), true},
		} {
			orders := after(Orders{Version: epoch.Join(2, 40), Rollouts: []rollout.Order{c.order}})
			wanted := before.Rollouts
			if c.replaces {
				wanted = []rollout.Order{c.order}
			}
			So(orders.ActiveRollouts(), ShouldResemble, wanted)
		}
	})
	Convey("Orders that a peer keeps are added, but not twice", t, func() {
		reported := Orders{Version: epoch.Join(2, 10), Kept: KeptOrders{Evacuated: []string{"a"}, Rollouts: before.Rollouts}, KeptUntil: now.Add(time.Second)}
		orders := after(reported)
		So(orders.Kept.Evacuated, ShouldResemble, []string{"a", "b"})
		So(orders.Kept.Rollouts, ShouldHaveLength, 1)
		So(orders.KeptUntil, ShouldEqual, now.Add(retention))
	})
}
