package partition

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/membership"
)

// Assignment shares the groups of a large pool evenly among the boxes that have most processor
// time. By rendezvous hash alone the unluckiest of 50 boxes dispatches for five of 64 groups,
// and takes sessions and requests of five. All boxes that know the same fleet find the same,
// and few groups change their box when one comes or goes. The zero value is ready, and safe for
// concurrent use.
type Assignment struct {
	mu sync.Mutex
	// large are the boxes that the groups were shared among, by hash in order.
	large []membership.Candidate
	// first are the boxes by group; empty where all boxes count alike.
	assigned []string
}

const (
	// largePart of the most processor time that any box has makes a large one.
	minLargeFraction = 0.5
	// spreadEnough is the number of large boxes for a group from which on chance alone spreads
	// the groups well enough.
	minHashOnlyRatio = 4
	// assignSlack is how far beyond an even part of the groups a box may have: with none, one
	// box that goes would move most of them.
	maxLoadFactor = 1.25
)

// Of is the box that is to dispatch for a group; empty where the ranking alone decides.
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

func largeBoxes(own membership.Candidate, others []membership.Candidate) (large []membership.Candidate) {
	most := own.Cores
	for i := range others {
		most = max(most, others[i].Cores)
	}
	if own.Cores >= minLargeFraction*most {
		large = append(large, own)
	}
	for i := range others {
		if others[i].Cores >= minLargeFraction*most {
			large = append(large, others[i])
		}
	}
	slices.SortFunc(large, func(a, b membership.Candidate) int {
		return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.Name, b.Name))
	})
	return large
}

// assign gives each group the first box by its ranking that has not its share yet.
func assign(service string, groups int, large []membership.Candidate) []string {
	first := make([]string, groups)
	if len(large) >= minHashOnlyRatio*groups {
		return first
	}
	most := int(maxLoadFactor*float64(groups)/float64(len(large))) + 1
	taken := make([]int, len(large))
	for group := range first {
		key := xxhash.Sum64String(GroupName(service, group))
		best, bestScore := -1, 0.0
		for i := range large {
			if taken[i] == most {
				continue
			}
			if score := boxScore(key, large[i].Hash, large[i].Cores); best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		taken[best]++
		first[group] = large[best].Name
	}
	return first
}
