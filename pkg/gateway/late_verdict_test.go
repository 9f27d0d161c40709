package gateway

import (
	"bufio"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// TestLateGrant guards against a grant that comes after this box has decided alone: returning it by
// the ID of its request would end, at the dispatcher, the slot in which the request runs.
func TestLateGrant(t *testing.T) {
	Convey("A grant that comes late or twice does not end the request that runs", t, func() {
		g := newQueueingBox(t, "3")
		s := g.pool("api").groups[0]
		s.granted.Window, s.poolHistories = time.Second, newHistories(time.Second)
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		r := &remote{box: "box-2", stream: peer.NewDispatchStream(here, time.Second), ended: make(chan struct{})}
		s.remote = r
		req := &dispatch.Request{ID: "q", Customer: "ward", Arrived: time.Now(), LatencyTarget: time.Second, Deadline: time.Now().Add(time.Second)}
		p := &pending{remote: r, queued: make(chan struct{}, 1), decided: make(chan verdict, 1), askedAt: time.Now()}
		s.pending["q"] = p
		s.cancelPending("q", p)
		s.recordGrant(req, verdict{endpoint: "api-1"}, nil)
		s.handleVerdict(r, &peerpb.Verdict{ID: "q", Endpoint: "api-2"})
		s.handleVerdict(r, &peerpb.Verdict{ID: "q", Endpoint: "api-2"})
		s.end("q", dispatch.Done{})

		writing := errgroup.Group{}
		writing.Go(func() error { return r.stream.Write(t.Context()) })
		reader := bufio.NewReader(there)
		So(there.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		var kinds []string
		for range 3 {
			message := &peerpb.Call{}
			So(protodelim.UnmarshalFrom(reader, message), ShouldBeNil)
			switch kind := message.Kind.(type) {
			case *peerpb.Call_Withdraw:
				kinds = append(kinds, "withdraw")
			case *peerpb.Call_Ask:
				kinds = append(kinds, "runs at "+kind.Ask.Endpoint)
			case *peerpb.Call_End:
				_, done := decodeOutcome(kind.End).(dispatch.Done)
				kinds = append(kinds, map[bool]string{true: "done", false: "unused"}[done])
			}
		}
		So(kinds, ShouldResemble, []string{"withdraw", "runs at api-1", "done"})
	})
}

// TestUnreachableDispatcher guards against requests for slots that each wait for a connection to a
// dispatcher that can not be reached: opening one takes longer than any of them waits, so none of
// them sees it fail.
func TestUnreachableDispatcher(t *testing.T) {
	Convey("A box to which no stream can be opened is not asked for a while", t, func() {
		s := newQueueingBox(t, "3").pool("api").groups[0]
		o := &opening{box: "box-9", done: make(chan struct{})}
		s.open(o)
		So(o.err, ShouldNotBeNil)
		So(s.suspects["box-9"].until, ShouldHappenAfter, time.Now())
	})
}
