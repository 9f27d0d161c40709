package continuation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/membership"
	"github.com/quaylead/quaylead/pkg/partition"
)

// scheme decides which boxes are notified of the origin of a stream, and which ones are asked for it.
type scheme struct {
	name string
	// notified and asked are numbers of boxes of the ranking, without the box itself.
	notified, asked int
	// byStream ranks the boxes anew for each stream, and not for the group of engines.
	byStream bool
	// repeats is set if the origins of streams in progress are sent to new replicas.
	repeats bool
}

var (
	// dispatcherAlone needs no message of its own: the dispatcher learns the origin with the grant.
	dispatcherAlone = scheme{name: "the dispatcher alone remembers", notified: 1, asked: 1}
	replicasOnce    = scheme{name: "two replicas, notified once", notified: 2, asked: 3}
	replicas        = scheme{name: "two replicas, notified again when they change", notified: 2, asked: 3, repeats: true}
	hashed          = scheme{name: "two boxes by the hash of the stream", notified: 2, asked: 3, byStream: true}
)

// drawnBox is a box that loses its memory when it is killed.
type drawnBox struct {
	continuation.Box
	candidate membership.Candidate
	origins   *continuation.Origins
	downUntil time.Duration
	life      int
}

// drawnStream is a stream in progress at a box or, while box is nil, waiting to be taken up.
type drawnStream struct {
	id        int
	release   string
	box       *drawnBox
	ends      time.Duration
	returnsAt time.Duration
	notified  []string
}

// drawnFleet is a fleet whose boxes are killed while they serve streams, in steps of time.
type drawnFleet struct {
	scheme
	draw    *rand.Rand
	boxes   []*drawnBox
	streams []*drawnStream
	now     time.Duration
	next    int
	// ranking is that of the group of engines, for the boxes that were live with liveKey.
	ranking []continuation.Box
	liveKey string
	// known, unknown and wrong count the streams taken up; messages counts origins sent.
	known, unknown, wrong, messages int
	// sessions are the pairs of boxes between which an origin was sent.
	sessions map[[2]string]bool
}

const (
	step     = 10 * time.Millisecond
	downTime = time.Second
	// repeatInterval is the time between two checks of whether the replicas changed.
	repeatInterval = 250 * time.Millisecond
	// meanStream is the mean time of a stream, and maxReturn the longest time after which a caller
	// takes it up.
	meanStream = 3 * time.Second
	maxReturn  = 500 * time.Millisecond
)

var epoch = time.Unix(1000, 0)

func newDrawnFleet(s scheme, boxes int, seed uint64) *drawnFleet {
	f := &drawnFleet{scheme: s, draw: rand.New(rand.NewPCG(seed, 1)), sessions: map[[2]string]bool{}}
	for i := range boxes {
		name := fmt.Sprintf("box-%d", i)
		box := &drawnBox{Box: continuation.Box{Name: name, Zone: fmt.Sprint("zone-", i%3)}, origins: &continuation.Origins{}}
		box.candidate = membership.Candidate{Name: name, Zone: box.Zone, Hash: xxhash.Sum64String(name), Cores: 0.4, Alive: true}
		f.boxes = append(f.boxes, box)
	}
	return f
}

func (f *drawnFleet) live() (live []*drawnBox) {
	for _, box := range f.boxes {
		if f.now >= box.downUntil {
			live = append(live, box)
		}
	}
	return live
}

// ranked returns the other live boxes, in the order for a stream.
func (f *drawnFleet) ranked(stream *drawnStream, own *drawnBox) (ranked []continuation.Box) {
	all := f.rankedForGroup()
	if f.byStream {
		all = rank(fmt.Sprint("stream-", stream.id), f.live())
	}
	for _, box := range all {
		if box.Name != own.Name {
			ranked = append(ranked, box)
		}
	}
	return ranked
}

// rankedForGroup returns the live boxes in the order for the group of engines.
func (f *drawnFleet) rankedForGroup() []continuation.Box {
	key := ""
	for _, box := range f.boxes {
		key += fmt.Sprint(f.now >= box.downUntil)
	}
	if key != f.liveKey {
		f.liveKey, f.ranking = key, rank("llm/0", f.live())
	}
	return f.ranking
}

func rank(group string, boxes []*drawnBox) (ranked []continuation.Box) {
	if len(boxes) == 0 {
		return nil
	}
	var others []membership.Candidate
	for _, box := range boxes[1:] {
		others = append(others, box.candidate)
	}
	for _, box := range partition.Rank(group, boxes[0].candidate, others) {
		ranked = append(ranked, continuation.Box{Name: box.Name, Zone: box.Zone})
	}
	return ranked
}

func (f *drawnFleet) named(name string) *drawnBox {
	return f.boxes[slices.IndexFunc(f.boxes, func(b *drawnBox) bool { return b.Name == name })]
}

// notify sends the origin of a stream to its replicas.
func (f *drawnFleet) notify(stream *drawnStream) {
	origin := continuation.Origin{Key: continuation.Key(stream.id), Release: stream.release, Expires: epoch.Add(f.now + time.Minute)}
	stream.box.origins.Add(origin)
	for _, box := range continuation.Replicas(f.ranked(stream, stream.box), f.notified) {
		replica := f.named(box.Name)
		life := fmt.Sprint(box.Name, replica.life)
		if slices.Contains(stream.notified, life) {
			continue
		}
		stream.notified = append(stream.notified, life)
		replica.origins.Add(origin)
		f.messages++
		f.sessions[[2]string{stream.box.Name, box.Name}] = true
	}
}

func (f *drawnFleet) begin() {
	live := f.live()
	if len(live) == 0 {
		return
	}
	f.next++
	stream := &drawnStream{
		id: f.next, release: fmt.Sprint("v1.", f.draw.IntN(3)), box: live[f.draw.IntN(len(live))],
		ends: f.now + time.Duration(f.draw.ExpFloat64()*float64(meanStream)),
	}
	f.notify(stream)
	f.streams = append(f.streams, stream)
}

// takeUp has a caller take a stream up at a random box, which goes on there if its release is known.
func (f *drawnFleet) takeUp(stream *drawnStream) (goesOn bool) {
	live := f.live()
	if len(live) == 0 {
		return true
	}
	taker := live[f.draw.IntN(len(live))]
	asked := []*drawnBox{taker}
	for _, box := range continuation.Replicas(f.ranked(stream, taker), f.asked) {
		asked = append(asked, f.named(box.Name))
	}
	for _, box := range asked {
		release, known := box.origins.Find(continuation.Key(stream.id), epoch.Add(f.now))
		if !known {
			continue
		}
		f.known++
		if release != stream.release {
			f.wrong++
		}
		stream.box, stream.notified = taker, nil
		f.notify(stream)
		return true
	}
	f.unknown++
	return false
}

func (f *drawnFleet) kill(box *drawnBox) {
	box.origins, box.downUntil = &continuation.Origins{}, f.now+downTime
	box.life++
	for _, stream := range f.streams {
		if stream.box == box {
			stream.box, stream.returnsAt = nil, f.now+time.Duration(f.draw.Float64()*float64(maxReturn))
		}
	}
}

// killer returns the boxes that are killed at a time.
type killer func(f *drawnFleet) []*drawnBox

// histories are the series of kills.
var histories = map[string]killer{
	"all boxes in turn, one each second": func(f *drawnFleet) []*drawnBox {
		if f.now%time.Second != 0 {
			return nil
		}
		return []*drawnBox{f.boxes[int(f.now/time.Second)%len(f.boxes)]}
	},
	"the first of the ranking and a random box, each second": func(f *drawnFleet) []*drawnBox {
		live := f.live()
		if f.now%time.Second != 0 || len(live) == 0 {
			return nil
		}
		return []*drawnBox{f.named(f.rankedForGroup()[0].Name), live[f.draw.IntN(len(live))]}
	},
	"a zone at once, every five seconds": func(f *drawnFleet) (killed []*drawnBox) {
		if f.now%(5*time.Second) != 0 {
			return nil
		}
		zone := fmt.Sprint("zone-", f.draw.IntN(3))
		for _, box := range f.boxes {
			if box.Zone == zone {
				killed = append(killed, box)
			}
		}
		return killed
	},
}

// run plays 20 seconds with a history.
func (f *drawnFleet) run(next killer) {
	const perSecond = 100
	for f.now = step; f.now < 20*time.Second; f.now += step {
		for _, box := range next(f) {
			f.kill(box)
		}
		if f.draw.Float64() < perSecond*step.Seconds() {
			f.begin()
		}
		f.streams = slices.DeleteFunc(f.streams, func(stream *drawnStream) bool {
			switch {
			case f.now >= stream.ends:
				return true
			case stream.box != nil:
				if f.repeats && f.now%repeatInterval == 0 {
					f.notify(stream)
				}
				return false
			}
			return f.now >= stream.returnsAt && !f.takeUp(stream)
		})
	}
}

// TestStreamsGoOnAfterKills weighs the schemes on the same series of kills, of 12 boxes.
func TestStreamsGoOnAfterKills(t *testing.T) {
	for name, history := range histories {
		shares := map[string]float64{}
		for _, s := range []scheme{dispatcherAlone, replicasOnce, replicas, hashed} {
			f := newDrawnFleet(s, 12, 7)
			f.run(history)
			shares[s.name] = float64(f.known) / float64(max(1, f.known+f.unknown))
			t.Logf("%s: %s: %d of %d taken up go on, %.2f messages a stream, %.0f sessions a box", name, s.name, f.known, f.known+f.unknown, float64(f.messages)/float64(f.next), float64(len(f.sessions))/12)
			Convey("No stream goes on at another release: "+name+", "+s.name, t, func() {
				So(f.wrong, ShouldEqual, 0)
			})
		}
		Convey("Nine in ten streams go on with replicas that are notified again: "+name, t, func() {
			So(shares[replicas.name], ShouldBeGreaterThanOrEqualTo, 0.9)
		})
	}
}
