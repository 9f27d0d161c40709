package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCallersLimit(t *testing.T) {
	Convey("The connections of callers are bounded by descriptors and by memory", t, func() {
		So((&Settings{MaxConnections: 4000}).maxCallers(), ShouldEqual, 1800)
		So((&Settings{MaxConnections: 4000, MaxMemory: 1 << 30}).maxCallers(), ShouldEqual, 1800)
		So((&Settings{MaxConnections: 4000, MaxMemory: 184 << 20}).maxCallers(), ShouldEqual, 1030)
	})
}
