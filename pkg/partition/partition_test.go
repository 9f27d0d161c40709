package partition

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/membership"
)

// candidatesOf returns a fleet in which one box in twenty is large.
func candidatesOf(boxes int) (found []membership.Candidate) {
	for i := range boxes {
		cores := 0.192
		if i%20 == 0 {
			cores = 1.6
		}
		found = append(found, membership.Candidate{Name: fmt.Sprintf("box-%d", i), Hash: uint64(i) * 0x9e3779b97f4a7c15, Cores: cores, Alive: true})
	}
	return found
}

func TestRank(t *testing.T) {
	Convey("All boxes compute the same ranking, whatever the order of their candidates", t, func() {
		fleet := candidatesOf(400)
		ranking := Rank("llm/3", fleet[0], fleet[1:])
		So(ranking, ShouldHaveLength, maxRanked)
		for own := range 20 {
			others := append(append([]membership.Candidate{}, fleet[own+1:]...), fleet[:own]...)
			So(Rank("llm/3", fleet[own], others), ShouldResemble, ranking)
		}
		for i := 1; i < len(ranking); i++ {
			So(ranking[i-1].Score, ShouldBeGreaterThanOrEqualTo, ranking[i].Score)
		}
	})
}

// drawMixedFleet draws a fleet with a few large boxes among small ones.
func drawMixedFleet(draw *rand.Rand) (fleet []membership.Candidate, large int) {
	boxes := 8 + draw.IntN(300)
	large = 1 + draw.IntN(1+boxes/12)
	smallCores := 0.1 + 0.2*draw.Float64()
	largeCores := smallCores * (2.5 + 4*draw.Float64())
	for i := range boxes {
		cores := smallCores
		if i < large {
			cores = largeCores
		}
		name := fmt.Sprintf("box-%d", draw.Uint32())
		fleet = append(fleet, membership.Candidate{Name: name, Hash: xxhash.Sum64String(name), Cores: cores, Alive: true})
	}
	return fleet, large
}

// TestSmallBoxDoesNotDispatchBesideLargeOnes guards against a dispatcher without processor time, whose
// late verdicts hold the requests of a customer with callers at one box.
func TestSmallBoxDoesNotDispatchBesideLargeOnes(t *testing.T) {
	Convey("Large boxes rank first in drawn fleets", t, func() {
		draw := rand.New(rand.NewPCG(1, 31))
		smallFirst := 0
		const fleets = 400
		for range fleets {
			fleet, large := drawMixedFleet(draw)
			ranking := Rank(GroupName("llm", 0), fleet[0], fleet[1:])
			largest := fleet[0].Cores
			for i := range min(large, len(ranking)) {
				if ranking[i].Cores < largest {
					smallFirst++
					break
				}
			}
		}
		So(smallFirst, ShouldEqual, 0)
	})
	Convey("All boxes still rank, so that small ones dispatch when no large one is left", t, func() {
		fleet := candidatesOf(40)
		ranking := Rank("llm/0", fleet[0], fleet[1:])
		So(ranking, ShouldHaveLength, maxRanked)
		So(ranking[1].Cores, ShouldEqual, fleet[0].Cores)
		So(ranking[2].Cores, ShouldBeLessThan, fleet[0].Cores)
	})
}

// TestAssignment checks that groups are distributed evenly, and that few of them move when a
// box leaves.
func TestAssignment(t *testing.T) {
	assignmentOf := func(fleet []membership.Candidate, groups int) []string {
		shared := Assignment{}
		assigned := make([]string, groups)
		for group := range assigned {
			assigned[group] = shared.BoxFor("llm", group, groups, fleet[0], fleet[1:])
		}
		return assigned
	}
	Convey("No box has far more groups than another, whatever the order of the candidates", t, func() {
		fleet := candidatesOf(1000)
		assigned := assignmentOf(fleet, 64)
		count := map[string]int{}
		for _, box := range assigned {
			count[box]++
			So(count[box], ShouldBeLessThanOrEqualTo, 2)
		}
		rotated := append(append([]membership.Candidate{}, fleet[500:]...), fleet[:500]...)
		So(assignmentOf(rotated, 64), ShouldResemble, assigned)
	})
	Convey("When a large box leaves, its groups move and few others", t, func() {
		fleet := candidatesOf(1000)
		before := assignmentOf(fleet, 64)
		for gone := range 5 {
			left := slices.DeleteFunc(slices.Clone(fleet), func(c membership.Candidate) bool { return c.Name == fleet[20*gone].Name })
			moved := 0
			for group, box := range assignmentOf(left, 64) {
				if box != before[group] && before[group] != fleet[20*gone].Name {
					moved++
				}
			}
			So(moved, ShouldBeLessThanOrEqualTo, 64/8)
		}
	})
	Convey("A small box that leaves moves nothing, and boxes with equal cores are ranked by hash alone", t, func() {
		fleet := candidatesOf(1000)
		So(assignmentOf(slices.Delete(slices.Clone(fleet), 7, 8), 64), ShouldResemble, assignmentOf(fleet, 64))
		for i := range fleet {
			fleet[i].Cores = 1
		}
		So(assignmentOf(fleet, 64)[0], ShouldBeEmpty)
	})
}
