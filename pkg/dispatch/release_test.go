package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/rollout"
)

// playReleases plays a load on nine engines, two of which run v2, and returns the fractions of the
// new streams and of those taken up at v2 that got an engine. One stream in twenty is taken up.
func playReleases(load float64) (begun, taken float64) {
	s := newSimulation(9, 430000, 110000)
	endpoints := s.pool.Endpoints()
	for i := range endpoints {
		endpoints[i].Release = "v1"
		if i >= 7 {
			endpoints[i].Release = "v2"
		}
	}
	s.pool.SetEndpoints(endpoints, s.now)
	var sources []source
	for customer := range 12 {
		sources = append(sources, source{customer: fmt.Sprint("c", customer), route: "plan", perSecond: 4 * load, latencyTarget: 800 * time.Millisecond, shared: 5400, own: 6600, sharedParts: 30, output: 100})
	}
	const takenUpEach = 20
	count := 0
	s.send(20*time.Second, sources...)
	isTaken := map[string]bool{}
	s.filter = func(req *Request) {
		if count++; count%takenUpEach == 0 {
			isTaken[req.ID] = true
			req.Releases = rollout.VersionFilter{Version: "v2", Exact: true}
		}
	}
	requests, granted := map[bool]int{}, map[bool]int{}
	s.observe = func(d Decision) {
		switch d := d.(type) {
		case Grant:
			requests[isTaken[d.Request.ID]]++
			granted[isTaken[d.Request.ID]]++
		case Refusal:
			requests[isTaken[d.Request.ID]]++
		}
	}
	s.until(s.now.Add(time.Hour))
	share := func(taken bool) float64 { return float64(granted[taken]) / float64(max(1, requests[taken])) }
	return share(false), share(true)
}

func TestTakenUpStreamsGetEnginesOfTheirRelease(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		begun, taken := playReleases(load)
		t.Logf("load %.1f: %.3f of the new streams begin, %.3f of those taken up go on", load, begun, taken)
		Convey(fmt.Sprintf("Streams taken up at a fifth of the engines go on nine times in ten as often as new ones begin, load %.1f", load), t, func() {
			So(taken, ShouldBeGreaterThanOrEqualTo, 0.9*begun)
		})
	}
}
