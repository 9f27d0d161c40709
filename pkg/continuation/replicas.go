package continuation

import "slices"

// Box is a box that may keep origins.
type Box struct {
	Name string
	// Zone is its availability zone.
	Zone string
}

// Replicas returns the boxes that keep the origins of other boxes, best first, from a ranking on
// which all boxes agree: they alternate between availability zones as far as possible, so that the
// loss of one zone leaves a copy.
func Replicas(ranked []Box, count int) (replicas []Box) {
	left := slices.Clone(ranked)
	used := map[string]bool{}
	for len(replicas) < count && len(left) > 0 {
		next := max(0, slices.IndexFunc(left, func(b Box) bool { return !used[b.Zone] }))
		used[left[next].Zone] = true
		replicas = append(replicas, left[next])
		left = slices.Delete(left, next, next+1)
	}
	return replicas
}
