package continuation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/route"
)

var now = time.Unix(1000, 0)

func TestKeys(t *testing.T) {
	Convey("The streams of other customers, services and requests have other keys", t, func() {
		own := KeyOf("ward", "llm", "r1")
		for _, other := range []Key{KeyOf("camp", "llm", "r1"), KeyOf("ward", "api", "r1"), KeyOf("ward", "llm", "r2"), KeyOf("war", "dllm", "r1")} {
			So(other, ShouldNotEqual, own)
		}
	})
}

func TestOrigins(t *testing.T) {
	Convey("An origin is known until it expires, also if it is sent several times", t, func() {
		o := Origins{}
		o.Add(Origin{Key: 1, Release: "v1", Expires: now.Add(time.Second)})
		o.Add(Origin{Key: 1, Release: "v1", Expires: now.Add(5 * time.Second)})
		o.Add(Origin{Key: 1, Release: "v1", Expires: now.Add(2 * time.Second)})
		o.Add(Origin{Key: 2, Expires: now.Add(time.Second)})
		release, known := o.Find(1, now.Add(4*time.Second))
		So(known, ShouldBeTrue)
		So(release, ShouldEqual, "v1")
		_, known = o.Find(2, now)
		So(known, ShouldBeTrue)
		_, known = o.Find(3, now)
		So(known, ShouldBeFalse)
		o.Expire(now.Add(4 * time.Second))
		So(o.Len(), ShouldEqual, 1)
		_, known = o.Find(1, now.Add(6*time.Second))
		So(known, ShouldBeFalse)
	})
	Convey("A stream that is said to have begun at two releases goes on at neither", t, func() {
		o := Origins{}
		o.Add(Origin{Key: 1, Release: "v1", Expires: now.Add(time.Second)})
		o.Add(Origin{Key: 1, Release: "v2", Expires: now.Add(time.Second)})
		o.Add(Origin{Key: 1, Release: "v1", Expires: now.Add(time.Second)})
		_, known := o.Find(1, now)
		So(known, ShouldBeFalse)
	})
	Convey("The oldest origin gives way when there are too many", t, func() {
		o := Origins{}
		for key := range maxOrigins + 10 {
			o.Add(Origin{Key: Key(key), Expires: now.Add(time.Second)})
		}
		So(o.Len(), ShouldEqual, maxOrigins)
		_, known := o.Find(9, now)
		So(known, ShouldBeFalse)
		_, known = o.Find(10, now)
		So(known, ShouldBeTrue)
	})
}

func added(service, release string) route.Change {
	return route.Change{After: &route.Endpoint{Service: service, Release: release}}
}

func removed(service, release string) route.Change {
	return route.Change{Before: &route.Endpoint{Service: service, Release: release}}
}

func TestReleases(t *testing.T) {
	const period = time.Minute
	Convey("A release is the only one until another one appears, and again long after that has gone", t, func() {
		r := Releases{}
		r.Apply([]route.Change{added("llm", "v1"), added("llm", "v1"), added("api", "")}, now)
		r.StartFirst(now)
		release, isOnly, isComplete := r.Only("llm", period, now)
		So([]any{release, isOnly, isComplete}, ShouldResemble, []any{"v1", true, true})
		release, isOnly, _ = r.Only("api", period, now)
		So([]any{release, isOnly}, ShouldResemble, []any{"", true})
		r.Apply([]route.Change{added("llm", "")}, now)
		_, isOnly, _ = r.Only("llm", period, now)
		So(isOnly, ShouldBeFalse)
		r.Apply([]route.Change{removed("llm", "v1"), removed("llm", "v1")}, now.Add(time.Second))
		_, isOnly, _ = r.Only("llm", period, now.Add(time.Minute))
		So(isOnly, ShouldBeFalse)
		release, isOnly, _ = r.Only("llm", period, now.Add(time.Minute+2*time.Second))
		So([]any{release, isOnly}, ShouldResemble, []any{"", true})
	})
	Convey("A box that starts later does not know of releases before, until another box notifies it", t, func() {
		r, other := Releases{}, Releases{}
		other.Apply([]route.Change{added("llm", "v1"), added("llm", "v2")}, now)
		other.StartFirst(now)
		other.Apply([]route.Change{removed("llm", "v1")}, now.Add(time.Second))
		started := now.Add(2 * time.Second)
		r.Apply([]route.Change{added("llm", "v2")}, started)
		r.Start(started)
		_, isOnly, isComplete := r.Only("llm", period, started)
		So([]any{isOnly, isComplete}, ShouldResemble, []any{true, false})
		So(r.Merge(other.Summary(started), started), ShouldBeTrue)
		So(r.Merge(other.Summary(started.Add(time.Second)), started.Add(time.Second)), ShouldBeFalse)
		_, isOnly, isComplete = r.Only("llm", period, started)
		So([]any{isOnly, isComplete}, ShouldResemble, []any{false, true})
		_, isOnly, _ = r.Only("llm", period, started.Add(period))
		So(isOnly, ShouldBeTrue)
	})
	Convey("Without another box it knows once it has run for long enough", t, func() {
		r := Releases{}
		r.Start(now)
		_, _, isComplete := r.Only("llm", period, now.Add(period-1))
		So(isComplete, ShouldBeFalse)
		_, _, isComplete = r.Only("llm", period, now.Add(period))
		So(isComplete, ShouldBeTrue)
	})
}

// TestTakerAsksAKeeper checks that a box which takes up a stream asks one that keeps its origin,
// whichever boxes began the stream and take it up, also after one of the replicas is lost.
func TestTakerAsksAKeeper(t *testing.T) {
	without := func(ranking []Box, names ...string) (left []Box) {
		for _, box := range ranking {
			if !slices.Contains(names, box.Name) {
				left = append(left, box)
			}
		}
		return left
	}
	rapid.Check(t, func(t *rapid.T) {
		ranking := make([]Box, rapid.IntRange(3, 12).Draw(t, "boxes"))
		for i := range ranking {
			ranking[i] = Box{Name: fmt.Sprint("box-", i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")}
		}
		first := rapid.SampledFrom(ranking).Draw(t, "first").Name
		taker := rapid.SampledFrom(without(ranking, first)).Draw(t, "taker").Name
		replicas := Replicas(without(ranking, first), 2)
		for _, lost := range []string{first, replicas[0].Name, replicas[1].Name} {
			gone := []string{first, lost}
			knows := func(box Box) bool { return slices.Contains(replicas, box) && !slices.Contains(gone, box.Name) }
			asked := Replicas(without(ranking, append(gone, taker)...), 3)
			own := slices.IndexFunc(ranking, func(b Box) bool { return b.Name == taker })
			if taker != lost && !knows(ranking[own]) && !slices.ContainsFunc(asked, knows) {
				t.Fatalf("%s took up a stream of %s without %s, and asked %v, but %v know", taker, first, lost, asked, replicas)
			}
		}
	})
}
