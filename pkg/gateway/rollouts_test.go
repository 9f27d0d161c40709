package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/rollout"
)

func TestRolloutSides(t *testing.T) {
	now := time.Unix(1000, 0)
	others, target := rollout.VersionFilter{Version: "v2", Others: true}, rollout.VersionFilter{Version: "v2"}
	of := func(verdict rollout.Verdict, targets, rest int) *activeRollout {
		a := &activeRollout{Evaluator: rollout.Evaluator{Order: rollout.Order{Service: "llm", Target: "v2", Within: 10 * time.Second}}, targets: targets, others: rest, share: 0.05}
		a.Adopt(verdict, now)
		return a
	}
	Convey("While a version is proved, its share of the requests goes there", t, func() {
		So(of(rollout.Proving, 2, 2).versionsFor(0.01, now), ShouldResemble, target)
		So(of(rollout.Proving, 2, 2).versionsFor(0.5, now), ShouldResemble, others)
		So(of(rollout.Proving, 0, 2).versionsFor(0.01, now), ShouldResemble, others)
	})
	Convey("If only one side has endpoints and none is excluded, requests go to all", t, func() {
		So(of(rollout.Proving, 2, 0).versionsFor(0.5, now), ShouldResemble, rollout.VersionFilter{})
	})
	Convey("A version that is halted or rolled back gets nothing", t, func() {
		So(of(rollout.Halted, 2, 2).versionsFor(0, now), ShouldResemble, others)
		So(of(rollout.RolledBack, 2, 0).versionsFor(0, now), ShouldResemble, others)
	})
	Convey("Other versions get nothing after a roll-out has completed, until they have ended", t, func() {
		a := of(rollout.Completed, 2, 2)
		So(a.versionsFor(0.99, now), ShouldResemble, target)
		So(a.versionsFor(0.99, now.Add(completedTTL+time.Second)), ShouldResemble, rollout.VersionFilter{})
		So(of(rollout.Completed, 0, 2).versionsFor(0.99, now), ShouldResemble, rollout.VersionFilter{})
	})
}
