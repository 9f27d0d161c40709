// Package partition divides the engines of a large pool into groups, and tells which group a
// prompt goes to and which box dispatches for a group. It is pure: all boxes that know the same
// engines and the same fleet find the same.
package partition

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Engines is the number of engines that one box dispatches for. With more in a group,
// customers' shares and the load of engines even out better; for these, a box takes some 1500
// requests a second, at about 0.2 ms each, and a look at a long line each tick.
const MaxGroupEngines = 192

// Count is the number of groups of a pool: a power of two, so that it seldom changes.
func Count(engines int) int {
	count := 1
	for count*MaxGroupEngines < engines {
		count *= 2
	}
	return count
}

// Name is what a group is called on the wire.
func GroupName(service string, group int) string { return fmt.Sprintf("%s/%d", service, group) }

// Of is the group that a key goes to, by weighted rendezvous hash: each group gets a part that
// goes with its weight, and few keys change group when a weight changes.
func GroupOf(key uint64, weights []int) int {
	best, bestScore := 0, math.Inf(-1)
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		if score := math.Log(Uniform(Hash(key, uint64(i)))) / float64(weight); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Uniform spreads a hash evenly over (0, 1].
func Uniform(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 1) / (1 << bits)
}

// Hash mixes a key with a number.
func Hash(key, number uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], key)
	binary.LittleEndian.PutUint64(bytes[8:], number)
	return xxhash.Sum64(bytes[:])
}
