package membership

import (
	"time"
)

// Candidate is a box that may do a job for the fleet, such as dispatching.
type Candidate struct {
	Name string
	// Address is where other boxes reach it; empty for this box.
	Address string
	// Incarnation is its start; 0 where it is not known.
	Incarnation uint64
	// Hash is of the name.
	Hash  uint64
	Cores float64
	// Heard is set where the box is known to be alive, and not only listed.
	Alive bool
}

// standing is a list of candidates as of a version of the view.
type candidateCache struct {
	candidates []Candidate
	version    uint64
	expiresAt  time.Time
}

// standFor bounds the age of the candidates without news: lists of boxes come without.
const candidateCacheTTL = 200 * time.Millisecond

// Candidates are the other boxes that are alive, take work and have a configuration, and those
// that are only listed: they may be alive, and their rows on the way. After all boxes were gone,
// those that are back have to count before they are heard, or else each box takes whichever it
// heard first for the one that dispatches. Those to which no session can be opened are left
// out. The list is the same until the fleet changes, and is not to be changed.
func (v *View) Candidates(now time.Time) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	if v.candidateCache.candidates != nil && v.candidateCache.version == v.version && now.Before(v.candidateCache.expiresAt) {
		return v.candidateCache.candidates
	}
	v.updateAlive()
	found := make([]Candidate, 0, len(v.accepting))
	for _, one := range v.accepting {
		if one.Configured && one.box != nil {
			found = append(found, Candidate{
				Name:        one.Box,
				Address:     one.PeerAddress,
				Incarnation: one.Incarnation,
				Hash:        one.box.hash,
				Cores:       one.Cores,
				Alive:       true,
			})
		}
	}
	for _, box := range v.all {
		if !box.hasRow && now.After(box.excludedUntil) {
			found = append(found, Candidate{Name: box.name, Address: box.address, Hash: box.hash, Cores: box.cores})
		}
	}
	v.candidateCache = candidateCache{candidates: found, version: v.version, expiresAt: now.Add(candidateCacheTTL)}
	return found
}

// recent is a count of the boxes that were alive a short while ago.
type recentCount struct {
	count     int
	window    time.Duration
	expiresAt time.Time
}

// recentFor is how long the count holds.
const recentCountTTL = 50 * time.Millisecond

// CountRecent is the number of other boxes that are alive, or were until a short while ago
// and did not say that they leave. One that came back by its name counts once.
func (v *View) CountRecent(now time.Time, within time.Duration) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recentCount.window == within && now.Before(v.recentCount.expiresAt) {
		return v.recentCount.count
	}
	v.findLive()
	names := make(map[string]bool, len(v.rows))
	for _, one := range v.rows {
		lost := !one.alive && (one.Leaving || now.Sub(one.lostAt) > within)
		if !lost && one.Box != v.Self.Box {
			names[one.Box] = true
		}
	}
	v.recentCount = recentCount{count: len(names), window: within, expiresAt: now.Add(recentCountTTL)}
	return len(names)
}

// AddressOf is where a box is reached; empty where that is not known.
func (v *View) AddressOf(box string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.boxes[box]; known != nil {
		return known.address
	}
	return ""
}

// StartOf is the incarnation of a box that is alive; 0 where it is not known.
func (v *View) IncarnationOf(box string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.boxes[box]; known != nil {
		return known.incarnation
	}
	return 0
}
