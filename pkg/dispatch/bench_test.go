package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// BenchmarkDecide measures one decision with many requests waiting: without room at any engine,
// with room at one of them, with room while other boxes may dispatch too, and with room while the
// rules for zones and empty caches are on.
func BenchmarkDecide(b *testing.B) {
	for name, set := range map[string]struct{ room, contested, zones bool }{
		"no room":         {},
		"room":            {room: true},
		"room, contested": {room: true, contested: true},
		"room, zones":     {room: true, zones: true},
	} {
		b.Run(name, func(b *testing.B) { benchmarkDecide(b, set.room, set.contested, set.zones) })
	}
}

func benchmarkDecide(b *testing.B, room, contested, zones bool) {
	p := newTestPool(90, 4e6)
	if zones {
		p = newZonePool(90)
		p.Rules.ColdHomes = true
		p.Configure(p.service, 4e6)
	}
	p.Contested = contested
	now := start
	for i, e := range p.sorted {
		if i == 0 && room {
			// It is idle, but its slots are taken.
			e.running = e.Slots
			continue
		}
		for n := range 4 {
			p.addGrant(newRequest(fmt.Sprint("fill", i, n), "other", now, Part{ID: uint64(10000 + i*4 + n), Tokens: 20000}), e, now)
		}
	}
	for i := range 400 {
		part := Part{ID: uint64(i % 100), Tokens: 13000 * (i % 2)}
		req := newRequest(fmt.Sprint(i), fmt.Sprint("c", i%10), now, part, Part{ID: uint64(50000 + i), Tokens: 3000})
		req.Zone, req.Size = "a", 17000
		req.LatencyTarget = 600 * time.Millisecond
		req.Deadline = now.Add(time.Hour)
		req.Fingerprint = fingerprintOf(req.Customer, req.ID)
		p.Submit(req, now)
		// A request refused on arrival would leave the queue with the first decision.
		req.refuseNow = false
	}
	// Some engines have ended while they ran other requests.
	for i := range 300 {
		p.Ledger.RecordEnd(fingerprintOf("other", fmt.Sprint(i)), quarantine.InstanceOf("llm", fmt.Sprint(i%10), 0), now)
	}
	for b.Loop() {
		p.Decide(now)
	}
}
