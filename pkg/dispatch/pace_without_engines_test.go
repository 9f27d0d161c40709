package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStreamsEndWithoutEngines guards against a chunk size that is infinite, and not a number after
// the next stream: no pause would be predicted from then on.
func TestStreamsEndWithoutEngines(t *testing.T) {
	Convey("Streams that end while no engine is listed leave a finite chunk size", t, func() {
		p := newUnevenPool()
		req := newRequest("1", "a", start, Part{ID: 1, Tokens: 100})
		req.MaxOutput, req.GapTarget = 200, 300*time.Millisecond
		p.addGrant(req, p.engines["e0"], start)
		p.Begin("1", start)
		p.SetEndpoints(nil, start)
		p.End("1", Done{}, start.Add(10*time.Second))
		So(p.chunkTokens, ShouldBeBetween, 1000, 10000)
	})
}
