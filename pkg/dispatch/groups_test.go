package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFairOverGroups has a customer whose prompts go to one group of engines beside others whose
// prompts go to all groups. What each gets over all groups has to be fair, as fairness is
// promised for the whole fleet, but each group divides its engines alone.
func TestFairOverGroups(t *testing.T) {
	const (
		groups, engines = 2, 30
		wide            = 4
		length          = 8 * time.Second
		// minFraction is the minimum that a customer has to get, as a fraction of the smaller of
		// what it requested and what the most served customer got.
		minFraction = 0.6
	)
	Convey("A customer whose prompts go to one group gets what others get over all groups", t, func() {
		fleet := make([]*simulation, groups)
		for group := range fleet {
			s := newSimulation(engines, statedRate*engines, readRate)
			s.tokenInterval, s.pool.Groups = 12*time.Millisecond, groups
			var sources []source
			for i := range wide {
				sources = append(sources, digestCustomer(fmt.Sprint("wide", i), 0.5*statedRate*engines)...)
			}
			if group == 0 {
				sources = append(sources, digestCustomer("narrow", 2*statedRate*engines)...)
			}
			s.otherGroups = func(customer string) (usage OtherGroupUsage) {
				for _, other := range fleet {
					if other != s {
						other.addUsage(customer, &usage)
					}
				}
				return usage
			}
			s.send(length, sources...)
			fleet[group] = s
		}
		for at := start; at.Before(start.Add(length + time.Second)); at = at.Add(time.Millisecond) {
			for _, s := range fleet {
				s.until(at)
			}
		}
		requested, got := map[string]float64{}, map[string]float64{}
		for _, s := range fleet {
			for key, one := range s.tallies {
				requested[key.customer] += one.requestedTokens
				got[key.customer] += one.grantedTokens
			}
		}
		maxGot := 0.0
		for _, tokens := range got {
			maxGot = max(maxGot, tokens)
		}
		for customer := range requested {
			t.Logf("%s requested %.2f and got %.2f million tokens", customer, requested[customer]/1e6, got[customer]/1e6)
		}
		So(got["narrow"], ShouldBeGreaterThan, minFraction*min(requested["narrow"], maxGot))
	})
}
