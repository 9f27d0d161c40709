package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/memory"
)

func TestCallersLimit(t *testing.T) {
	Convey("The connections of callers are bounded by descriptors and by memory", t, func() {
		So((&Settings{MaxConnections: 4000}).maxCallers(), ShouldEqual, 1800)
		So((&Settings{MaxConnections: 4000, MaxMemory: 1 << 30}).maxCallers(), ShouldEqual, 1800)
		So((&Settings{MaxConnections: 4000, MaxMemory: 184 << 20}).maxCallers(), ShouldEqual, 1030)
	})
}

func TestLimitsFitOperators(t *testing.T) {
	const (
		largestBody      = 4 << 20
		largestHead      = 16 << 10
		longestHeadTime  = 3 * time.Second
		longestIdleReuse = 12 * time.Second
	)
	Convey("The largest bodies, heads and times of operators are within the limits of the box", t, func() {
		So(maxBodyBytes, ShouldBeGreaterThanOrEqualTo, largestBody)
		So(maxHeadBytes, ShouldBeGreaterThanOrEqualTo, largestHead)
		So(readTimeout, ShouldBeGreaterThan, longestHeadTime)
		So(idleTimeout, ShouldBeGreaterThan, longestIdleReuse)
	})
	Convey("One customer's largest request fits the memory of the smallest box", t, func() {
		smallest := Settings{MaxMemory: 144 << 20}
		budget := memory.Budget{Size: int64(float64(smallest.MaxMemory) * budgetMemoryShare)}
		So(budget.Reserve("ward", requestBytes+largestHead+largestBody), ShouldBeTrue)
	})
}
