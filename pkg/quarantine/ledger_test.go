package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var poison = of("POST", "/brief/1", "ward", "poison")

func life(number int) Life { return LifeOf("llm", fmt.Sprintf("engine-%d", number), 0) }

// noteEnds counts so many endpoints that ended.
func noteEnds(l *Ledger, f Fingerprint, count int, now time.Time) {
	for i := range count {
		l.Note(f, life(i), now)
	}
}

func TestJudge(t *testing.T) {
	Convey("After one and two ends fewer endpoints are allowed, after three none", t, func() {
		l := &Ledger{}
		So(l.Judge(poison, start), ShouldResemble, Verdict{Allowed: 3})
		noteEnds(l, poison, 2, start)
		So(l.Judge(poison, start), ShouldResemble, Verdict{Ends: 2, Allowed: 1})
		l.Note(poison, life(1), start.Add(time.Second))
		So(l.Judge(poison, start).Ends, ShouldEqual, 2)
		noteEnds(l, poison, 3, start)
		So(l.Judge(poison, start), ShouldResemble, Verdict{Ends: 3, Until: start.Add(heldFor)})
		So(l.Judge(of("POST", "/brief/1", "ward", "other"), start).Allowed, ShouldEqual, 3)
	})
	Convey("When its time is over it may end one more, and then has six times as long", t, func() {
		l := &Ledger{}
		noteEnds(l, poison, 3, start)
		later := start.Add(heldFor)
		So(l.Judge(poison, later).Allowed, ShouldEqual, 1)
		l.Note(poison, life(3), later)
		So(l.Judge(poison, later), ShouldResemble, Verdict{Ends: 4, Until: later.Add(heldGrowth * heldFor)})
		So(held(20), ShouldEqual, heldLongest)
	})
	Convey("Who is answered to the end is a bystander, and an endpoint that lives has not ended", t, func() {
		l := &Ledger{}
		bystander := of("POST", "/brief/1", "ward", "bystander")
		noteEnds(l, poison, 3, start)
		noteEnds(l, bystander, 3, start)
		So(l.Clear(bystander, "llm", start), ShouldBeTrue)
		So(l.Clear(bystander, "llm", start), ShouldBeFalse)
		So(l.Judge(bystander, start).Allowed, ShouldEqual, 3)
		So(l.Clear(poison, "api", start), ShouldBeFalse)
		So(l.Judge(poison, start).Ends, ShouldEqual, 3)
		So(l.TakeBack(life(1), start), ShouldEqual, 1)
		So(l.Judge(poison, start).Ends, ShouldEqual, 2)
		l.Note(poison, life(1), start)
		So(l.Judge(poison, start).Ends, ShouldEqual, 3)
	})
}

func TestBoundedMemory(t *testing.T) {
	Convey("However many bodies a caller sends, memory is bounded, and the worst are kept", t, func() {
		l := &Ledger{}
		noteEnds(l, poison, 3, start)
		for i := range 3 * mostSuspects {
			l.Note(of("POST", "/brief/1", "ward", fmt.Sprint(i)), life(i%100), start.Add(time.Duration(i)))
		}
		So(len(l.suspects), ShouldBeLessThanOrEqualTo, mostSuspects)
		So(l.Judge(poison, start).Quarantined(), ShouldBeTrue)
		for i := range 100 {
			l.Note(poison, life(1000+i), start.Add(time.Hour))
		}
		So(len(l.suspects[poison].accounts), ShouldBeLessThanOrEqualTo, mostLives)
	})
	Convey("What is old is forgotten", t, func() {
		l := &Ledger{}
		noteEnds(l, poison, 3, start)
		l.Note(of("POST", "/brief/1", "ward", "once"), life(1), start)
		l.Forget(start.Add(keepFor + time.Second))
		So(l.suspects, ShouldHaveLength, 1)
		l.Forget(start.Add(heldFor + heldLongest + time.Second))
		So(l.suspects, ShouldBeEmpty)
	})
}

func TestKeptInStore(t *testing.T) {
	Convey("Two ends are kept, one is not, and a bystander's are forgotten", t, func() {
		l := &Ledger{}
		noteEnds(l, poison, 1, start)
		So(l.TakeUnstored(10, start), ShouldBeEmpty)
		noteEnds(l, poison, 3, start)
		rows := l.TakeUnstored(10, start)
		So(rows, ShouldHaveLength, 1)
		So(rows[0].Ends, ShouldHaveLength, 3)
		l.PutBack(rows)
		So(l.TakeUnstored(10, start), ShouldHaveLength, 1)
		So(l.TakeUnstored(10, start), ShouldBeEmpty)
		other := &Ledger{}
		So(other.Merge(rows[0].Ends, "", start.Add(time.Minute)), ShouldBeTrue)
		So(other.Judge(poison, start).Until, ShouldEqual, start.Add(time.Minute+heldFor))
		So(other.TakeUnstored(10, start), ShouldBeEmpty)
		l.Clear(poison, "llm", start)
		So(l.TakeUnstored(10, start), ShouldResemble, []Kept{{Fingerprint: poison}})
	})
}

// TestMerge holds that boxes which tell each other in any order, with any of it again, come
// to the same verdicts, and that what one of them saw is never lost to the others.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		ledgers := make([]*Ledger, boxes)
		marks := make([][boxes]uint64, boxes)
		for i := range ledgers {
			ledgers[i] = &Ledger{}
		}
		tell := func(from, to int) {
			var ends []End
			ends, marks[from][to] = ledgers[from].Since(marks[from][to], fmt.Sprint(to), start)
			ledgers[to].Merge(ends, fmt.Sprint(from), start)
		}
		seen := map[Life]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := rapid.IntRange(0, boxes-1).Draw(t, "box")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				one := life(rapid.IntRange(0, 5).Draw(t, "life"))
				ledgers[at].Note(poison, one, start)
				seen[one] = true
			case 1:
				marks[at] = [boxes]uint64{}
			default:
				tell(at, rapid.IntRange(0, boxes-1).Draw(t, "to"))
			}
		}
		for range boxes {
			for from := range boxes {
				for to := range boxes {
					tell(from, to)
				}
			}
		}
		for _, l := range ledgers {
			if got := l.Judge(poison, start).Ends; got != len(seen) {
				t.Fatalf("%d ends are known of %d", got, len(seen))
			}
		}
	})
}

func TestMuchNews(t *testing.T) {
	Convey("Much news takes several messages, and all of it arrives", t, func() {
		from, to := &Ledger{}, &Ledger{}
		const many = 3*mostTold + 7
		for i := range many {
			from.Note(of("POST", "/brief/1", "ward", fmt.Sprint(i)), life(1), start)
		}
		noteEnds(from, poison, 3, start)
		So(from.Gravest(start), ShouldHaveLength, mostTold)
		gravest := from.Gravest(start)
		So(gravest[0].Fingerprint, ShouldEqual, poison)
		mark := uint64(0)
		for range 4 {
			var ends []End
			ends, mark = from.Since(mark, "to", start)
			So(len(ends), ShouldBeLessThanOrEqualTo, mostTold)
			to.Merge(ends, "from", start)
		}
		So(to.suspects, ShouldHaveLength, many+1)
		ends, _ := from.Since(mark, "to", start)
		So(ends, ShouldBeEmpty)
	})
}
