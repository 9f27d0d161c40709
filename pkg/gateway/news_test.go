package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/route"
)

// drawnNews is a fleet whose boxes learn of releases late, and lose each other and the store.
type drawnNews struct {
	// settle and maxAge stand for releaseSettleTime and maxNewsAge.
	settle, maxAge time.Duration
	draw           *rand.Rand
	now            time.Time
	// listed are the endpoints that the store lists, in the order in which they joined.
	listed []*route.Endpoint
	boxes  []*drawnReader
	// begun are the releases at which streams have begun.
	begun map[string]bool
	// sole counts the decisions by the only release, and wrong those that missed another one.
	sole, wrong int
}

// drawnReader is a box that reads the store from time to time.
type drawnReader struct {
	releases  continuation.Releases
	known     int
	currentAt time.Time
	// cutUntil is until when it reaches nothing, and arrivals are reads on their way to it.
	cutUntil time.Time
	readAt   time.Time
	arrivals []drawnRead
}

// drawnRead is what a read of the store returned, and when it arrives.
type drawnRead struct {
	known     int
	arrivesAt time.Time
}

const newsStep = 50 * time.Millisecond

func newDrawnNews(seed uint64, settle, maxAge time.Duration) *drawnNews {
	n := &drawnNews{settle: settle, maxAge: maxAge, draw: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), begun: map[string]bool{}}
	n.join("v1")
	for range 6 {
		box := &drawnReader{}
		n.receive(box, len(n.listed))
		box.releases.StartFirst(n.now)
		n.boxes = append(n.boxes, box)
	}
	return n
}

func (n *drawnNews) join(release string) {
	n.listed = append(n.listed, &route.Endpoint{ID: fmt.Sprint("engine-", len(n.listed)), Service: "llm", Release: release})
}

// upTo returns a duration of less than a maximum.
func (n *drawnNews) upTo(maximum time.Duration) time.Duration {
	return time.Duration(n.draw.Int64N(int64(maximum)))
}

// receive applies a read to a box.
func (n *drawnNews) receive(box *drawnReader, known int) {
	box.currentAt = n.now
	for box.known < known {
		box.releases.Apply([]route.Change{{After: n.listed[box.known]}}, n.now)
		box.known++
	}
}

// exchange has a box read the store, cut it off, or receive what is due.
func (n *drawnNews) exchange(box *drawnReader) {
	if n.draw.Float64() < 0.005 {
		box.cutUntil, box.arrivals = n.now.Add(n.upTo(8*time.Second)), nil
	}
	if n.now.Before(box.cutUntil) {
		return
	}
	if !n.now.Before(box.readAt) {
		box.readAt = n.now.Add(400*time.Millisecond + n.upTo(800*time.Millisecond))
		box.arrivals = append(box.arrivals, drawnRead{known: len(n.listed), arrivesAt: n.now.Add(n.upTo(maxNewsDelay - newsStep))})
	}
	left := box.arrivals[:0]
	for _, read := range box.arrivals {
		if n.now.Before(read.arrivesAt) {
			left = append(left, read)
			continue
		}
		n.receive(box, read.known)
	}
	box.arrivals = left
}

// begin has a box begin a stream at one of the releases that it knows and admits.
func (n *drawnNews) begin(box *drawnReader) {
	release, isHeld := box.releases.Settled("llm", n.settle, n.now)
	if !isHeld {
		release = n.listed[n.draw.IntN(box.known)].Release
	}
	n.begun[release] = true
}

// takeUp has a box take up a stream of which it knows nothing.
func (n *drawnNews) takeUp(box *drawnReader) {
	release, isOnly, isComplete := box.releases.Only("llm", time.Minute, n.now)
	if !isOnly || !isComplete || n.now.Sub(box.currentAt) >= n.maxAge {
		return
	}
	n.sole++
	for begun := range n.begun {
		if begun != release {
			n.wrong++
		}
	}
}

// run plays until some seconds after a second release has joined.
func (n *drawnNews) run() {
	joinsAt, end := n.now.Add(10*time.Second+n.upTo(10*time.Second)), n.now.Add(35*time.Second)
	for ; n.now.Before(end); n.now = n.now.Add(newsStep) {
		if len(n.listed) == 1 && n.now.After(joinsAt) {
			n.join("v2")
		}
		for _, box := range n.boxes {
			n.exchange(box)
			n.takeUp(box)
			n.begin(box)
		}
	}
}

// TestNoReleaseIsTheOnlyOneAfterAnother guards against a box that takes a release for the only one though
// streams have begun at another.
func TestNoReleaseIsTheOnlyOneAfterAnother(t *testing.T) {
	play := func(settle, maxAge time.Duration) (sole, wrong int) {
		for seed := range uint64(200) {
			n := newDrawnNews(seed, settle, maxAge)
			n.run()
			sole += n.sole
			wrong += n.wrong
		}
		return sole, wrong
	}
	Convey("In drawn fleets whose boxes are cut off, no box misses a release at which streams began", t, func() {
		sole, wrong := play(releaseSettleTime, maxNewsAge)
		t.Logf("%d decisions by the only release, %d wrong", sole, wrong)
		So(sole, ShouldBeGreaterThan, 0)
		So(wrong, ShouldEqual, 0)
	})
	Convey("Both times are needed", t, func() {
		_, wrong := play(0, maxNewsAge)
		t.Logf("streams begin at once at a new release: %d wrong", wrong)
		So(wrong, ShouldBeGreaterThan, 0)
		_, wrong = play(releaseSettleTime, time.Hour)
		t.Logf("what is known counts for ever: %d wrong", wrong)
		So(wrong, ShouldBeGreaterThan, 0)
	})
}

func TestPausesAreDetected(t *testing.T) {
	Convey("A process that stood still is known to have done so for a while after it", t, func() {
		tracker, now := &pauseTracker{}, time.Unix(1000, 0)
		for range 20 {
			So(tracker.isRecent(now), ShouldBeFalse)
			now = now.Add(originInterval)
		}
		now = now.Add(maxPause)
		So(tracker.isRecent(now), ShouldBeTrue)
		So(tracker.isRecent(now.Add(pauseRecovery-time.Millisecond)), ShouldBeTrue)
		So(tracker.isRecent(now.Add(pauseRecovery)), ShouldBeFalse)
	})
}
