package placement

import "testing"

// BenchmarkRank measures the ranking of 90 engines, which is repeated for each part in use after a
// weight moved.
func BenchmarkRank(b *testing.B) {
	for name, nodes := range map[string][]Node{"even": newNodes(1), "uneven": newNodes(0.7, 0.7, 1.7)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				SpreadZones(Rank(7, nodes, self), func(n Node) string { return n.ID[len(n.ID)-1:] })
			}
		})
	}
}
