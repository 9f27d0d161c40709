package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// TestLostHolders guards against engines that are gone but stay in memory, with the contents of
// their caches, for as long as a part that nobody requests any more is known.
func TestLostHolders(t *testing.T) {
	Convey("A part does not keep engines that are gone", t, func() {
		p := newCopyingPool(3)
		reportPart(p, "e0", 7)
		reportPart(p, "e1", 7)
		So(p.CountHomes().Copies, ShouldEqual, 2)
		endpoints := zonedEndpoints(3)
		endpoints[0].Facts = lifecycle.Facts{Born: 2}
		p.SetEndpoints(endpoints, start.Add(time.Second))
		So(p.parts[7].holders, ShouldHaveLength, 1)
		So(p.parts[7].holders[0] == p.engines["e1"], ShouldBeTrue)
		p.SetEndpoints([]route.Endpoint{endpoints[0]}, start.Add(2*time.Second))
		So(p.parts[7].holders, ShouldBeEmpty)
		So(p.CountHomes().Cached, ShouldEqual, 0)
	})
}
