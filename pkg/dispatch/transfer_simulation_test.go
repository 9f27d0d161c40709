package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/route"
)

// copySimulation simulates transfers of cached parts between engines, of which each makes its
// transfers one after another. A nil copySimulation makes none.
type copySimulation struct {
	bytesPerSecond float64
	// freeAt is when each engine has made all its transfers, and readAt when it has obtained a
	// part.
	freeAt map[string]time.Time
	readAt map[string]map[uint64]time.Time
	// diesAt is when an engine crashes or is gone; delays are added to the transfers from an
	// engine.
	diesAt map[string]time.Time
	delays map[string]time.Duration
	// onStart, if set, is called with the source of each transfer that starts.
	onStart func(source string)
	copyCounts
}

// copyCounts counts transfers and tokens.
type copyCounts struct {
	// made and failed count transfers, and empty those from an engine without the part.
	made, failed, empty int
	// copied and readShared are the tokens of shared parts that were copied and read; readAgain
	// are those of long parts that were read while another engine had them.
	copied, readShared, readAgain int
}

func newCopySimulation() *copySimulation {
	return &copySimulation{
		bytesPerSecond: 11e9,
		freeAt:         map[string]time.Time{},
		readAt:         map[string]map[uint64]time.Time{},
		diesAt:         map[string]time.Time{},
		delays:         map[string]time.Duration{},
	}
}

// has reports whether an engine has obtained a part.
func (c *copySimulation) has(engine string, part uint64, now time.Time) bool {
	at, known := c.readAt[engine][part]
	return known && !at.After(now)
}

// run makes the transfer of a grant, and returns when the engine can read the rest.
func (c *copySimulation) run(s *simulation, g Grant) time.Time {
	if c == nil || g.FetchFrom == "" {
		return s.now
	}
	if c.onStart != nil {
		c.onStart(g.FetchFrom)
	}
	target := s.cached[g.Endpoint]
	var copied []Part
	tokens, lacking := 0, false
	for _, part := range g.Request.Shared() {
		if _, ok := target[part.ID]; ok {
			continue
		}
		if lacking = !c.has(g.FetchFrom, part.ID, s.now); lacking {
			break
		}
		copied, tokens = append(copied, part), tokens+part.Tokens
	}
	from := later(s.now, later(c.freeAt[g.FetchFrom], c.freeAt[g.Endpoint]))
	bytes := float64(tokens * s.pool.service.Engine.TokenBytes)
	end := from.Add(copySetup + c.delays[g.FetchFrom] + time.Duration(bytes/c.bytesPerSecond*float64(time.Second)))
	if dies := c.diesAt[g.FetchFrom]; !dies.IsZero() && dies.Before(end) {
		c.failed++
		return later(s.now, dies)
	}
	if tokens == 0 {
		// Another dispatcher may have made the target read the parts.
		if lacking {
			c.empty++
		}
		return s.now
	}
	c.freeAt[g.FetchFrom], c.freeAt[g.Endpoint] = end, end
	for _, part := range copied {
		target[part.ID] = cachedAt{part.Tokens, s.now}
	}
	c.made++
	c.copied += tokens
	return end
}

// countRead counts a part that an engine reads.
func (c *copySimulation) countRead(g Grant, part Part, now time.Time) {
	if c == nil || part == g.Request.Last() {
		return
	}
	c.readShared += part.Tokens
	for engine := range c.readAt {
		if part.Tokens > maxShortShared && c.has(engine, part.ID, now) {
			c.readAgain += part.Tokens
			return
		}
	}
}

// recordShared records when an engine has obtained the shared parts of a prompt.
func (c *copySimulation) recordShared(g Grant, at time.Time) {
	if c == nil {
		return
	}
	if c.readAt[g.Endpoint] == nil {
		c.readAt[g.Endpoint] = map[uint64]time.Time{}
	}
	for _, part := range g.Request.Shared() {
		if _, known := c.readAt[g.Endpoint][part.ID]; !known {
			c.readAt[g.Endpoint][part.ID] = at
		}
	}
}

// deployment is one of those of docs/design/hard-load.md, scaled to fewer engines.
type deployment struct {
	name string
	// readRate and tokensPerSecond are of one engine.
	readRate, tokensPerSecond float64
	cacheTokens               int
	noisy                     bool
	// sources are the requests of each engine's share.
	sources []source
}

var deployments = []deployment{
	{"A", 56600, 3.1e6 / 90, 536334, false, []source{
		{route: "draft", perSecond: 299. / 90, latencyTarget: 600 * time.Millisecond, shared: 13300, own: 3720, sharedParts: 543, output: 120},
		{route: "summary", perSecond: 355. / 90, latencyTarget: 600 * time.Millisecond, shared: 6300, own: 2890, sharedParts: 840, output: 54},
		{route: "caption", perSecond: 317. / 90, latencyTarget: 400 * time.Millisecond, shared: 350, own: 1110, sharedParts: 20, output: 174},
	}},
	{"B", 112000, 5.2e6 / 90, 885182, true, []source{
		{route: "address", perSecond: 561. / 90, latencyTarget: 600 * time.Millisecond, shared: 13300, own: 3720, sharedParts: 1961, output: 120},
		{route: "carrier", perSecond: 440. / 90, latencyTarget: time.Second, shared: 6300, own: 2890, sharedParts: 682, output: 54},
		{route: "tag", perSecond: 549. / 90, latencyTarget: 1200 * time.Millisecond, shared: 350, own: 1110, sharedParts: 20, output: 174},
	}},
}

// transferSimulation is a fleet simulation in which engines crash, restart and drain.
type transferSimulation struct {
	*fleetSimulation
	deployment deployment
	endpoints  []route.Endpoint
	// hot is the factor by which more requests come for one part.
	hot float64
	// scale is a further factor on the request rates.
	scale float64
}

// transferEngines is the number of simulated engines, and transferLoad the factor on the usual
// request rates.
const (
	transferEngines = 24
	transferLoad    = 0.7
)

func newTransferSimulation(d deployment, fetch bool, seed uint64) *transferSimulation {
	f := newFleetSimulation(8, transferEngines, d.tokensPerSecond*transferEngines, d.readRate)
	f.rand = rand.New(rand.NewPCG(seed, 4))
	f.tokenInterval = 5 * time.Millisecond
	f.copies, f.speeds.noise = newCopySimulation(), d.noisy
	s := &transferSimulation{fleetSimulation: f, deployment: d, endpoints: zonedEndpoints(transferEngines), scale: 1}
	f.pool = s.newPool(fetch)
	return s
}

func (s *transferSimulation) newPool(fetch bool) *Pool {
	p := &Pool{Rules: DefaultRules(), Rand: rand.New(rand.NewPCG(1, 2))}
	p.Rules.Fetch = fetch
	engine := route.Engine{Slots: 64, CacheTokens: s.deployment.cacheTokens, TokenBytes: 18432, CopiesCache: true, CopyRate: s.copies.bytesPerSecond}
	p.Configure(route.Service{Name: "llm", Engine: &engine}, s.deployment.tokensPerSecond*transferEngines)
	p.SetEndpoints(s.endpoints, s.now)
	return p
}

// groups returns the requests of six customers, a fraction of them for one hot part.
func (s *transferSimulation) groups() (groups []callerGroup) {
	const customers = 6
	for i := range customers {
		var sources []source
		for _, from := range s.deployment.sources {
			from.customer = fmt.Sprint("c", i)
			from.perSecond *= s.scale * transferEngines * transferLoad / customers
			from.sharedParts = max(1, from.sharedParts*transferEngines/90)
			sources = append(sources, from)
		}
		if hot := sources[0]; s.hot > 0 {
			hot.route, hot.sharedParts, hot.perSecond = "hot", 1, hot.perSecond*s.hot
			sources = append(sources, hot)
		}
		groups = append(groups, callerGroup{sources: sources, routers: 8})
	}
	return groups
}

// crash ends engines with all that runs there, and starts new instances half a second later.
func (s *transferSimulation) crash(engines ...int) {
	for _, i := range engines {
		s.stop(s.endpoints[i].ID)
	}
	s.at(s.now.Add(500*time.Millisecond), func() {
		for _, i := range engines {
			s.endpoints[i].Born++
			delete(s.down, s.endpoints[i].ID)
			delete(s.copies.diesAt, s.endpoints[i].ID)
		}
		s.pool.SetEndpoints(s.endpoints, s.now)
	})
}

// crashSources returns a function that crashes the sources of the next few transfers while they
// send.
func (s *transferSimulation) crashSources(count int) func(source string) {
	const after = 10 * time.Millisecond
	return func(source string) {
		i := slices.IndexFunc(s.endpoints, func(e route.Endpoint) bool { return e.ID == source })
		if _, dies := s.copies.diesAt[source]; dies || count == 0 {
			return
		}
		count--
		s.copies.diesAt[source] = s.now.Add(after)
		s.at(s.now.Add(after), func() { s.crash(i) })
	}
}

// stop ends an engine.
func (s *transferSimulation) stop(id string) {
	s.down[id] = true
	s.copies.diesAt[id] = s.now
	s.cached[id] = map[uint64]cachedAt{}
	delete(s.copies.readAt, id)
	s.freeAt[id], s.copies.freeAt[id] = s.now, s.now
	for _, running := range slices.Sorted(maps.Keys(s.running)) {
		if req := s.running[running]; req.endpoint == id {
			delete(s.running, running)
			s.pool.End(running, Broken{}, s.now)
			s.retry(req, s.hop)
		}
	}
}

// drain makes an engine leave, which serves for some more time.
func (s *transferSimulation) drain(i int, serves time.Duration) {
	leaving := s.endpoints[i]
	leaving.Leaving = true
	s.endpoints = slices.Delete(s.endpoints, i, i+1)
	s.pool.SetLeaving([]route.Endpoint{leaving}, s.now)
	s.pool.SetEndpoints(s.endpoints, s.now)
	s.copies.diesAt[leaving.ID] = s.now.Add(3 * time.Second)
	s.at(s.now.Add(serves), func() {
		s.pool.SetLeaving(nil, s.now)
		s.stop(leaving.ID)
	})
}

// transferOutcome is the result of a run.
type transferOutcome struct {
	copyCounts
	requested, inTime, late int
}

func (o transferOutcome) String() string {
	return fmt.Sprintf("%5d of %5d in time; million shared tokens read %5.2f, again %.2f, copied %.2f; %d transfers, %d failed, %d empty, %d late",
		o.inTime, o.requested, float64(o.readShared)/1e6, float64(o.readAgain)/1e6, float64(o.copied)/1e6, o.made, o.failed, o.empty, o.late)
}

func (s *transferSimulation) outcome() (o transferOutcome) {
	for _, t := range s.tallies {
		o.requested += t.requested
		o.inTime += t.inTime
	}
	o.copyCounts = s.copies.copyCounts
	o.late = s.pool.TakeTransferCounts().Late
	return o
}

// reset makes outcome count from now on.
func (s *transferSimulation) reset() {
	s.outcome()
	clear(s.tallies)
	s.copies.copyCounts = copyCounts{}
}

func (o *transferOutcome) add(other transferOutcome) {
	o.requested += other.requested
	o.inTime += other.inTime
	o.late += other.late
	o.made += other.made
	o.failed += other.failed
	o.empty += other.empty
	o.copied += other.copied
	o.readShared += other.readShared
	o.readAgain += other.readAgain
}

// transferScenario is a drawn load with something that happens in it.
type transferScenario struct {
	name string
	// happen is called after a time, from which on requests are counted. It is zero for a load
	// from empty caches on.
	after  time.Duration
	happen func(s *transferSimulation)
	// hot is the factor by which more requests come for one part.
	hot float64
	// takeOver is when another dispatcher takes over; zero means never.
	takeOver time.Duration
	// fails is set if transfers fail in it.
	fails bool
}

// warmUp is the time in which most parts are read once.
const warmUp = 8 * time.Second

var crashQuarter = func(s *transferSimulation) { s.crash(0, 4, 8, 12, 16, 20) }

var transferScenarios = []transferScenario{
	{name: "empty caches", happen: func(*transferSimulation) {}},
	{name: "a quarter of the engines crash", after: warmUp, happen: crashQuarter},
	{name: "a hot part", after: warmUp / 2, hot: 0.5, happen: func(*transferSimulation) {}},
	{name: "an engine drains", after: warmUp, happen: func(s *transferSimulation) { s.drain(5, 3*time.Second) }},
}

// play runs the scenario with a drawn load.
func (c transferScenario) play(d deployment, fetch bool, seed uint64) transferOutcome {
	s := newTransferSimulation(d, fetch, seed)
	s.hot = c.hot
	s.at(s.now.Add(c.after), func() {
		s.reset()
		c.happen(s)
	})
	s.play(c.after+6*time.Second, c.takeOver, s.groups()...)
	return s.outcome()
}

// compare runs the scenario with several drawn loads, without and with transfers.
func (c transferScenario) compare(t *testing.T, d deployment) (without, with transferOutcome) {
	const loads = 3
	for seed := range uint64(loads) {
		without.add(c.play(d, false, seed))
		with.add(c.play(d, true, seed))
	}
	t.Logf("%s, %s, without and with transfers:\n%s\n%s", d.name, c.name, without, with)
	return without, with
}

// TestTransferLoads guards against loads on which engines that can copy cached parts read them
// again, or serve less than engines that can not.
func TestTransferLoads(t *testing.T) {
	for _, d := range deployments {
		for _, c := range transferScenarios {
			Convey("With "+c.name+" on "+d.name+", engines that copy read less again and serve as much", t, func() {
				without, with := c.compare(t, d)
				So(with.made, ShouldBeGreaterThan, 0)
				So(with.empty, ShouldEqual, 0)
				So(with.readAgain, ShouldBeLessThanOrEqualTo, without.readAgain/2)
				So(with.inTime, ShouldBeGreaterThan, without.inTime*98/100)
			})
		}
	}
}

// TestTransferFailures guards against requests that are lost, or served late in numbers, because
// a transfer fails.
func TestTransferFailures(t *testing.T) {
	for _, c := range []transferScenario{
		{name: "sources that crash during transfers", after: warmUp, fails: true, happen: func(s *transferSimulation) {
			crashQuarter(s)
			if !s.pool.Rules.Fetch {
				// As many engines crash, for comparison.
				s.at(s.now.Add(100*time.Millisecond), func() { s.crash(1, 2, 3) })
				return
			}
			s.copies.onStart = s.crashSources(3)
		}},
		{name: "sources that send nothing", after: warmUp, fails: true, happen: func(s *transferSimulation) {
			for i := range 6 {
				s.copies.diesAt[s.endpoints[3*i+1].ID] = s.now
			}
			crashQuarter(s)
		}},
		{name: "an engine that is gone earlier than it should after it announced to leave", after: warmUp, happen: func(s *transferSimulation) {
			for i := range 4 {
				s.drain(i, 200*time.Millisecond)
			}
		}},
		{name: "slow sources", after: warmUp, happen: func(s *transferSimulation) {
			for i := range 8 {
				s.copies.delays[s.endpoints[3*i].ID] = 400 * time.Millisecond
			}
			crashQuarter(s)
		}},
		{name: "another dispatcher that takes over after a crash", after: warmUp, happen: crashQuarter, takeOver: warmUp + 700*time.Millisecond},
	} {
		for _, d := range deployments {
			Convey("With "+c.name+" on "+d.name+", as much is served as without transfers", t, func() {
				without, with := c.compare(t, d)
				So(with.made, ShouldBeGreaterThan, 0)
				So(with.empty, ShouldEqual, 0)
				So(with.inTime, ShouldBeGreaterThan, without.inTime*97/100)
				if c.fails {
					So(with.failed, ShouldBeGreaterThan, 0)
				}
			})
		}
	}
}

// TestTransfersOfTwoDispatchers guards against bounds that hold only if one box dispatches.
func TestTransfersOfTwoDispatchers(t *testing.T) {
	for _, d := range deployments {
		Convey("Two dispatchers at once on "+d.name+" copy within twice the bound, and what they copy is there", t, func() {
			a, b := newTransferSimulation(d, true, 1), newTransferSimulation(d, true, 2)
			b.cached, b.freeAt, b.copies = a.cached, a.freeAt, a.copies
			for _, s := range []*transferSimulation{a, b} {
				s.pool.Contested = true
				s.scale = 0.5
				s.schedule(6*time.Second, 0, s.groups()...)
			}
			mostSending := 0
			for at := start; at.Before(start.Add(6 * time.Second)); at = at.Add(time.Millisecond) {
				a.until(at)
				b.until(at)
				for i, e := range a.pool.sorted {
					mostSending = max(mostSending, e.sending+b.pool.sorted[i].sending)
				}
			}
			got := a.outcome()
			t.Logf("%s, two dispatchers: %s; most transfers from one engine: %d", d.name, got, mostSending)
			So(got.made, ShouldBeGreaterThan, 0)
			So(got.empty, ShouldEqual, 0)
			So(mostSending, ShouldBeLessThanOrEqualTo, 2*maxTransfers)
		})
	}
}
