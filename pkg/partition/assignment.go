package partition

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/membership"
)

// Assignment distributes the groups of a large pool evenly among the boxes with the most
// processor time. With rendezvous hashing alone, the most loaded of 50 boxes dispatches for
// five of 64 groups, and takes the sessions and requests of all five. All boxes that know the
// same fleet compute the same assignment, and few groups move when a box joins or leaves. The
// zero value is ready to use and safe for concurrent use.
type Assignment struct {
	mu sync.Mutex
	// large are the boxes that the groups were distributed among, sorted by hash.
	large []membership.Candidate
	// assigned holds the box of each group; its elements are empty if the ranking alone
	// decides.
	assigned []string
}

const (
	// minLargeFraction is the fraction of the highest processor time of any box from which on a
	// box counts as large.
	minLargeFraction = 0.5
	// minHashOnlyRatio is the number of large boxes per group from which on hashing alone
	// spreads the groups well enough.
	minHashOnlyRatio = 4
	// maxLoadFactor is how many times its even share of the groups a box may have: without
	// slack, a single box that leaves would move most groups.
	maxLoadFactor = 1.25
)

// BoxFor returns the box that is assigned as the dispatcher of a group; empty if the ranking
// alone decides.
func (a *Assignment) BoxFor(service string, group, groups int, own membership.Candidate, others []membership.Candidate) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	large := largeBoxes(own, others)
	if len(a.assigned) != groups || !slices.EqualFunc(a.large, large, isSameBox) {
		a.large, a.assigned = large, assign(service, groups, large)
	}
	return a.assigned[group]
}

func isSameBox(a, b membership.Candidate) bool { return a.Name == b.Name && a.Cores == b.Cores }

// minLargeCores returns the processor time from which on a box counts as large.
func minLargeCores(own membership.Candidate, others []membership.Candidate) float64 {
	maxCores := own.Cores
	for i := range others {
		maxCores = max(maxCores, others[i].Cores)
	}
	return minLargeFraction * maxCores
}

func largeBoxes(own membership.Candidate, others []membership.Candidate) (large []membership.Candidate) {
	minLarge := minLargeCores(own, others)
	if own.Cores >= minLarge {
		large = append(large, own)
	}
	for i := range others {
		if others[i].Cores >= minLarge {
			large = append(large, others[i])
		}
	}
	slices.SortFunc(large, func(a, b membership.Candidate) int {
		return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.Name, b.Name))
	})
	return large
}

// assign gives each group to the first box of its ranking that has not reached the maximum
// number of groups.
func assign(service string, groups int, large []membership.Candidate) []string {
	assigned := make([]string, groups)
	if len(large) >= minHashOnlyRatio*groups {
		return assigned
	}
	maxGroups := int(maxLoadFactor*float64(groups)/float64(len(large))) + 1
	counts := make([]int, len(large))
	for group := range assigned {
		key := xxhash.Sum64String(GroupName(service, group))
		best, bestScore := -1, 0.0
		for i := range large {
			if counts[i] == maxGroups {
				continue
			}
			if score := boxScore(key, large[i].Hash, large[i].Cores); best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		counts[best]++
		assigned[group] = large[best].Name
	}
	return assigned
}
