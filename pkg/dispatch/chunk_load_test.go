package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// chunkLoad is a drawn load of ten customers on 18 engines, a fifth of a deployment. The first
// customer is four times as large as the others.
type chunkLoad struct {
	// usual is the load relative to the deployment's table, and flood that of the first customer
	// relative to its usual one.
	usual, flood float64
	// kinds are the requests of all customers together.
	kinds []source
}

const (
	chunkEngineCount = 18
	chunkLoadLength  = 20 * time.Second
)

// loadA and loadB are the streams of the deployments in docs/design/hard-load.md.
func loadA(usual, flood float64) chunkLoad {
	return chunkLoad{usual, flood, []source{
		{route: "drafts", perSecond: 60, latencyTarget: 600 * time.Millisecond, deadline: 8 * time.Second, shared: 13300, own: 3720, sharedParts: 108, output: 120},
		{route: "summaries", perSecond: 71, latencyTarget: 600 * time.Millisecond, deadline: 5 * time.Second, shared: 6300, own: 2890, sharedParts: 168, output: 54},
		{route: "captions", perSecond: 63, latencyTarget: 400 * time.Millisecond, deadline: 10 * time.Second, shared: 350, own: 1110, sharedParts: 40, output: 174},
	}}
}

func loadB(usual, flood float64) chunkLoad {
	return chunkLoad{usual, flood, []source{
		{route: "dispatch", perSecond: 112, latencyTarget: 600 * time.Millisecond, deadline: 8 * time.Second, shared: 13300, own: 3720, sharedParts: 390, output: 120},
		{route: "carrier", perSecond: 88, latencyTarget: time.Second, deadline: 5 * time.Second, shared: 6300, own: 2890, sharedParts: 140, output: 54},
		{route: "tags", perSecond: 110, latencyTarget: 1200 * time.Millisecond, deadline: 10 * time.Second, shared: 350, own: 1110, sharedParts: 40, output: 174},
	}}
}

// sources returns the requests of each customer.
func (l chunkLoad) sources() (sources []source) {
	const customers, largest = 10, 4
	for i := range customers {
		part := l.usual / (customers - 1 + largest)
		if i == 0 {
			part *= largest * l.flood
		}
		for _, kind := range l.kinds {
			kind.customer = fmt.Sprint("c", i)
			kind.perSecond *= part
			kind.gapTarget = 300 * time.Millisecond
			sources = append(sources, kind)
		}
	}
	return sources
}

// chunkOutcome are the numbers of requests of a load by outcome.
type chunkOutcome struct {
	arrived, inTime, late, latePause, lateBoth, refused, expired int
	readTokens                                                   float64
	// minServed is the smallest fraction of a customer's requests that was served in time.
	minServed float64
	// servedByRoute are the fractions of the requests of each route that were served in time.
	servedByRoute map[string]float64
}

// outcome sums up a simulation with chunk engines.
func (s *simulation) outcome() (o chunkOutcome) {
	byCustomer, byRoute := map[string]*tally{}, map[string]*tally{}
	for key, t := range s.tallies {
		o.arrived += t.requested
		o.inTime += t.inTime
		o.late += t.late
		o.latePause += t.latePause
		o.lateBoth += t.lateBoth
		o.refused += t.refused
		o.expired += t.expired
		addInTime(byCustomer, key.customer, t)
		addInTime(byRoute, key.route, t)
	}
	o.minServed = 1
	for _, t := range byCustomer {
		o.minServed = min(o.minServed, float64(t.inTime)/float64(t.requested))
	}
	o.servedByRoute = map[string]float64{}
	for name, t := range byRoute {
		o.servedByRoute[name] = float64(t.inTime) / float64(t.requested)
	}
	for _, e := range s.chunkEngines {
		o.readTokens += float64(e.readTokens)
	}
	return o
}

func addInTime(sums map[string]*tally, key string, t *tally) {
	if sums[key] == nil {
		sums[key] = &tally{}
	}
	sums[key].requested += t.requested
	sums[key].inTime += t.inTime
}

// String returns the outcomes in hundredths of the requests, and the tokens read in millions.
func (o chunkOutcome) String() string {
	per := func(n int) float64 { return 100 * float64(n) / float64(o.arrived) }
	routes := ""
	for _, name := range slices.Sorted(maps.Keys(o.servedByRoute)) {
		routes += fmt.Sprintf(" %s %.3f", name, o.servedByRoute[name])
	}
	return fmt.Sprintf("%.1f in time, late: %.2f first event, %.2f pause, %.2f both, %.2f expired; %.1f refused; %.1f million tokens read, worst customer %.3f,%s",
		per(o.inTime), per(o.late), per(o.latePause), per(o.lateBoth), per(o.expired), per(o.refused), o.readTokens/1e6, o.minServed, routes)
}
