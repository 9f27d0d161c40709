package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/rollout"
)

func TestRolloutSides(t *testing.T) {
	now := time.Unix(1000, 0)
	others, target := rollout.Side{Version: "v2", Others: true}, rollout.Side{Version: "v2"}
	of := func(verdict rollout.Verdict, targets, rest int) *activeRollout {
		m := &activeRollout{Judge: rollout.Judge{Order: rollout.Order{Service: "llm", Target: "v2", Within: 10 * time.Second}}, targets: targets, others: rest, share: 0.05}
		m.Adopt(verdict, now)
		return m
	}
	Convey("While a version is proved, the drawn part of the requests goes there", t, func() {
		So(of(rollout.Proving, 2, 2).side(0.01, now), ShouldResemble, target)
		So(of(rollout.Proving, 2, 2).side(0.5, now), ShouldResemble, others)
		So(of(rollout.Proving, 0, 2).side(0.01, now), ShouldResemble, others)
	})
	Convey("Where only one side has endpoints and none is ruled out, they serve all", t, func() {
		So(of(rollout.Proving, 2, 0).side(0.5, now), ShouldResemble, rollout.Side{})
	})
	Convey("A version that is halted or rolled back gets nothing", t, func() {
		So(of(rollout.Halted, 2, 2).side(0, now), ShouldResemble, others)
		So(of(rollout.RolledBack, 2, 0).side(0, now), ShouldResemble, others)
	})
	Convey("Others get nothing after a move is completed, until they have ended", t, func() {
		m := of(rollout.Completed, 2, 2)
		So(m.side(0.99, now), ShouldResemble, target)
		So(m.side(0.99, now.Add(completedTTL+time.Second)), ShouldResemble, rollout.Side{})
		So(of(rollout.Completed, 0, 2).side(0.99, now), ShouldResemble, rollout.Side{})
	})
}
