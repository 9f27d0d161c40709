package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/platform/standin"
)

var (
	start  = time.Unix(1000, 0)
	errCut = errors.New("cut")
)

// good is a lookup that was answered whole.
func good(b *box) outcome {
	return outcome{
		id: "1", path: "/look/1", kind: standin.Lookup, box: b, life: 1,
		sent: start, ended: start.Add(time.Second),
		status: 200, answered: "1", body: "answer to 1",
	}
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestChecksFail shows for each promise that its check can fail.
func TestChecksFail(t *testing.T) {
	ran := []standin.Run{{ID: "1", Server: "api-1", Began: start}}
	Convey("A request that was answered well breaks nothing", t, func() {
		o := good(&box{})
		So(o.problems(ran), ShouldBeEmpty)
	})
	for name, spoil := range map[string]func(*outcome){
		"an answer that is not whole":    func(o *outcome) { o.body = "answer" },
		"an answer to another request":   func(o *outcome) { o.answered = "2" },
		"a false promise of not run":     func(o *outcome) { o.status = 503 },
		"a stream without its last part": func(o *outcome) { o.kind, o.body = standin.Stream, standin.Event("1", 1) },
	} {
		Convey("It is found: "+name, t, func() {
			o := good(&box{})
			spoil(&o)
			So(o.problems(ran), ShouldHaveLength, 1)
		})
	}
	Convey("A booking that ran twice is found", t, func() {
		o := good(&box{})
		o.kind = standin.Booking
		So(o.problems(append(ran, ran...)), ShouldHaveLength, 1)
	})
	Convey("An answer that a planned stop cut is found, one that a kill cut is none", t, func() {
		b := &box{lives: 2, stops: []stop{{life: 1, began: at(0.5)}}}
		w := &world{}
		o := good(b)
		o.err = errCut
		So(w.cutByStop(&o, ran), ShouldNotBeEmpty)
		So(w.cutByStop(&o, nil), ShouldBeEmpty)
		b.troubles = spans{{from: at(2), to: at(6)}}
		So(w.cutByStop(&o, ran), ShouldNotBeEmpty)
		b.troubles = spans{{from: at(0.2), to: at(4)}}
		So(w.cutByStop(&o, ran), ShouldBeEmpty)
	})
	Convey("Work sent to a server long after it left is found, unless its box may not know", t, func() {
		b := &box{lives: 1}
		left := &server{Server: &standin.Server{ID: "api-1"}, left: at(-10)}
		w := &world{servers: []*server{left}, outcomes: []outcome{good(b)}}
		runs := map[string][]standin.Run{"1": ran}
		So(w.checkLeaving(runs), ShouldHaveLength, 1)
		b.troubles = spans{{from: at(-5), to: at(-1)}}
		So(w.checkLeaving(runs), ShouldBeEmpty)
		b.troubles = spans{{from: at(-9), to: at(-8)}, {from: at(-7), to: at(-6)}}
		So(w.checkLeaving(runs), ShouldHaveLength, 1)
	})
	Convey("A configuration that goes back, or comes late, is found", t, func() {
		b := &box{lives: 1}
		present, absent := good(b), good(b)
		present.probes, absent.probes = 2, 2
		absent.status, absent.sent, absent.ended = 404, at(2), at(3)
		w := &world{outcomes: []outcome{present, absent}, accepted: map[int]time.Time{2: at(1.5)}}
		So(w.checkConfigurations(), ShouldHaveLength, 1)
		w.outcomes = []outcome{absent}
		So(w.checkConfigurations(), ShouldBeEmpty)
		w.accepted[2] = at(-10)
		So(w.checkConfigurations(), ShouldHaveLength, 1)
		b.troubles = spans{{from: at(-5), to: at(-4)}}
		So(w.checkConfigurations(), ShouldBeEmpty)
	})
	Convey("A refusal by a box that has no configuration yet shows none; any other one does", t, func() {
		b := &box{lives: 1}
		refused, absent := good(b), good(b)
		refused.probes, absent.probes = 2, 2
		refused.status, refused.body = 503, `{"Code":"not_ready","Message":"this box has no configuration yet"}`
		absent.status, absent.sent, absent.ended = 404, at(2), at(3)
		w := &world{outcomes: []outcome{refused, absent}, accepted: map[int]time.Time{2: at(1.5)}}
		So(w.checkConfigurations(), ShouldBeEmpty)
		w.outcomes[0].body = `{"Code":"overloaded"}`
		So(w.checkConfigurations(), ShouldHaveLength, 1)
	})
	Convey("A refusal that no line of the log tells of is found", t, func() {
		b := &box{}
		b.LogFile = filepath.Join(t.TempDir(), "box.log")
		So(os.WriteFile(b.LogFile, []byte("Event=\"request refused\" Request=1 Code=overloaded\n"), 0o644), ShouldBeNil)
		told, untold := good(b), good(b)
		told.status, untold.status, untold.id = 503, 503, "2"
		So(checkExplained([]outcome{told, good(b)}, b), ShouldBeEmpty)
		So(checkExplained([]outcome{told, untold}, b), ShouldHaveLength, 1)
	})
	Convey("A customer or a box that is not served after the faults is found", t, func() {
		served, starved := good(&box{}), good(&box{})
		starved.customer, starved.status = 1, 503
		boxes := []*box{served.box, starved.box}
		So(checkService([]outcome{served, starved}, boxes, start.Add(-time.Second)), ShouldHaveLength, 2)
		So(checkService([]outcome{served}, boxes, start.Add(-time.Second)), ShouldBeEmpty)
		So(checkService([]outcome{served}, boxes, start.Add(time.Second)), ShouldHaveLength, 1)
	})
}

func TestDeadlyChecked(t *testing.T) {
	runs := func(count int) (runs []standin.Run) {
		for i := range count {
			began := at(float64(i))
			runs = append(runs, standin.Run{Body: deadlyMark, Began: began, Ended: began.Add(time.Millisecond)})
		}
		return runs
	}
	Convey("Sends after the third end count once boxes have had three seconds to tell each other", t, func() {
		So(sentLate(runs(2)), ShouldEqual, 0)
		So(sentLate(runs(6)), ShouldEqual, 0)
		So(sentLate(runs(7)), ShouldEqual, 1)
		So(sentLate(runs(10)), ShouldEqual, 4)
	})
	Convey("A request that ends a fourth engine is found, one that only runs there is none", t, func() {
		ends := func(number int, path string, ended bool) standin.Run {
			return standin.Run{Body: deadlyMark, Server: fmt.Sprint("llm-", number), Target: "POST " + path, Deadly: ended, Began: at(float64(number)), Ended: at(float64(number))}
		}
		streams := "/" + names[standin.Stream] + "/1"
		four := []standin.Run{ends(1, streams, true), ends(2, streams, true), ends(2, streams, true), ends(3, streams, true), ends(4, streams, false)}
		So(enginesEnded(four), ShouldEqual, 3)
		four[4].Deadly = true
		So(enginesEnded(four), ShouldEqual, 4)
		So(enginesEnded([]standin.Run{ends(1, "/look/1", true)}), ShouldEqual, 0)
	})
}

func TestWordsChecked(t *testing.T) {
	b := &box{lives: 1}
	sent := func(id string, after float64) outcome {
		o := good(b)
		o.id, o.sent, o.ended = id, at(after), at(after+0.1)
		return o
	}
	arrival := func(id string, after float64) standin.Arrival {
		return standin.Arrival{ID: id, Server: "llm-1", At: at(after)}
	}
	Convey("A request sent to a server whose answer said that it leaves is found, also where its box was cut off", t, func() {
		said := arrival("1", 0)
		said.Leaving = true
		b.troubles = spans{{from: at(0.5), to: at(9)}}
		w := &world{outcomes: []outcome{sent("1", 0), sent("2", 5)}}
		So(w.checkWords([]standin.Arrival{said, arrival("2", 5)}), ShouldHaveLength, 1)
		other := arrival("2", 5)
		other.Server = "llm-2"
		So(w.checkWords([]standin.Arrival{said, other}), ShouldBeEmpty)
		w.outcomes[1].life = 2
		So(w.checkWords([]standin.Arrival{said, arrival("2", 5)}), ShouldBeEmpty)
		b.troubles = nil
	})
	Convey("So is one inside a rest, but for what was on its way, and where the answer may be lost", t, func() {
		asked := arrival("1", 0)
		asked.TurnedAway, asked.RetryAfter = true, "3.0"
		w := &world{outcomes: []outcome{sent("1", 0), sent("2", 2)}}
		So(w.checkWords([]standin.Arrival{asked, arrival("2", 2)}), ShouldHaveLength, 1)
		So(w.checkWords([]standin.Arrival{asked, arrival("2", 0.4)}), ShouldBeEmpty)
		So(w.checkWords([]standin.Arrival{asked, arrival("2", 3.1)}), ShouldBeEmpty)
		w.linkTroubles = spans{{from: at(-1), to: at(0.1)}}
		So(w.checkWords([]standin.Arrival{asked, arrival("2", 2)}), ShouldBeEmpty)
	})
}
