package peer

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// pagedDirectory returns one endpoint at a time, with the name of the box as its ID.
type pagedDirectory struct {
	box string
	// onPage is called with each part.
	onPage func()
}

func (p pagedDirectory) Directory(since uint64) *peerpb.Directory {
	p.onPage()
	return &peerpb.Directory{
		Endpoints: []*peerpb.Endpoint{{ID: p.box, Version: since + 1}},
		More:      since < 2,
		Knowledge: &peerpb.Knowledge{Known: since + 1},
	}
}

// TestPartsAreOfOneLife guards against a directory that misses endpoints removed while the peer
// restarted between two parts: FetchDirectory has to read all parts over the session of the
// first one.
func TestPartsAreOfOneLife(t *testing.T) {
	Convey("All parts come over the session of the first one", t, func() {
		asking, _ := startExchange(t, "asking", 1)
		asked, address := startExchange(t, "asked", 2)
		restarted, restartedAddress := startExchange(t, "again", 3)
		restarted.Directory = pagedDirectory{box: "again", onPage: func() {}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(asking.Connect(ctx, "asked", address), ShouldBeNil)
		So(asking.Connect(ctx, "again", restartedAddress), ShouldBeNil)
		asked.Directory = pagedDirectory{box: "asked", onPage: func() {
			asking.mu.Lock()
			defer asking.mu.Unlock()
			asking.links["asked"].session.Store(asking.links["again"].session.Load())
		}}
		directory, err := asking.FetchDirectory("asked", 0)
		So(err, ShouldBeNil)
		So(directory.Knowledge.Known, ShouldEqual, 3)
		for _, endpoint := range directory.Endpoints {
			So(endpoint.ID, ShouldEqual, "asked")
		}
	})
}
