package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// replica records the origins that it is sent.
type replica struct {
	mu      sync.Mutex
	origins continuation.Origins
	batches int
}

func (k *replica) AddOrigins(origins []continuation.Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.batches++
	for _, origin := range origins {
		k.origins.Add(origin)
	}
}

func (k *replica) FindOrigin(key continuation.Key, _ string) (answer OriginAnswer) {
	answer.Release, answer.Known = k.origins.Find(key, time.Now())
	return answer
}

func TestOriginsAreToldAndAsked(t *testing.T) {
	Convey("A box answers with what another one sent it", t, func() {
		telling, _ := startExchange(t, "telling", 1)
		keeping, address := startExchange(t, "keeping", 2)
		kept := &replica{}
		keeping.Origins = kept
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(telling.Connect(ctx, "keeping", address), ShouldBeNil)
		stream, err := telling.OpenOrigins("keeping")
		So(err, ShouldBeNil)
		const streams = 1000
		for i := range streams {
			release := "v1.0"
			if i%2 > 0 {
				release = ""
			}
			stream.Send(continuation.Origin{Key: continuation.Key(i * 1e15), Release: release, Expires: time.Now().Add(20 * time.Second)})
		}
		So(stream.Write(ctx, 100*time.Millisecond), ShouldBeNil)
		for kept.origins.Len() < streams && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		wrong := 0
		for i := range streams {
			answer, err := telling.FetchOrigin("keeping", continuation.Key(i*1e15), "llm")
			if err != nil || !answer.Known || (answer.Release == "v1.0") != (i%2 == 0) {
				wrong++
			}
		}
		So(wrong, ShouldEqual, 0)
		answer, err := telling.FetchOrigin("keeping", 1, "llm")
		So(err, ShouldBeNil)
		So(answer.Known, ShouldBeFalse)
		t.Logf("%d origins took %d bytes", streams, telling.Traffic.Origins.Load())
		So(telling.Traffic.Origins.Load()/streams, ShouldBeLessThan, 14)
	})
	Convey("A box that keeps none, as those of earlier builds, ends the stream and does not answer", t, func() {
		telling, _ := startExchange(t, "telling", 3)
		_, address := startExchange(t, "earlier", 4)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(telling.Connect(ctx, "earlier", address), ShouldBeNil)
		stream, err := telling.OpenOrigins("earlier")
		So(err, ShouldBeNil)
		stream.AwaitClose()
		_, err = telling.FetchOrigin("earlier", 1, "llm")
		So(err, ShouldNotBeNil)
		So(telling.IsConnected("earlier"), ShouldBeTrue)
	})
	Convey("Malformed origins are not taken", t, func() {
		for _, message := range []*peerpb.Origins{
			{Keys: []uint64{1}},
			{Keys: []uint64{1}, Numbers: []uint32{0}, Remaining: []uint32{5}},
			{Keys: []uint64{1}, Numbers: []uint32{0, 0}, Remaining: []uint32{5}, Releases: []string{"v1"}},
		} {
			_, err := decodeOrigins(message, time.Now())
			So(err, ShouldNotBeNil)
		}
	})
	Convey("A summary of releases is sent when it changed", t, func() {
		encoder, decoder := newEncoder(), decoder{}
		state := State{Releases: continuation.Summary{Version: 7, KnownFor: time.Minute, Seen: []continuation.Seen{{Service: "llm", Release: "v1", Ago: time.Second}}}}
		update, _ := encoder.encode(state)
		decoded, err := decoder.decode(update)
		So(err, ShouldBeNil)
		So(decoded.Releases.KnownFor, ShouldEqual, time.Minute)
		So(decoded.Releases.Seen, ShouldResemble, state.Releases.Seen)
		state.Releases.KnownFor = time.Hour
		update, changed := encoder.encode(state)
		So(changed, ShouldBeFalse)
		So(update.Releases, ShouldBeNil)
		state.Releases.Version = 8
		update, changed = encoder.encode(state)
		So(changed, ShouldBeTrue)
		So(update.Releases, ShouldNotBeNil)
	})
}
