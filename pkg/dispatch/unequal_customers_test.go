package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/partition"
)

// unequalFleet is a fleet whose customers differ in everything: kinds of requests, shared parts,
// sizes, demand, routers, and when they begin.
type unequalFleet struct {
	// groups is the number of groups of engines, and engines that of the engines of each.
	groups, engines int
	callers         []callerGroup
	// takeOver is when another pool takes over in the first group, and silentAt when half of the
	// routers fall silent; 0 means never.
	takeOver, silentAt time.Duration
	// lostFraction is the fraction of the answers that are lost between lostAt and two seconds later.
	lostFraction float64
	lostAt       time.Duration
}

func (u *unequalFleet) String() string {
	return fmt.Sprintf("%d groups of %d engines, %d customers, take-over %v, silent %v, %.2f lost", u.groups, u.engines, len(u.callers), u.takeOver, u.silentAt, u.lostFraction)
}

// drawUnequalFleet draws a fleet. Each customer has few or many shared parts, of its own or shared
// with others; in half of the fleets all have few.
func drawUnequalFleet(draw *rand.Rand, groups int) *unequalFleet {
	u := &unequalFleet{groups: groups, engines: 12 + draw.IntN(20)}
	customers := 4 + draw.IntN(8)
	maxPartsPower := 1 - 0.7*float64(draw.IntN(2))
	for i := range customers {
		demand := 0.2 * math.Pow(500, draw.Float64())
		if i < 2 {
			demand = 2 * math.Pow(50, draw.Float64())
		}
		demand *= statedRate * float64(u.engines*groups) / float64(customers)
		one := callerGroup{sources: drawKinds(draw, fmt.Sprint("customer", i), demand, maxPartsPower), firstRouter: draw.IntN(fleetRouters), routers: 1 + draw.IntN(fleetRouters)}
		if draw.IntN(3) == 0 {
			one.after = time.Duration(draw.IntN(4000)) * time.Millisecond
		}
		u.callers = append(u.callers, one)
	}
	if draw.IntN(3) == 0 {
		u.takeOver = time.Duration(1+draw.IntN(6)) * time.Second
	}
	if draw.IntN(3) == 0 {
		u.silentAt = time.Duration(1000+draw.IntN(5000)) * time.Millisecond
	}
	if draw.IntN(3) == 0 {
		u.lostFraction, u.lostAt = 0.1*draw.Float64(), time.Duration(draw.IntN(5000))*time.Millisecond
	}
	return u
}

// drawKinds draws a customer's kinds of requests, which together request so many tokens a second.
// Each kind has up to its usual number of shared parts raised to maxPartsPower.
func drawKinds(draw *rand.Rand, customer string, tokensPerSecond, maxPartsPower float64) []source {
	kinds := digestCustomer(customer, tokensPerSecond)
	total := 0.0
	for i := range kinds {
		kind := &kinds[i]
		size := math.Pow(2, draw.Float64()-0.5)
		kind.own, kind.shared = int(size*float64(kind.own)), int(size*float64(kind.shared))
		kind.sharedParts = int(math.Pow(float64(kind.sharedParts), maxPartsPower*draw.Float64()))
		kind.ownParts = draw.IntN(2) == 0
		kind.perSecond *= math.Pow(4, 2*draw.Float64()-1)
		total += kind.perSecond * float64(kind.shared+kind.own+2*kind.output)
	}
	for i := range kinds {
		kinds[i].perSecond *= tokensPerSecond / total
	}
	return kinds
}

// newGroups returns a simulation for each group of engines. They share the usage of customers, and
// learn of each other what routers report with their requests.
func (u *unequalFleet) newGroups() []*fleetSimulation {
	groups := make([]*fleetSimulation, u.groups)
	weights := make([]int, u.groups)
	for i := range groups {
		f := newFleetSimulation(fleetRouters, u.engines, statedRate*float64(u.engines), readRate)
		f.tokenInterval, f.pool.Groups, weights[i] = 12*time.Millisecond, u.groups, u.engines
		groups[i] = f
	}
	if u.groups == 1 {
		return groups
	}
	otherUsage := func(own *fleetSimulation, router int, customer string) (usage OtherGroupUsage) {
		for _, other := range groups {
			if other != own {
				usage.Requested += other.requested[router].RecentTotal(customer, own.now)
				usage.Granted += other.histories[router].RecentTotal(customer, own.now)
			}
		}
		return usage
	}
	for _, f := range groups {
		f.seconds, f.otherUsage = groups[0].seconds, otherUsage
		f.groupFor = func(req *Request) *fleetSimulation {
			return groups[partition.GroupOf(req.PlacementKey(), weights)]
		}
	}
	return groups
}

// scheduleFailures makes a group lose answers and routers.
func (u *unequalFleet) scheduleFailures(f *fleetSimulation) {
	const lossLength = 2 * time.Second
	if u.lostFraction > 0 {
		f.at(start.Add(u.lostAt), func() { f.lostFraction = u.lostFraction })
		f.at(start.Add(u.lostAt+lossLength), func() { f.lostFraction = 0 })
	}
	if u.silentAt > 0 {
		f.at(start.Add(u.silentAt), func() {
			for router := range fleetRouters / 2 {
				f.silence(router)
			}
		})
	}
}

// play runs the fleet for a time and returns the first group, which has the usage over all groups.
func (u *unequalFleet) play(length time.Duration) *fleetSimulation {
	groups, end := u.newGroups(), start.Add(length)
	first := groups[0]
	for _, f := range groups {
		if f != first {
			f.scheduleDecisions(end)
		}
		u.scheduleFailures(f)
	}
	first.schedule(length, u.takeOver, u.callers...)
	for at := start; at.Before(end); at = at.Add(time.Millisecond) {
		for _, f := range groups {
			f.until(at)
		}
	}
	return first
}

// checkShares plays drawn fleets, in each of which a customer that is refused in each of six seconds
// has to get half of what the most served one got. seeds are by number of groups.
func checkShares(t *testing.T, seeds map[int][]uint64) {
	for groups := range seeds {
		for _, seed := range seeds[groups] {
			t.Run(fmt.Sprintf("%d groups, seed %d", groups, seed), func(t *testing.T) {
				t.Parallel()
				u := drawUnequalFleet(rand.New(rand.NewPCG(seed, 23)), groups)
				f := u.play(9 * time.Second)
				Convey(u.String(), t, func() {
					So(f.findUnfair(0.5), ShouldBeEmpty)
				})
			})
		}
	}
}

func TestNoCustomerUnderHalfOfAnother(t *testing.T) {
	checkShares(t, map[int][]uint64{
		1: {28, 31, 33, 49, 57},
		2: {7, 14, 18, 28, 31, 39, 49, 57},
	})
}

func TestNoCustomerStarvesWhileOthersCatchUp(t *testing.T) {
	checkShares(t, map[int][]uint64{1: {22, 77}, 2: {74, 77}})
}

func TestReportsOfOtherGroupsExpire(t *testing.T) {
	checkShares(t, map[int][]uint64{2: {87}})
}
