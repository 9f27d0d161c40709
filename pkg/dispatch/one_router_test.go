package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// oneRouterFleet is a large fleet in which all callers of one customer come to one router, and those of
// another one to all.
type oneRouterFleet struct {
	routers, engines int
	// first and second are their demands as multiples of an even share of the stated rate.
	first, second float64
	verdictDelay  time.Duration
}

func drawOneRouterFleet(draw *rand.Rand) oneRouterFleet {
	return oneRouterFleet{
		routers:      100 + draw.IntN(200),
		engines:      120 + draw.IntN(72),
		first:        2 + 2*draw.Float64(),
		second:       4 + 8*draw.Float64(),
		verdictDelay: time.Duration(50+draw.IntN(150)) * time.Millisecond,
	}
}

func (o oneRouterFleet) play(length time.Duration) *fleetSimulation {
	stated := statedRate * float64(o.engines)
	f := newFleetSimulation(o.routers, o.engines, stated, readRate)
	f.tokenInterval, f.verdictDelay = 12*time.Millisecond, o.verdictDelay
	groups := []callerGroup{
		{sources: digestCustomer("first", o.first*stated/4), routers: 1},
		{sources: digestCustomer("second", o.second*stated/4), routers: o.routers},
	}
	for i := range 8 {
		groups = append(groups, callerGroup{sources: digestCustomer(fmt.Sprint("other", i), stated/20), firstRouter: 10 * i, routers: 1 + 10*i})
	}
	f.play(length, 0, groups...)
	return f
}

// TestCustomerAtOneRouterGetsHalfOfOneAtAll guards against bounds of a router that are the same for a
// customer with callers at one router as for one with callers at all of them.
func TestCustomerAtOneRouterGetsHalfOfOneAtAll(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			o := drawOneRouterFleet(rand.New(rand.NewPCG(seed, 41)))
			f := o.play(8 * time.Second)
			Convey(fmt.Sprintf("%+v", o), t, func() {
				So(f.findUnfair(0.5), ShouldBeEmpty)
			})
		})
	}
}
