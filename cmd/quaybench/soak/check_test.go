package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/answer"
	"github.com/quaylead/quaylead/platform/standin"
)

var (
	start  = time.Unix(1000, 0)
	errCut = errors.New("cut")
)

// completedLookup returns the outcome of a lookup that got a complete response.
func completedLookup(b *box) outcome {
	return outcome{
		id: "1", path: "/look/1", kind: standin.Lookup, box: b, incarnation: 1,
		sent: start, ended: start.Add(time.Second),
		status: 200, responseID: "1", server: "api-1", body: "answer to 1",
	}
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestChecksFail shows for each check that it reports a violation.
func TestChecksFail(t *testing.T) {
	ran := []standin.Run{{ID: "1", Server: "api-1", Began: start}}
	Convey("A request that got the correct response is no violation", t, func() {
		o := completedLookup(&box{})
		So(o.violations(ran), ShouldBeEmpty)
	})
	for name, spoil := range map[string]func(*outcome){
		"an incomplete response":          func(o *outcome) { o.body = "answer" },
		"the response of another request": func(o *outcome) { o.responseID = "2" },
		"a response that names no server": func(o *outcome) { o.server = "" },
		"a malformed head":                func(o *outcome) { o.status, o.body, o.server, o.err = 0, "", "", &answer.HeadError{} },
		"a false report of not run":       func(o *outcome) { o.status = 503 },
		"a stream without its last part":  func(o *outcome) { o.kind, o.body, o.isFramed = standin.Stream, standin.Event("1", 1), true },
		"a stream that ends inside an event": func(o *outcome) {
			o.kind, o.body = standin.Stream, standin.Event("1", 1)+"id: 2"
		},
		"a cut stream with an event that comes again": func(o *outcome) {
			o.kind, o.body, o.err = standin.Stream, standin.Event("1", 1)+standin.Event("1", 1), errCut
		},
	} {
		Convey("It is found: "+name, t, func() {
			o := completedLookup(&box{})
			spoil(&o)
			So(o.violations(ran), ShouldHaveLength, 1)
		})
	}
	Convey("A stream without framing may end after an event only if its server ended it there", t, func() {
		o := completedLookup(&box{})
		o.kind, o.body = standin.Stream, standin.Event("1", 1)
		So(o.violations(ran), ShouldBeEmpty)
		So(o.violations([]standin.Run{{ID: "1", Server: "api-1", Began: start, Completed: true}}), ShouldHaveLength, 1)
	})
	Convey("A booking that ran twice is found", t, func() {
		o := completedLookup(&box{})
		o.kind = standin.Booking
		So(o.violations(append(ran, ran...)), ShouldHaveLength, 1)
	})
	Convey("A response cut by a planned stop is a violation; one cut by a kill is not", t, func() {
		b := &box{starts: 2, stops: []stop{{incarnation: 1, began: at(0.5)}}}
		w := &world{}
		o := completedLookup(b)
		o.err = errCut
		So(w.checkCutByStop(&o, ran), ShouldNotBeEmpty)
		So(w.checkCutByStop(&o, nil), ShouldBeEmpty)
		b.faultTimes = spans{{from: at(2), to: at(6)}}
		So(w.checkCutByStop(&o, ran), ShouldNotBeEmpty)
		b.faultTimes = spans{{from: at(0.2), to: at(4)}}
		So(w.checkCutByStop(&o, ran), ShouldBeEmpty)
	})
	Convey("A request that a box gave up, cut or left without an answer, while its server was sound, is found", t, func() {
		b := &box{starts: 1}
		sound := &server{Server: &standin.Server{ID: "api-1"}}
		w := &world{servers: []*server{sound}}
		o := completedLookup(b)
		o.kind, o.ended = standin.Stream, at(6)
		So(w.checkLost(&o, ran), ShouldBeEmpty)
		o.status = 502
		So(w.checkLost(&o, ran), ShouldContainSubstring, "given up")
		So(w.checkLost(&o, nil), ShouldBeEmpty)
		o.status, o.err = 200, errCut
		So(w.checkLost(&o, ran), ShouldContainSubstring, "cut")
		o.status = 0
		So(w.checkLost(&o, ran), ShouldContainSubstring, "neither")
		So(w.checkLost(&o, nil), ShouldContainSubstring, "neither")
		Convey("unless the request and the close of its connection may have crossed", func() {
			o.notRead = 5500 * time.Millisecond
			So(w.checkLost(&o, nil), ShouldBeEmpty)
			So(w.checkLost(&o, ran), ShouldNotBeEmpty)
		})
		Convey("also beside a planned stop, until shortly before its end", func() {
			b.stops = []stop{{incarnation: 1, began: at(2)}}
			So(w.checkLost(&o, ran), ShouldNotBeEmpty)
			b.stops[0].began = at(0.9)
			So(w.checkLost(&o, ran), ShouldBeEmpty)
		})
		Convey("unless its limit was near, its caller ended it, or its box or server had a fault", func() {
			o.kind = standin.Booking
			So(w.checkLost(&o, ran), ShouldBeEmpty)
			o.kind, o.err = standin.Stream, errHungUp
			So(w.checkLost(&o, ran), ShouldBeEmpty)
			o.err, b.faultTimes = errCut, spans{{from: at(1), to: at(2)}}
			So(w.checkLost(&o, ran), ShouldBeEmpty)
			b.faultTimes, sound.endedAt = nil, at(6.5)
			So(w.checkLost(&o, ran), ShouldBeEmpty)
			sound.endedAt, w.servers = time.Time{}, nil
			So(w.checkLost(&o, ran), ShouldBeEmpty)
			w.servers = []*server{sound}
			w.recordServerFault("api-1", 0)
			sound.faultTimes[0].from = at(3)
			So(w.checkLost(&o, ran), ShouldBeEmpty)
		})
	})
	Convey("Work sent to a server long after it left is found, unless the box may not have been informed", t, func() {
		b := &box{starts: 1}
		left := &server{Server: &standin.Server{ID: "api-1"}, leftAt: at(-10)}
		w := &world{servers: []*server{left}, outcomes: []outcome{completedLookup(b)}}
		runs := map[string][]standin.Run{"1": ran}
		So(w.checkLeaving(runs), ShouldHaveLength, 1)
		b.faultTimes = spans{{from: at(-5), to: at(-1)}}
		So(w.checkLeaving(runs), ShouldBeEmpty)
		b.faultTimes = spans{{from: at(-9), to: at(-8)}, {from: at(-7), to: at(-6)}}
		So(w.checkLeaving(runs), ShouldHaveLength, 1)
	})
	Convey("A stream that goes on at another release is found, in its answer and after it was taken up", t, func() {
		w := &world{servers: []*server{
			{Server: &standin.Server{ID: "llm-1", Release: "v1"}}, {Server: &standin.Server{ID: "llm-2", Release: "v1"}}, {Server: &standin.Server{ID: "llm-3", Release: "v2"}},
		}}
		w.outcomes = []outcome{{id: "1", server: "llm-1", kind: standin.ResumableStream, box: &box{}}, {id: "2", resumes: "1", kind: standin.ResumableStream, box: &box{}}}
		// Of three attempts side by side, the second one began the stream.
		begun := []standin.Run{{ID: "1", Server: "llm-3"}, {ID: "1", Server: "llm-1"}, {ID: "1", Server: "llm-3"}}
		runs := map[string][]standin.Run{"1": append(begun, standin.Run{ID: "1", Server: "llm-2", After: "3"}), "2": {{ID: "2", Server: "llm-1", After: "5"}}}
		So(w.checkReleases(runs), ShouldBeEmpty)
		runs["2"][0].Server = "llm-3"
		So(w.checkReleases(runs), ShouldHaveLength, 1)
		runs["1"][3].Server = "llm-3"
		So(w.checkReleases(runs), ShouldHaveLength, 2)
	})
	Convey("Streams that are seldom taken up are found, while servers of their release serve", t, func() {
		b := &box{}
		w := &world{servers: []*server{{Server: &standin.Server{ID: "llm-1", Service: "llm", Release: "v1"}}, {Server: &standin.Server{ID: "llm-2", Service: "llm", Release: "v1"}}}}
		for i := range 40 {
			o := outcome{id: fmt.Sprint(i), kind: standin.ResumableStream, box: b, sent: at(1), ended: at(2), status: 200}
			if i >= 20 {
				o.resumes = "0"
			}
			if i >= 29 {
				o.status = 503
			}
			w.outcomes = append(w.outcomes, o)
		}
		w.outcomes[0].server = "llm-1"
		So(w.countTakeUps(), ShouldResemble, takeUps{begun: 20, beginsServed: 20, taken: 20, takenServed: 9})
		So(w.countTakeUps().check(), ShouldHaveLength, 1)
		w.outcomes[29].status = 200
		So(w.countTakeUps().check(), ShouldBeEmpty)
		w.outcomes[29].status = 503
		b.faultTimes = spans{{from: at(0), to: at(3)}}
		So(w.countTakeUps().check(), ShouldBeEmpty)
		b.faultTimes = nil
		w.servers[0].leftAt = at(0)
		So(w.countTakeUps().check(), ShouldBeEmpty)
	})
	Convey("A return to an older configuration, and a late configuration, are found", t, func() {
		b := &box{starts: 1}
		present, absent := completedLookup(b), completedLookup(b)
		present.probedVersion, absent.probedVersion = 2, 2
		absent.status, absent.sent, absent.ended = 404, at(2), at(3)
		w := &world{outcomes: []outcome{present, absent}, acceptedAt: map[int]time.Time{2: at(1.5)}}
		So(w.checkConfigurations(), ShouldHaveLength, 1)
		w.outcomes = []outcome{absent}
		So(w.checkConfigurations(), ShouldBeEmpty)
		w.acceptedAt[2] = at(-10)
		So(w.checkConfigurations(), ShouldHaveLength, 1)
		b.faultTimes = spans{{from: at(-5), to: at(-4)}}
		So(w.checkConfigurations(), ShouldBeEmpty)
	})
	Convey("A refusal by a box without a configuration does not show that a version is in force; any other refusal does", t, func() {
		b := &box{starts: 1}
		refused, absent := completedLookup(b), completedLookup(b)
		refused.probedVersion, absent.probedVersion = 2, 2
		refused.status, refused.body = 503, `{"Code":"not_ready","Message":"this box has no configuration yet"}`
		absent.status, absent.sent, absent.ended = 404, at(2), at(3)
		w := &world{outcomes: []outcome{refused, absent}, acceptedAt: map[int]time.Time{2: at(1.5)}}
		So(w.checkConfigurations(), ShouldBeEmpty)
		w.outcomes[0].body = `{"Code":"overloaded"}`
		So(w.checkConfigurations(), ShouldHaveLength, 1)
	})
	Convey("A refusal that is missing in the log is found", t, func() {
		b := &box{}
		b.LogFile = filepath.Join(t.TempDir(), "box.log")
		So(os.WriteFile(b.LogFile, []byte("Event=\"request refused\" Request=1 Code=overloaded\n"), 0o644), ShouldBeNil)
		logged, missing := completedLookup(b), completedLookup(b)
		logged.status, missing.status, missing.id = 503, 503, "2"
		So(checkLogged([]outcome{logged, completedLookup(b)}, b), ShouldBeEmpty)
		So(checkLogged([]outcome{logged, missing}, b), ShouldHaveLength, 1)
	})
	Convey("A customer or a box that is not served after the faults is found", t, func() {
		served, starved := completedLookup(&box{}), completedLookup(&box{})
		starved.customer, starved.status = 1, 503
		boxes := []*box{served.box, starved.box}
		So(checkService([]outcome{served, starved}, boxes, start.Add(-time.Second)), ShouldHaveLength, 2)
		So(checkService([]outcome{served}, boxes, start.Add(-time.Second)), ShouldBeEmpty)
		So(checkService([]outcome{served}, boxes, start.Add(time.Second)), ShouldHaveLength, 1)
		hungUp := starved
		hungUp.err = errHungUp
		So(checkService([]outcome{served, hungUp}, boxes, start.Add(-time.Second)), ShouldBeEmpty)
	})
}

func TestDeadlyChecked(t *testing.T) {
	runs := func(count int) (runs []standin.Run) {
		for i := range count {
			began := at(float64(i))
			runs = append(runs, standin.Run{Body: crashMarker, Began: began, Ended: began.Add(time.Millisecond)})
		}
		return runs
	}
	Convey("Sends count as late from three seconds after the third end on, the time that boxes have to inform each other", t, func() {
		So(lateSends(runs(2)), ShouldEqual, 0)
		So(lateSends(runs(6)), ShouldEqual, 0)
		So(lateSends(runs(7)), ShouldEqual, 1)
		So(lateSends(runs(10)), ShouldEqual, 4)
	})
	Convey("A request that crashes a fourth engine is found; one that only runs there is not", t, func() {
		ends := func(number int, path string, ended bool) standin.Run {
			return standin.Run{Body: crashMarker, Server: fmt.Sprint("llm-", number), Target: "POST " + path, Crashed: ended, Began: at(float64(number)), Ended: at(float64(number))}
		}
		streams := "/" + routeNames[standin.Stream] + "/1"
		four := []standin.Run{ends(1, streams, true), ends(2, streams, true), ends(2, streams, true), ends(3, streams, true), ends(4, streams, false)}
		So(crashedEngines(four), ShouldEqual, 3)
		four[4].Crashed = true
		So(crashedEngines(four), ShouldEqual, 4)
		So(crashedEngines([]standin.Run{ends(1, "/look/1", true)}), ShouldEqual, 0)
	})
}

func TestDeadlyPartChecked(t *testing.T) {
	f := crashingPart{crashingSends{number: 7}}
	b := &box{}
	// world returns one in which a number of requests with the part crashed a server each, a second apart.
	world := func(count int) (w *world, runs []standin.Run) {
		w = newEmptyWorld()
		for i := range count {
			call, _ := f.request(fmt.Sprint(i))
			w.crashingSends[call.ID] = b
			runs = append(runs, standin.Run{ID: call.ID, Server: fmt.Sprint("llm-", i), Crashed: true, Began: at(float64(i)), Ended: at(float64(i) + 0.1)})
		}
		return w, runs
	}
	Convey("Requests sent later than three seconds after the fifth crash are counted, where their box had no fault", t, func() {
		w, runs := world(8)
		So(w.latePartSends(runs), ShouldEqual, 0)
		w, runs = world(12)
		So(w.latePartSends(runs), ShouldEqual, 4)
		runs[11].Crashed = false
		So(w.latePartSends(runs), ShouldEqual, 4)
		runs[2].Server = runs[1].Server
		So(w.latePartSends(runs), ShouldEqual, 3)
		runs[2].Server = "llm-2"
		w.linkFaultTimes = spans{{from: at(0), to: at(1.5)}}
		So(w.latePartSends(runs), ShouldEqual, 2)
		w.linkFaultTimes, b.faultTimes = nil, spans{{from: at(9), to: at(9.5)}}
		So(w.latePartSends(runs), ShouldEqual, 2)
		b.faultTimes = nil
	})
	Convey("Sound streams refused as quarantined are counted from six seconds after the last crash on", t, func() {
		w, runs := world(5)
		w.crashingUntil[f.part()] = at(40)
		for i := range 60 {
			w.outcomes = append(w.outcomes, outcome{kind: standin.Stream, box: b, sent: at(float64(i)), ended: at(float64(i) + 0.1), status: 503, body: "the request is quarantined"})
		}
		refused, sent := w.countSoundRefused(f.part(), runs)
		So(sent, ShouldEqual, 30)
		So(refused, ShouldEqual, 30)
		w.outcomes[20].body, w.outcomes[21].customer, w.outcomes[22].kind = "overloaded", 1, standin.Lookup
		refused, sent = w.countSoundRefused(f.part(), runs)
		So(sent, ShouldEqual, 28)
		So(refused, ShouldEqual, 27)
	})
	Convey("Both are violations", t, func() {
		w, runs := world(12)
		w.crashingUntil[f.part()] = at(40)
		for i := range 60 {
			w.outcomes = append(w.outcomes, outcome{kind: standin.Stream, box: b, sent: at(float64(i)), ended: at(float64(i) + 0.1), status: 503, body: "the request is quarantined"})
		}
		So(w.checkCrashingPart(f.part(), runs), ShouldHaveLength, 2)
		So(w.checkCrashingPart(f.part(), runs[:7]), ShouldHaveLength, 1)
	})
	Convey("A prompt with the part names it", t, func() {
		call, _ := f.request("1")
		request := call.Build()
		run := standin.Run{Prompt: string(request.Header.Peek("X-Quaylead-Prompt-Prefix"))}
		So(run.PartWith(crashPart), ShouldEqual, f.part())
	})
}

func TestWordsChecked(t *testing.T) {
	b := &box{starts: 1}
	sent := func(id string, after float64) outcome {
		o := completedLookup(b)
		o.id, o.sent, o.ended = id, at(after), at(after+0.1)
		return o
	}
	arrival := func(id string, after float64) standin.Arrival {
		return standin.Arrival{ID: id, Server: "llm-1", At: at(after)}
	}
	Convey("A request sent to a server whose response announced that it leaves is found, even if the box was cut off", t, func() {
		leavingResponse := arrival("1", 0)
		leavingResponse.Leaving = true
		b.faultTimes = spans{{from: at(0.5), to: at(9)}}
		w := &world{outcomes: []outcome{sent("1", 0), sent("2", 5)}}
		So(w.checkSelfReports([]standin.Arrival{leavingResponse, arrival("2", 5)}), ShouldHaveLength, 1)
		other := arrival("2", 5)
		other.Server = "llm-2"
		So(w.checkSelfReports([]standin.Arrival{leavingResponse, other}), ShouldBeEmpty)
		w.outcomes[1].incarnation = 2
		So(w.checkSelfReports([]standin.Arrival{leavingResponse, arrival("2", 5)}), ShouldBeEmpty)
		b.faultTimes = nil
	})
	Convey("So is one sent during a rest, unless it was in flight or the refusal may have been lost", t, func() {
		refused := arrival("1", 0)
		refused.Refused, refused.RetryAfter = true, "3.0"
		w := &world{outcomes: []outcome{sent("1", 0), sent("2", 2)}}
		So(w.checkSelfReports([]standin.Arrival{refused, arrival("2", 2)}), ShouldHaveLength, 1)
		So(w.checkSelfReports([]standin.Arrival{refused, arrival("2", 0.4)}), ShouldBeEmpty)
		So(w.checkSelfReports([]standin.Arrival{refused, arrival("2", 3.1)}), ShouldBeEmpty)
		w.linkFaultTimes = spans{{from: at(-1), to: at(0.1)}}
		So(w.checkSelfReports([]standin.Arrival{refused, arrival("2", 2)}), ShouldBeEmpty)
	})
}
