// Package placement decides at which engines the shared parts of prompts are cached: it ranks
// engines for a part by weighted rendezvous hashing, derives the weights from measured rates,
// and tells how many of the first engines are homes of the part. It does no I/O.
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is an engine as seen by Rank.
type Node struct {
	ID string
	// Weight is positive; only its ratio to those of the other nodes matters.
	Weight float64
}

// ranked is a node with its hash and score for a key.
type ranked[T any] struct {
	value T
	hash  uint64
	// score is 0 for all if the weights are equal: the hash then decides alone.
	score float64
}

// Rank returns the values in the order of weighted rendezvous hashing for a key: each is first
// for a fraction of the keys that is proportional to its weight. If one weight changes, or a
// value is added or removed, the order of the others stays. With equal weights, the order is that
// of the hashes.
func Rank[T any](key uint64, values []T, nodeOf func(T) Node) []T {
	order := make([]ranked[T], len(values))
	first, even := 0.0, true
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	var digest xxhash.Digest
	for i, value := range values {
		node := nodeOf(value)
		digest.Reset()
		digest.Write(seed[:])
		digest.WriteString(node.ID)
		hash := digest.Sum64()
		order[i] = ranked[T]{value: value, hash: hash, score: score(hash, node.Weight)}
		if i == 0 {
			first = node.Weight
		}
		even = even && node.Weight == first
	}
	if even {
		for i := range order {
			order[i].score = 0
		}
	}
	slices.SortFunc(order, func(a, b ranked[T]) int {
		if a.score != b.score {
			return cmp.Compare(a.score, b.score)
		}
		return cmp.Compare(b.hash, a.hash)
	})
	result := make([]T, len(order))
	for i := range order {
		result[i] = order[i].value
	}
	return result
}

// score returns an exponentially distributed number whose rate is the weight; the lowest score
// ranks first.
func score(hash uint64, weight float64) float64 {
	// The float64 nearest to the highest hash is 2^64, so u is in (0, 1].
	u := (float64(hash) + 1) / (1 << 64)
	return -math.Log(u) / weight
}
