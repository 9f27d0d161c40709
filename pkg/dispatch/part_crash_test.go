package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// deadlyPartID is the part of prompts that ends engines in these simulations.
const deadlyPartID = 0xdead

// The bounds of engines that end under a part: where its requests come one after the other, and
// however they come.
const (
	maxPartEnds         = 5
	maxPartEndsTogether = 8
)

// partKeys returns the fingerprints of a request's shared parts at the release of an engine.
func (s *crashSimulation) partKeys(req *crashRequest, engine string) []quarantine.Fingerprint {
	release := ""
	if e := s.pool.engines[engine]; e != nil {
		release = e.Release
	}
	return PartKeys("llm", release, req.Customer, &req.Prompt)
}

// isRefusedAtBox reports whether a box refuses a request for its parts: they are quarantined at all
// releases.
func (s *crashSimulation) isRefusedAtBox(req *crashRequest) bool {
	for _, release := range s.pool.releases {
		keys := PartKeys("llm", release, req.Customer, &req.Prompt)
		if _, found := quarantine.FirstQuarantined(s.ledgers[req.box].CheckParts(keys, nil, s.now)); !found {
			return false
		}
	}
	return true
}

// setReleases has the engines run a number of releases.
func (s *crashSimulation) setReleases(count int) {
	endpoints := s.pool.Endpoints()
	for i := range endpoints {
		endpoints[i].Release = fmt.Sprint("v", i%count)
	}
	s.pool.SetEndpoints(endpoints, s.now)
}

// recordPartEnds records at the request's box that an engine ended under the parts of a request that
// had no event yet.
func (s *crashSimulation) recordPartEnds(req *crashRequest, engine string, instance quarantine.Instance) {
	if req.begun {
		return
	}
	for _, key := range s.partKeys(req, engine) {
		s.ledgers[req.box].RecordEnd(key, instance, s.now)
	}
}

// clearParts records at the request's box that an engine began to answer the request.
func (s *crashSimulation) clearParts(req *crashRequest, engine string) {
	if !s.ledgers[req.box].HasParts() {
		return
	}
	cleared := false
	for _, key := range s.partKeys(req, engine) {
		cleared = s.ledgers[req.box].Clear(key, "llm", s.now) || cleared
	}
	if cleared {
		s.exchangeEnds()
	}
}

// sendDeadlyParts sends requests of the innocents' customer at the given times, to any box. They share
// the deadly part with each other, and a part with innocent ones.
func (s *crashSimulation) sendDeadlyParts(times ...time.Duration) {
	from := &source{customer: "others", route: "chat", latencyTarget: 600 * time.Millisecond, shared: 350, own: 900, sharedParts: 160, output: 50}
	for i, after := range times {
		req := &crashRequest{Request: s.newRequest(from, 1<<20+i, s.now.Add(after)), deadlyPart: true, box: s.rand.IntN(len(s.ledgers))}
		req.ID = fmt.Sprint("deadly-", i)
		req.Fingerprint = fingerprintOf("others", req.ID)
		deadly := Part{ID: deadlyPartID, Tokens: 400}
		if s.rand.IntN(2) == 0 {
			req.Prompt.Parts = append([]Part{deadly}, req.Prompt.Parts...)
		} else {
			req.Prompt.Parts = append([]Part{req.Prompt.Parts[0], deadly}, req.Prompt.Parts[1:]...)
		}
		s.at(req.Arrived, func() { s.receive(req) })
	}
}

// partEnds returns the number of engines that ended under the deadly part.
func (s *crashSimulation) partEnds() (count int) {
	for _, ends := range s.ends {
		count += ends
	}
	return count
}

// waves returns times of which some are the same, and others no closer than a gap.
func waves(rand *rand.Rand, count, together int, gap time.Duration) (all []time.Duration) {
	at := 2 * time.Second
	for i := range count {
		if i%together == 0 {
			at += gap + time.Duration(rand.ExpFloat64()*float64(gap))
		}
		all = append(all, at)
	}
	return all
}

// TestMostEndsUnderPart checks over random fleets that few engines end under a part, however its
// requests come and whichever box dispatches, and that innocent requests that share all other parts
// are not refused for it.
func TestMostEndsUnderPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(6, 14).Draw(t, "engines")
		s := newCrashSimulation(engines, rapid.IntRange(2, 8).Draw(t, "boxes"), rapid.Uint64().Draw(t, "seed"))
		releases := rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "releases")
		s.setReleases(releases)
		innocents := s.sendInnocents(float64(engines)*rapid.Float64Range(2, 8).Draw(t, "load"), 20*time.Second, 0.3)
		most := maxPartEndsTogether
		switch together := rapid.IntRange(0, 8).Draw(t, "together"); together {
		case 0:
			// All come before the first of them ends an engine, or soon after.
			most = engines
			s.sendDeadlyParts(times(s.rand, 40, time.Duration(rapid.IntRange(1, 100).Draw(t, "gap"))*time.Millisecond)...)
		case 1:
			most = maxPartEnds + releases - 1
			fallthrough
		default:
			s.sendDeadlyParts(waves(s.rand, 40, together, 300*time.Millisecond)...)
		}
		for range rapid.IntRange(0, 2).Draw(t, "losses") {
			count := rapid.IntRange(1, 3).Draw(t, "lost")
			s.at(s.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "at"))*time.Millisecond), func() { s.failBoxes(count) })
		}
		s.until(s.now.Add(time.Hour))
		if ends := s.partEnds(); ends > most || s.knownPartEnds > maxPartEnds+releases-1 {
			t.Fatalf("%d engines ended, %d under requests granted after the first end", ends, s.knownPartEnds)
		}
		if s.refusedInnocent*10 > innocents {
			t.Fatalf("%d of %d innocent requests were refused by quarantine", s.refusedInnocent, innocents)
		}
	})
}

// TestPartsOfMassCrashes ends half of the engines at once, six times, while all requests share few
// parts. None is refused for it.
func TestPartsOfMassCrashes(t *testing.T) {
	for number := range fleetsOr(6) {
		draw := rand.New(rand.NewPCG(uint64(number), 4))
		engines := 4 + draw.IntN(9)
		s := newCrashSimulation(engines, 8, uint64(number))
		innocents := s.sendInnocents(float64(engines)*10, 20*time.Second, 0)
		for wave := range 6 {
			s.at(s.now.Add(time.Duration(2+3*wave)*time.Second), func() { s.crashHalf() })
		}
		s.until(s.now.Add(time.Hour))
		if s.refusedInnocent > 0 {
			t.Errorf("fleet %d: %d of %d requests were refused by quarantine, %d lost an engine", number, s.refusedInnocent, innocents, s.lost)
		}
	}
}
