package partition

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/membership"
)

// Ranked is a box that may dispatch for a group of engines, by weighted rendezvous hash
// over the boxes that are alive.
type Ranked struct {
	Name  string
	Score float64
	// Heard is set where the box is known to be alive, and not only listed.
	Alive bool
}

// mostRanked bounds the boxes that are ranked: with all of them suspect or out of
// reach, this box is itself cut off, and decides alone.
const maxRanked = 16

// coresPower makes large boxes far more likely to dispatch than their number of
// cores: they have more to spare, and a small one that dispatches is late.
const coresExponent = 3

// leastCores stand for boxes that do not tell what they have.
const minCores = 0.05

func boxScore(service, box uint64, cores float64) float64 {
	return math.Log(Uniform(Hash(service, box))) / math.Pow(max(cores, minCores), coresExponent)
}

// Rank are the first boxes for a service, best first, this one among them where it ranks
// so. Each box of the fleet is looked at once.
func Rank(service string, own membership.Candidate, others []membership.Candidate) []Ranked {
	key := xxhash.Sum64String(service)
	first := make([]Ranked, 0, maxRanked+1)
	place := func(c *membership.Candidate) {
		one := Ranked{Name: c.Name, Score: boxScore(key, c.Hash, c.Cores), Alive: c.Alive}
		at := len(first)
		for at > 0 && first[at-1].Score < one.Score {
			at--
		}
		if at == maxRanked {
			return
		}
		first = append(first, Ranked{})
		copy(first[at+1:], first[at:])
		first[at] = one
		first = first[:min(len(first), maxRanked)]
	}
	place(&own)
	for i := range others {
		place(&others[i])
	}
	return first
}
