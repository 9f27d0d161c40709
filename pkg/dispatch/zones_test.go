package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

// zoneRun is the outcome of a drawn load on engines in four zones.
type zoneRun struct {
	crossedBytes, readTokens, inTime float64
}

// playZones plays the addresses load on uneven engines, of which so much for each part comes from
// one zone.
func playZones(seed uint64, factor, ownZone float64, zoneHomes bool) zoneRun {
	s := newAddressSimulation(seed, engineSpeeds{rotation: unevenSpeeds, noise: seed%2 == 0})
	s.setZones(4)
	s.pool.Rules.ZoneHomes = zoneHomes
	s.pool.Configure(s.pool.service, 0)
	load := addressCustomer("a", factor)
	for i := range load {
		load[i].ownZone = ownZone
	}
	s.play(20*time.Second, load...)
	return zoneRun{float64(s.crossedBytes), s.readTokens, s.inTime()}
}

// TestZoneHomes compares homes by zone with homes anywhere. With demand that is alike in all zones
// each part would need more copies than there are today to halve what crosses: a part that is
// cached at n engines crosses 1 - n/4 of the time.
func TestZoneHomes(t *testing.T) {
	for _, one := range []struct{ factor, ownZone, crossed, read float64 }{
		{0.7, 0.8, 0.5, 1},
		{1, 0.8, 0.5, 1},
		{0.7, 0, 0.85, 1.03},
		{1, 0, 0.85, 1.03},
	} {
		Convey(fmt.Sprintf("Less crosses between zones, and no more is read: %+v", one), t, func() {
			var before, after zoneRun
			for seed := range uint64(2) {
				for run, zoneHomes := range map[*zoneRun]bool{&before: false, &after: true} {
					got := playZones(seed, one.factor, one.ownZone, zoneHomes)
					run.crossedBytes += got.crossedBytes
					run.readTokens += got.readTokens
					run.inTime += got.inTime / 2
				}
			}
			t.Logf("%+v: crossed %.3f, read %.3f, in time %.3f and %.3f", one, after.crossedBytes/before.crossedBytes, after.readTokens/before.readTokens, before.inTime, after.inTime)
			So(after.crossedBytes, ShouldBeLessThan, one.crossed*before.crossedBytes)
			So(after.readTokens, ShouldBeLessThan, one.read*before.readTokens)
			So(after.inTime, ShouldBeGreaterThan, before.inTime-0.02)
		})
	}
}

// newZonePool returns a pool of engines in zones a, b and c in turn.
func newZonePool(engines int) *Pool {
	p := newTestPool(engines, 0)
	endpoints := p.Endpoints()
	for i := range endpoints {
		endpoints[i].Zone = string(rune('a' + i%3))
	}
	p.SetEndpoints(endpoints, start)
	p.Rules.ZoneHomes = true
	p.Configure(p.service, 0)
	return p
}

func newZoneRequest(id, zone string, parts ...Part) *Request {
	req := newRequest(id, "customer", start, parts...)
	req.Zone, req.Size = zone, 17000
	return req
}

func TestZonePlacement(t *testing.T) {
	zoneOf := func(p *Pool, d []Decision) string { return p.engines[d[0].(Grant).Endpoint].Zone }
	own := func(i uint64) Part { return Part{ID: 100 + i, Tokens: 100} }
	serve := func(p *Pool, id, zone string, part Part, number uint64, after time.Duration) string {
		now := start.Add(after)
		req := newZoneRequest(id, zone, part, own(number))
		req.Arrived, req.Deadline = now, now.Add(time.Minute)
		granted := submit(p, req, now)
		p.Begin(id, now.Add(500*time.Millisecond))
		p.End(id, Done{}, now.Add(500*time.Millisecond))
		return zoneOf(p, granted)
	}
	Convey("The homes of a part lie in different zones", t, func() {
		p := newZonePool(12)
		for id := range uint64(50) {
			homes := p.homes(newZoneRequest("1", "a", shared(id), own(1)), start)
			So(homes, ShouldHaveLength, 2)
			So(homes[0].Zone, ShouldNotEqual, homes[1].Zone)
		}
	})
	Convey("A part that is cached nowhere is read in the zone of the request", t, func() {
		for _, zone := range []string{"a", "b", "c"} {
			So(serve(newZonePool(12), "1", zone, shared(7), 1, 0), ShouldEqual, zone)
		}
	})
	Convey("A few requests from another zone cross; after more of them there is a copy", t, func() {
		p := newZonePool(12)
		serve(p, "first", "a", shared(7), 1, 0)
		crossed := 0
		for i := range uint64(40) {
			zone := serve(p, fmt.Sprint(i), "b", shared(7), 2+i, time.Duration(i+1)*time.Second)
			if zone == "b" {
				break
			}
			So(zone, ShouldEqual, "a")
			crossed++
		}
		So(crossed, ShouldBeBetween, 3, 30)
		So(serve(p, "later", "b", shared(7), 60, time.Minute), ShouldEqual, "b")
	})
	Convey("Requests that seldom come do not justify a copy", t, func() {
		p := newZonePool(12)
		serve(p, "first", "a", shared(7), 1, 0)
		for i := range uint64(20) {
			So(serve(p, fmt.Sprint(i), "b", shared(7), 2+i, time.Duration(i+1)*time.Minute), ShouldEqual, "a")
		}
	})
	Convey("Short prompts stay in their zone while it has room", t, func() {
		p := newZonePool(12)
		for i := range uint64(4) {
			req := newZoneRequest(fmt.Sprint(i), "a", Part{ID: 5, Tokens: 350}, Part{ID: 200 + i, Tokens: 1110})
			req.Size = 1460
			So(zoneOf(p, submit(p, req, start)), ShouldEqual, "a")
		}
		for _, e := range p.sorted {
			if e.Zone == "a" {
				p.addGrant(newRequest("fill"+e.ID, "b", start, Part{ID: 300 + e.hash, Tokens: 9000}), e, start)
			}
		}
		So(zoneOf(p, submit(p, newZoneRequest("late", "a", Part{ID: 5, Tokens: 350}, Part{ID: 400, Tokens: 1110}), start)), ShouldNotEqual, "a")
	})
	Convey("Without usable engines in its zone, and from an unknown zone, a request goes elsewhere", t, func() {
		p := newZonePool(12)
		for _, e := range p.sorted {
			if e.Zone == "a" {
				eject(p, e.ID)
			}
		}
		So(serve(p, "1", "a", shared(7), 1, 0), ShouldNotEqual, "a")
		So(submit(p, newZoneRequest("2", "", shared(8), own(2)), start), ShouldHaveLength, 1)
		evacuated := newZoneRequest("3", "a", shared(9), own(3))
		evacuated.Zones = []string{"c"}
		So(zoneOf(p, submit(p, evacuated, start)), ShouldEqual, "c")
	})
	Convey("If a zone is lost, the homes in the others stay, and return with it", t, func() {
		p := newZonePool(12)
		all := p.Endpoints()
		var rest []route.Endpoint
		for _, e := range all {
			if e.Zone != "a" {
				rest = append(rest, e)
			}
		}
		homes := func(id uint64) []*engine { return p.homes(newZoneRequest("1", "b", shared(id), own(1)), start) }
		before := map[uint64][]*engine{}
		for id := range uint64(30) {
			before[id] = homes(id)
		}
		p.SetEndpoints(rest, start)
		for id, was := range before {
			for _, e := range was {
				if e.Zone != "a" {
					So(homes(id), ShouldContain, e)
				}
			}
		}
		p.SetEndpoints(all, start)
		for id, was := range before {
			for i, e := range homes(id) {
				So(e.ID, ShouldEqual, was[i].ID)
			}
		}
	})
}
