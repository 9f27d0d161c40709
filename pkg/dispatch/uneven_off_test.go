package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnevenEnginesOff guards against homes that move, and engines that are avoided, in pools whose
// prompts are expensive to copy.
func TestUnevenEnginesOff(t *testing.T) {
	Convey("Without the rule, all weights stay equal and no pause is predicted, however rates differ", t, func() {
		s := newAddressSimulation(1, engineSpeeds{rotation: unevenSpeeds})
		s.pool.Rules.UnevenEngines = false
		s.play(8*time.Second, addressCustomer("a", 1)...)
		So(s.pool.uneven, ShouldBeFalse)
		So(s.pool.spread.isWide, ShouldBeFalse)
		for _, e := range s.pool.sorted {
			So(e.rating.Weight(), ShouldEqual, 1)
		}
	})
}
