package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func endUnder(l *Ledger, now time.Time, instance Instance, parts ...Fingerprint) {
	for _, f := range parts {
		l.RecordEnd(f, instance, now)
	}
}

func TestParts(t *testing.T) {
	now := time.Now()
	service := func(n int) Instance { return InstanceOf("llm", string(rune('a'+n)), 0) }
	part := PartFingerprint("llm", "v1", "ward", 7)
	Convey("A part is the customer's and the release's, and is no request", t, func() {
		So(part.IsPart(), ShouldBeTrue)
		So(fingerprintOf("POST", "/", "ward", "body").IsPart(), ShouldBeFalse)
		others := []Fingerprint{
			PartFingerprint("llm", "v2", "ward", 7), PartFingerprint("llm", "v1", "camp", 7),
			PartFingerprint("api", "v1", "ward", 7), PartFingerprint("llm", "v1", "ward", 8),
		}
		for _, other := range others {
			So(other, ShouldNotEqual, part)
		}
	})
	Convey("A part is quarantined after four ends, tried once a second later, and then for long", t, func() {
		l := &Ledger{}
		So(l.HasParts(), ShouldBeFalse)
		So(l.CheckParts([]Fingerprint{part}, nil, now), ShouldBeNil)
		for n := range MaxPartEnds {
			So(l.Check(part, now).Allowed, ShouldEqual, MaxPartEnds-n)
			endUnder(l, now, service(n), part)
		}
		So(l.HasParts(), ShouldBeTrue)
		So(l.HasQuarantinedParts(), ShouldBeTrue)
		So(l.Check(part, now).IsQuarantined(), ShouldBeTrue)
		So(l.Check(part, now.Add(partTrialDelay)).Allowed, ShouldEqual, 1)
		endUnder(l, now, service(MaxPartEnds), part)
		So(l.Check(part, now.Add(minQuarantine-time.Second)).IsQuarantined(), ShouldBeTrue)
		So(l.Check(part, now.Add(minQuarantine)).Allowed, ShouldEqual, 1)
	})
	Convey("An event clears a part at its release, whichever ends it has", t, func() {
		l := &Ledger{}
		other := PartFingerprint("llm", "v2", "ward", 7)
		for n := range MaxPartEnds {
			endUnder(l, now, service(n), part, other)
		}
		So(l.Clear(part, "llm", now), ShouldBeTrue)
		So(l.Check(part, now).Ends, ShouldEqual, 0)
		So(l.HasQuarantinedParts(), ShouldBeTrue)
		So(l.Clear(other, "api", now), ShouldBeFalse)
		So(l.Check(other, now).IsQuarantined(), ShouldBeTrue)
	})
	Convey("Of parts that wait for a trial, requests with fewer are tried first", t, func() {
		l := &Ledger{}
		popular := PartFingerprint("llm", "v1", "ward", 8)
		for n := range MaxPartEnds {
			endUnder(l, now, service(n), part, popular)
		}
		first := now.Add(partTrialDelay)
		_, found := FirstQuarantined(l.CheckParts([]Fingerprint{popular}, nil, first))
		So(found, ShouldBeFalse)
		_, found = FirstQuarantined(l.CheckParts([]Fingerprint{popular, part}, nil, first))
		So(found, ShouldBeTrue)
		_, found = FirstQuarantined(l.CheckParts([]Fingerprint{popular, part}, nil, first.Add(partTrialDelay)))
		So(found, ShouldBeFalse)
	})
	Convey("A part that ended many endpoints of other releases is tried once at each release", t, func() {
		l := &Ledger{}
		other := PartFingerprint("llm", "v2", "ward", 7)
		for n := range MaxPartEnds + 1 {
			endUnder(l, now, service(n), other)
		}
		check := func() Status { return l.CheckParts([]Fingerprint{part}, [][]Fingerprint{{other}}, now)[0] }
		So(check().Allowed, ShouldEqual, 1)
		So(check().Ends, ShouldBeGreaterThanOrEqualTo, MaxPartEnds)
		endUnder(l, now, service(9), part)
		So(check().IsQuarantined(), ShouldBeTrue)
		So(l.Clear(part, "llm", now), ShouldBeTrue)
		So(check().Allowed, ShouldEqual, 1)
	})
	Convey("Parts are kept and forgotten like requests", t, func() {
		l := &Ledger{}
		endUnder(l, now, service(0), part)
		l.Expire(now.Add(minRetention + time.Minute))
		So(l.HasParts(), ShouldBeFalse)
		for n := range MaxPartEnds {
			endUnder(l, now, service(n), part)
		}
		rows := l.TakeUnstored(10, now)
		So(rows, ShouldHaveLength, 1)
		restarted := &Ledger{}
		restarted.Merge(rows[0].Ends, "", now)
		So(restarted.HasQuarantinedParts(), ShouldBeTrue)
		So(restarted.Check(part, now).IsQuarantined(), ShouldBeTrue)
		restarted.Clear(part, "llm", now)
		So(restarted.HasQuarantinedParts(), ShouldBeFalse)
	})
}
