package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// benchmarkCase is a state of the pool in BenchmarkDecide.
type benchmarkCase struct{ room, contested, zones, fetch, parts bool }

// BenchmarkDecide measures one decision with many requests waiting: without room at any engine,
// with room at one of them, and with room while other boxes may dispatch too; and these with
// engines that can copy the parts of all requests, with the rules for zones and empty caches, and while
// engines have ended under parts of prompts, one of them quarantined.
func BenchmarkDecide(b *testing.B) {
	for name, set := range map[string]benchmarkCase{
		"no room":                   {},
		"no room, parts":            {parts: true},
		"room":                      {room: true},
		"room, parts":               {room: true, parts: true},
		"room, contested":           {room: true, contested: true},
		"room, zones":               {room: true, zones: true},
		"room, fetching":            {room: true, fetch: true},
		"room, contested, fetching": {room: true, contested: true, fetch: true},
	} {
		b.Run(name, func(b *testing.B) { benchmarkDecide(b, set) })
	}
}

// letFetch makes the engines able to copy cached parts, and each of some parts cached at as many
// engines as are evaluated.
func letFetch(p *Pool, parts int) {
	p.Rules.Fetch = true
	p.Configure(copyingService, p.tokensPerSecond)
	for part := range parts {
		for i := range maxSources {
			engine := fmt.Sprint("e", (part+7*i)%len(p.sorted))
			p.ApplyCacheReport(CachedParts{Endpoint: engine, Parts: []Part{{ID: uint64(part), Tokens: 13000}}}, start)
		}
	}
}

func benchmarkDecide(b *testing.B, set benchmarkCase) {
	p := newTestPool(90, 4e6)
	if set.zones {
		p = newZonePool(90)
		p.Rules.ColdHomes = true
		p.Configure(p.service, 4e6)
	}
	p.Contested = set.contested
	if set.fetch {
		letFetch(p, 100)
	}
	now := start
	for i, e := range p.sorted {
		if i == 0 && set.room {
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
	if set.parts {
		for i := range 100 {
			part := quarantine.PartFingerprint("llm", "", "c0", uint64(i))
			p.Ledger.RecordEnd(part, quarantine.InstanceOf("llm", fmt.Sprint(i%10), 0), now)
		}
		for i := range quarantine.MaxPartEnds + 1 {
			p.Ledger.RecordEnd(quarantine.PartFingerprint("llm", "", "c0", 1000), quarantine.InstanceOf("llm", fmt.Sprint(i), 0), now)
		}
	}
	for b.Loop() {
		p.Decide(now)
	}
}
