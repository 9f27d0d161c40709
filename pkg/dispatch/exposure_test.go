package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

func TestExposure(t *testing.T) {
	req := func(number int) *Request {
		one := newRequest(fmt.Sprint(number), "a", start, Part{ID: uint64(number), Tokens: 1000})
		one.Fingerprint = fingerprintOf("a", "body")
		return one
	}
	engines := func(decisions []Decision) map[string]bool {
		found := map[string]bool{}
		for _, d := range decisions {
			if grant, ok := d.(Grant); ok {
				found[grant.Endpoint] = true
			}
		}
		return found
	}
	Convey("Repeats that come together go to one engine of the box's choice and to their first, and others to any", t, func() {
		p := newTestPool(9, 0)
		for i := range 9 {
			p.Submit(req(i), start)
		}
		So(engines(p.Decide(start)), ShouldHaveLength, quarantine.MaxEnds-1)
		other := req(100)
		other.Fingerprint = fingerprintOf("a", "other")
		So(submit(p, other, start), ShouldHaveLength, 1)
	})
	Convey("Boxes that know nothing of each other send repeats to the same engine", t, func() {
		found := map[string]bool{}
		for box := range 9 {
			p := newTestPool(9, 0)
			p.Contested = true
			p.Submit(newRequest("other", "b", start, Part{ID: uint64(1000 + box), Tokens: 1000}), start)
			p.Submit(req(box), start)
			for _, d := range p.Decide(start) {
				if g, ok := d.(Grant); ok && g.Request.Customer == "a" {
					found[g.Endpoint] = true
				}
			}
		}
		So(found, ShouldHaveLength, 1)
	})
	Convey("So they do with repeats that tell other parts of their prompt, long ones too", t, func() {
		found := map[string]bool{}
		for box := range 9 {
			p := newTestPool(9, 0)
			p.Contested = true
			one := req(box)
			one.Parts = []Part{shared(uint64(box)), {ID: uint64(1000 + box), Tokens: 1000}}
			decided := submit(p, one, start)
			So(decided, ShouldHaveLength, 1)
			found[decided[0].(Grant).Endpoint] = true
		}
		So(found, ShouldHaveLength, 1)
	})
	Convey("What failed a moment ago may have ended under a repeat of another box: nothing else is tried until that is told", t, func() {
		p := newTestPool(9, 0)
		p.Contested = true
		first := submit(p, req(1), start)[0].(Grant).Endpoint
		p.End("1", Unreachable{}, start)
		So(submit(p, req(2), start.Add(time.Millisecond)), ShouldBeEmpty)
		next := p.Decide(start.Add(endReportDelay))
		So(next, ShouldHaveLength, 1)
		So(next[0].(Grant).Endpoint, ShouldNotEqual, first)
	})
	Convey("Where two engines ended, repeats share one; after the third they are refused at once", t, func() {
		p := newTestPool(9, 0)
		for i := range 2 {
			grant := submit(p, req(i), start)[0].(Grant)
			eject(p, grant.Endpoint)
			p.End(fmt.Sprint(i), Ended{End: quarantine.End{Fingerprint: req(i).Fingerprint, Instance: quarantine.InstanceOf("llm", grant.Endpoint, 0), Version: 1}}, start)
		}
		for i := range 4 {
			p.Submit(req(10+i), start)
		}
		at := engines(p.Decide(start))
		So(at, ShouldHaveLength, 1)
		for engine := range at {
			p.End("10", Ended{End: quarantine.End{Fingerprint: req(0).Fingerprint, Instance: quarantine.InstanceOf("llm", engine, 0), Version: 1}}, start)
		}
		decided := submit(p, req(20), start)
		So(decided, ShouldHaveLength, 1)
		_, turned := decided[0].(Refusal)
		So(turned, ShouldBeTrue)
	})
	Convey("A request in line is refused as soon as the third engine has ended", t, func() {
		p := newTestPool(1, 0)
		eject(p, "e0")
		So(submit(p, req(1), start), ShouldBeEmpty)
		for i := range 3 {
			p.Ledger.RecordEnd(req(1).Fingerprint, quarantine.InstanceOf("llm", fmt.Sprint(i), 0), start)
		}
		So(p.Decide(start.Add(time.Millisecond)), ShouldHaveLength, 1)
	})
	Convey("An engine that ended is no longer counted as one that runs it", t, func() {
		p := newTestPool(2, 0)
		submit(p, req(1), start)
		p.SetEndpoints([]route.Endpoint{{ID: "e9", Service: "llm", Slots: 64}}, start)
		p.End("1", Broken{}, start)
		So(p.exposed, ShouldBeEmpty)
	})
}
