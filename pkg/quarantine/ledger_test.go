package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var crashing = fingerprintOf("POST", "/brief/1", "ward", "poison")

func instance(number int) Instance { return InstanceOf("llm", fmt.Sprintf("engine-%d", number), 0) }

// recordEnds records the ends of so many endpoints.
func recordEnds(l *Ledger, f Fingerprint, count int, now time.Time) {
	for i := range count {
		l.RecordEnd(f, instance(i), now)
	}
}

func TestJudge(t *testing.T) {
	Convey("After one or two ends fewer endpoints are allowed, after three none", t, func() {
		l := &Ledger{}
		So(l.Check(crashing, start), ShouldResemble, Status{Allowed: 3})
		recordEnds(l, crashing, 2, start)
		So(l.Check(crashing, start), ShouldResemble, Status{Ends: 2, Allowed: 1})
		l.RecordEnd(crashing, instance(1), start.Add(time.Second))
		So(l.Check(crashing, start).Ends, ShouldEqual, 2)
		recordEnds(l, crashing, 3, start)
		So(l.Check(crashing, start), ShouldResemble, Status{Ends: 3, Until: start.Add(minQuarantine)})
		So(l.Check(fingerprintOf("POST", "/brief/1", "ward", "other"), start).Allowed, ShouldEqual, 3)
	})
	Convey("After its quarantine a request may end one more endpoint, and is then quarantined six times as long", t, func() {
		l := &Ledger{}
		recordEnds(l, crashing, 3, start)
		later := start.Add(minQuarantine)
		So(l.Check(crashing, later).Allowed, ShouldEqual, 1)
		l.RecordEnd(crashing, instance(3), later)
		So(l.Check(crashing, later), ShouldResemble, Status{Ends: 4, Until: later.Add(quarantineGrowth * minQuarantine)})
		So(quarantineTime(20), ShouldEqual, maxQuarantine)
	})
	Convey("A request with a complete response is cleared, and the end of an endpoint that is alive is retracted", t, func() {
		l := &Ledger{}
		bystander := fingerprintOf("POST", "/brief/1", "ward", "bystander")
		recordEnds(l, crashing, 3, start)
		recordEnds(l, bystander, 3, start)
		So(l.Clear(bystander, "llm", start), ShouldBeTrue)
		So(l.Clear(bystander, "llm", start), ShouldBeFalse)
		So(l.Check(bystander, start).Allowed, ShouldEqual, 3)
		So(l.Clear(crashing, "api", start), ShouldBeFalse)
		So(l.Check(crashing, start).Ends, ShouldEqual, 3)
		So(l.Retract(instance(1), start), ShouldEqual, 1)
		So(l.Check(crashing, start).Ends, ShouldEqual, 2)
		l.RecordEnd(crashing, instance(1), start)
		So(l.Check(crashing, start).Ends, ShouldEqual, 3)
	})
}

func TestBoundedMemory(t *testing.T) {
	Convey("However many bodies a caller sends, memory is bounded, and the requests with most ends are kept", t, func() {
		l := &Ledger{}
		recordEnds(l, crashing, 3, start)
		for i := range 3 * maxSuspects {
			l.RecordEnd(fingerprintOf("POST", "/brief/1", "ward", fmt.Sprint(i)), instance(i%100), start.Add(time.Duration(i)))
		}
		So(len(l.suspects), ShouldBeLessThanOrEqualTo, maxSuspects)
		So(l.Check(crashing, start).IsQuarantined(), ShouldBeTrue)
		for i := range 100 {
			l.RecordEnd(crashing, instance(1000+i), start.Add(time.Hour))
		}
		So(len(l.suspects[crashing].ends), ShouldBeLessThanOrEqualTo, maxEndsPerRequest)
	})
	Convey("Old suspects expire", t, func() {
		l := &Ledger{}
		recordEnds(l, crashing, 3, start)
		l.RecordEnd(fingerprintOf("POST", "/brief/1", "ward", "once"), instance(1), start)
		l.Expire(start.Add(minRetention + time.Second))
		So(l.suspects, ShouldHaveLength, 1)
		l.Expire(start.Add(minQuarantine + maxQuarantine + time.Second))
		So(l.suspects, ShouldBeEmpty)
	})
}

func TestKeptInStore(t *testing.T) {
	Convey("Requests with two ends are stored, with one are not, and cleared ones are deleted", t, func() {
		l := &Ledger{}
		recordEnds(l, crashing, 1, start)
		So(l.TakeUnstored(10, start), ShouldBeEmpty)
		recordEnds(l, crashing, 3, start)
		rows := l.TakeUnstored(10, start)
		So(rows, ShouldHaveLength, 1)
		So(rows[0].Ends, ShouldHaveLength, 3)
		l.PutBack(rows)
		So(l.TakeUnstored(10, start), ShouldHaveLength, 1)
		So(l.TakeUnstored(10, start), ShouldBeEmpty)
		other := &Ledger{}
		So(other.Merge(rows[0].Ends, "", start.Add(time.Minute)), ShouldBeTrue)
		So(other.Check(crashing, start).Until, ShouldEqual, start.Add(time.Minute+minQuarantine))
		So(other.TakeUnstored(10, start), ShouldBeEmpty)
		l.Clear(crashing, "llm", start)
		So(l.TakeUnstored(10, start), ShouldResemble, []StoredRequest{{Fingerprint: crashing}})
	})
}

// TestMerge checks that boxes which exchange their ends in any order, some of them repeatedly,
// agree, and that no end that one of them recorded is lost to the others.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		ledgers := make([]*Ledger, boxes)
		marks := make([][boxes]uint64, boxes)
		for i := range ledgers {
			ledgers[i] = &Ledger{}
		}
		exchange := func(from, to int) {
			var ends []End
			ends, marks[from][to] = ledgers[from].EndsSince(marks[from][to], fmt.Sprint(to), start)
			ledgers[to].Merge(ends, fmt.Sprint(from), start)
		}
		seen := map[Instance]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := rapid.IntRange(0, boxes-1).Draw(t, "box")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				ended := instance(rapid.IntRange(0, 5).Draw(t, "life"))
				ledgers[at].RecordEnd(crashing, ended, start)
				seen[ended] = true
			case 1:
				marks[at] = [boxes]uint64{}
			default:
				exchange(at, rapid.IntRange(0, boxes-1).Draw(t, "to"))
			}
		}
		for range boxes {
			for from := range boxes {
				for to := range boxes {
					exchange(from, to)
				}
			}
		}
		for _, l := range ledgers {
			if got := l.Check(crashing, start).Ends; got != len(seen) {
				t.Fatalf("%d ends are known of %d", got, len(seen))
			}
		}
	})
}

func TestMuchNews(t *testing.T) {
	Convey("Many changes take several messages, and all of them arrive", t, func() {
		from, to := &Ledger{}, &Ledger{}
		const many = 3*maxMessageEnds + 7
		for i := range many {
			from.RecordEnd(fingerprintOf("POST", "/brief/1", "ward", fmt.Sprint(i)), instance(1), start)
		}
		recordEnds(from, crashing, 3, start)
		So(from.MostSevere(start), ShouldHaveLength, maxMessageEnds)
		mostSevere := from.MostSevere(start)
		So(mostSevere[0].Fingerprint, ShouldEqual, crashing)
		mark := uint64(0)
		for range 4 {
			var ends []End
			ends, mark = from.EndsSince(mark, "to", start)
			So(len(ends), ShouldBeLessThanOrEqualTo, maxMessageEnds)
			to.Merge(ends, "from", start)
		}
		So(to.suspects, ShouldHaveLength, many+1)
		ends, _ := from.EndsSince(mark, "to", start)
		So(ends, ShouldBeEmpty)
	})
}
