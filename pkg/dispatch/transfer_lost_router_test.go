package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSourceOfLostRouter guards against sources that are avoided because a router is gone: it no
// longer reports first events, which says nothing about the transfer.
func TestSourceOfLostRouter(t *testing.T) {
	Convey("The loss of a router does not count against the source of its transfers", t, func() {
		p := newCopyingPool(3)
		reportPart(p, "e1", 7)
		req := withPart("1", 7, start)
		req.Stream = 5
		So(grantAtHome(p, req, "e0", start).FetchFrom, ShouldEqual, "e1")
		lost := start.Add(time.Second)
		p.DropStream(5, lost)
		source := p.engines["e1"]
		So(source.sending, ShouldEqual, 0)
		So(p.engines["e0"].receiving, ShouldEqual, 0)
		So(p.TakeTransferCounts().Late, ShouldEqual, 0)
		So(p.canSend(source, lost), ShouldBeTrue)
	})
}
