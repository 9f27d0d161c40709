package partition

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/membership"
)

// Ranked is a box in the ranking for a group of engines, by weighted rendezvous hashing over
// the candidates.
type Ranked struct {
	Name string
	// Zone is its availability zone.
	Zone  string
	Score float64
	// Cores is its processor time; 0 means unknown.
	Cores float64
	// Alive is set if the box is known to be alive, and not only listed.
	Alive bool
	// large is set if the box has at least minLargeFraction of the most processor time of any box.
	large bool
}

// maxRanked bounds the ranking: if that many boxes are all suspect or unreachable, this box is
// itself cut off and decides alone.
const maxRanked = 16

// coresExponent makes the largest boxes more likely to dispatch than in proportion to their cores:
// they have more capacity to spare.
const coresExponent = 3

// minCores is the lower bound of the cores of a box; it also stands for boxes that do not
// report theirs.
const minCores = 0.05

func boxScore(group, box uint64, cores float64) float64 {
	return math.Log(Uniform(Hash(group, box))) / math.Pow(max(cores, minCores), coresExponent)
}

// precedes reports whether a box ranks before another one. Large boxes precede all others, however
// many those are: a dispatcher without enough processor time responds late, and the requests that wait
// for its verdict fill the bounds of the boxes that sent them.
func (r *Ranked) precedes(other *Ranked) bool {
	if r.large != other.large {
		return r.large
	}
	return r.Score > other.Score
}

// Rank returns the first boxes for a group of engines, best first, with this box among them if
// it ranks high enough. It visits each box of the fleet twice.
func Rank(group string, own membership.Candidate, others []membership.Candidate) []Ranked {
	key, minLarge := xxhash.Sum64String(group), minLargeCores(own, others)
	ranking := make([]Ranked, 0, maxRanked+1)
	insert := func(c *membership.Candidate) {
		ranked := Ranked{Name: c.Name, Zone: c.Zone, Score: boxScore(key, c.Hash, c.Cores), Cores: c.Cores, Alive: c.Alive, large: c.Cores >= minLarge}
		index := len(ranking)
		for index > 0 && ranked.precedes(&ranking[index-1]) {
			index--
		}
		if index == maxRanked {
			return
		}
		ranking = append(ranking, Ranked{})
		copy(ranking[index+1:], ranking[index:])
		ranking[index] = ranked
		ranking = ranking[:min(len(ranking), maxRanked)]
	}
	insert(&own)
	for i := range others {
		insert(&others[i])
	}
	return ranking
}
