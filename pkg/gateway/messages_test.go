package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

func TestDispatchMessages(t *testing.T) {
	Convey("A request and its verdict keep the fields for placement across boxes", t, func() {
		now := time.Now()
		call := encodeRequest(&dispatch.Request{ID: "r", Size: 17000, GapTarget: 300 * time.Millisecond, Arrived: now, Deadline: now.Add(time.Second)}, "", false)
		decoded := decodeRequest(call.GetAsk(), 1, now)
		So(decoded.Size, ShouldEqual, 17000)
		So(decoded.GapTarget, ShouldEqual, 300*time.Millisecond)
		v := decodeVerdict(encodeVerdict("r", verdict{endpoint: "e1", fetchFrom: "e2", rate: 56600}))
		So(v.fetchFrom, ShouldEqual, "e2")
		So(v.rate, ShouldEqual, 56600)
	})
	Convey("Messages of an older build, without these fields, name no source and no rate", t, func() {
		v := decodeVerdict(&peerpb.Verdict{ID: "r", Endpoint: "e1"})
		So(v.fetchFrom, ShouldBeEmpty)
		So(v.rate, ShouldBeZeroValue)
	})
}
