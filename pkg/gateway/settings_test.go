package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCallersLimit(t *testing.T) {
	Convey("Callers' connections are bounded by descriptors and by memory", t, func() {
		So((&Settings{ConnectionsLimit: 4000}).callersLimit(), ShouldEqual, 1800)
		So((&Settings{ConnectionsLimit: 4000, MemoryLimit: 1 << 30}).callersLimit(), ShouldEqual, 1800)
		So((&Settings{ConnectionsLimit: 4000, MemoryLimit: 184 << 20}).callersLimit(), ShouldEqual, 1030)
	})
}
