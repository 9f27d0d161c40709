package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/registry"
)

// TestLapsingEntryIsToldAsGone guards against boxes of an earlier release that would use an
// endpoint for ever although its entry is in a grace period.
func TestLapsingEntryIsToldAsGone(t *testing.T) {
	Convey("An entry in its grace period is marked as gone for boxes that do not support grace periods", t, func() {
		now := time.Now()
		for _, left := range []time.Duration{time.Second, -time.Second} {
			entry := registry.Entry{Version: 3, GraceEnd: now.Add(left)}
			entry.ID = "a"
			message := encodeEndpoint(&entry, now)
			So(message.Gone, ShouldBeTrue)
			read := decodeEntry(message, now)
			So(read.Gone, ShouldBeFalse)
			So(read.GraceEnd, ShouldEqual, now.Add(max(left, time.Microsecond)))
		}
		gone := registry.Entry{Version: 3, Gone: true}
		So(decodeEntry(encodeEndpoint(&gone, now), now).Gone, ShouldBeTrue)
		So(decodeEntry(encodeEndpoint(&gone, now), now).GraceEnd.IsZero(), ShouldBeTrue)
	})
}
