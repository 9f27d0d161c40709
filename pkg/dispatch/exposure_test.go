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
	Convey("Concurrent repeats go to one engine of the box's choice and to their preferred one, and other requests to any", t, func() {
		p := newTestPool(9, 0)
		for i := range 9 {
			p.Submit(req(i), start)
		}
		So(engines(p.Decide(start)), ShouldHaveLength, quarantine.MaxEnds-1)
		other := req(100)
		other.Fingerprint = fingerprintOf("a", "other")
		So(submit(p, other, start), ShouldHaveLength, 1)
	})
	Convey("Boxes that do not know of each other send repeats to the same engine", t, func() {
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
	Convey("They also do if the repeats report other parts of their prompt, long ones included", t, func() {
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
	Convey("An engine that just failed may have ended under another box's repeat: no other engine is tried until the report can have arrived", t, func() {
		p := newTestPool(9, 0)
		p.Contested = true
		first := submit(p, req(1), start)[0].(Grant).Endpoint
		p.End("1", Unreachable{}, start)
		So(submit(p, req(2), start.Add(time.Millisecond)), ShouldBeEmpty)
		next := p.Decide(start.Add(maxEndReportDelay))
		So(next, ShouldHaveLength, 1)
		So(next[0].(Grant).Endpoint, ShouldNotEqual, first)
	})
	Convey("After two ends all repeats go to one engine; after the third they are refused at once", t, func() {
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
		_, refused := decided[0].(Refusal)
		So(refused, ShouldBeTrue)
	})
	Convey("A waiting request is refused as soon as the third engine has ended", t, func() {
		p := newTestPool(1, 0)
		eject(p, "e0")
		So(submit(p, req(1), start), ShouldBeEmpty)
		for i := range 3 {
			p.Ledger.RecordEnd(req(1).Fingerprint, quarantine.InstanceOf("llm", fmt.Sprint(i), 0), start)
		}
		So(p.Decide(start.Add(time.Millisecond)), ShouldHaveLength, 1)
	})
	Convey("A removed engine no longer counts as one that runs the request", t, func() {
		p := newTestPool(2, 0)
		submit(p, req(1), start)
		p.SetEndpoints([]route.Endpoint{{ID: "e9", Service: "llm", Slots: 64}}, start)
		p.End("1", Broken{}, start)
		So(p.exposures, ShouldBeEmpty)
	})
}
