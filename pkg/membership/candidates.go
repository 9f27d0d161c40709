package membership

import (
	"time"
)

// Candidate is a box that may take on a task for the fleet, such as dispatching.
type Candidate struct {
	Name string
	// Zone is its availability zone.
	Zone string
	// Address is where other boxes connect to it; empty for this box.
	Address string
	// Incarnation is that of its process; 0 if it is not known.
	Incarnation uint64
	// Hash is the hash of the name.
	Hash  uint64
	Cores float64
	// Alive is set if the box is known to be alive, and not only listed.
	Alive bool
}

// candidateCache holds the candidates as of a version of the view.
type candidateCache struct {
	candidates []Candidate
	version    uint64
	expiresAt  time.Time
}

// candidateCacheTTL bounds the age of cached candidates while the version stays the same:
// AddListed does not change it.
const candidateCacheTTL = 200 * time.Millisecond

// Candidates returns the other boxes that are alive, accept work and have settings in force,
// and those that are only listed: these may be alive while their rows are still on the way.
// When a whole fleet restarts, boxes have to count before their rows arrive, or else each box
// would take the first one that it received updates from for the dispatcher. Boxes to which no
// session can be opened are excluded. The slice is shared until the fleet changes and must not
// be modified.
func (v *View) Candidates(now time.Time) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	if v.candidateCache.candidates != nil && v.candidateCache.version == v.version && now.Before(v.candidateCache.expiresAt) {
		return v.candidateCache.candidates
	}
	v.updateAlive()
	found := make([]Candidate, 0, len(v.accepting))
	for _, row := range v.accepting {
		if row.Configured && row.box != nil {
			found = append(found, Candidate{
				Name:        row.Box,
				Zone:        row.Zone,
				Address:     row.PeerAddress,
				Incarnation: row.Incarnation,
				Hash:        row.box.hash,
				Cores:       row.Cores,
				Alive:       true,
			})
		}
	}
	for _, box := range v.all {
		if !box.hasRow && now.After(box.excludedUntil) {
			found = append(found, Candidate{Name: box.name, Zone: box.zone, Address: box.address, Hash: box.hash, Cores: box.cores})
		}
	}
	v.candidateCache = candidateCache{candidates: found, version: v.version, expiresAt: now.Add(candidateCacheTTL)}
	return found
}

// recentCount caches the result of CountRecent.
type recentCount struct {
	count     int
	window    time.Duration
	expiresAt time.Time
}

// recentCountTTL is how long a cached count is used.
const recentCountTTL = 50 * time.Millisecond

// CountRecent returns the number of other boxes that are alive, or were within the window
// before now and did not announce that they leave. A box that restarted under the same name
// counts once.
func (v *View) CountRecent(now time.Time, window time.Duration) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recentCount.window == window && now.Before(v.recentCount.expiresAt) {
		return v.recentCount.count
	}
	v.findLive()
	names := make(map[string]bool, len(v.rows))
	for _, row := range v.rows {
		lost := !row.alive && (row.Leaving || now.Sub(row.lostAt) > window)
		if !lost && row.Box != v.Self.Box {
			names[row.Box] = true
		}
	}
	v.recentCount = recentCount{count: len(names), window: window, expiresAt: now.Add(recentCountTTL)}
	return len(names)
}

// AddressOf returns the address at which other boxes connect to a box; empty if it is not
// known.
func (v *View) AddressOf(box string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.boxes[box]; known != nil {
		return known.address
	}
	return ""
}

// IncarnationOf returns the incarnation of a box as last reported; 0 if it is not known.
func (v *View) IncarnationOf(box string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.boxes[box]; known != nil {
		return known.incarnation
	}
	return 0
}
