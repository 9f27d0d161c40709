package peer

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// inParts tells one endpoint at a time, named like the life that tells it.
type inParts struct {
	life string
	// told is called with each part.
	told func()
}

func (p inParts) Directory(since uint64) *peerpb.Directory {
	p.told()
	return &peerpb.Directory{
		Endpoints: []*peerpb.Endpoint{{ID: p.life, Version: since + 1}},
		More:      since < 2,
		Knowledge: &peerpb.Knowledge{Known: since + 1},
	}
}

// TestPartsAreOfOneLife guards against an account of the endpoints that leaves out what went while
// the box that tells it started again.
func TestPartsAreOfOneLife(t *testing.T) {
	Convey("All parts are told by the life that told the first one", t, func() {
		asking, _ := startExchange(t, "asking", 1)
		asked, address := startExchange(t, "asked", 2)
		again, addressAgain := startExchange(t, "again", 3)
		again.Directory = inParts{life: "again", told: func() {}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(asking.Reach(ctx, "asked", address), ShouldBeNil)
		So(asking.Reach(ctx, "again", addressAgain), ShouldBeNil)
		asked.Directory = inParts{life: "asked", told: func() {
			asking.mu.Lock()
			defer asking.mu.Unlock()
			asking.peers["asked"].session.Store(asking.peers["again"].session.Load())
		}}
		directory, err := asking.FetchDirectory("asked", 0)
		So(err, ShouldBeNil)
		So(directory.Knowledge.Known, ShouldEqual, 3)
		for _, endpoint := range directory.Endpoints {
			So(endpoint.ID, ShouldEqual, "asked")
		}
	})
}
