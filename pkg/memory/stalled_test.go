package memory_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/memory"
)

func TestStalledBodies(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(id uint64, bytes int64) memory.Stalled {
		return memory.Stalled{ID: id, Bytes: bytes, Since: start.Add(time.Duration(id) * time.Second)}
	}
	Convey("Those that have stood still for longest are given up, as few as are needed", t, func() {
		stalled := []memory.Stalled{at(3, 10), at(1, 10), at(2, 10)}
		So(memory.ChooseStalled(stalled, 15), ShouldResemble, []memory.Stalled{at(1, 10), at(2, 10)})
		So(memory.ChooseStalled(stalled, 10), ShouldResemble, []memory.Stalled{at(1, 10)})
		So(memory.ChooseStalled(stalled, 0), ShouldBeEmpty)
	})
	Convey("None is given up if all of them are too few", t, func() {
		So(memory.ChooseStalled([]memory.Stalled{at(1, 10), at(2, 10)}, 21), ShouldBeEmpty)
	})
	Convey("A customer that releases its shortage can reserve, and not with less", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			b := &memory.Budget{Size: 1000}
			b.Add("other", rapid.Int64Range(0, 500).Draw(t, "other"))
			b.Add("ward", rapid.Int64Range(1, 500).Draw(t, "ward"))
			bytes := rapid.Int64Range(1, 300).Draw(t, "bytes")
			shortage := b.Shortage("ward", bytes)
			if shortage <= 0 {
				if !b.Reserve("ward", bytes) {
					t.Fatal("refused without a shortage")
				}
				return
			}
			b.Release("ward", shortage-1)
			if b.Reserve("ward", bytes) {
				t.Fatal("reserved before the shortage was released")
			}
			b.Release("ward", 1)
			if !b.Reserve("ward", bytes) {
				t.Fatal("refused after the shortage was released")
			}
		})
	})
}
