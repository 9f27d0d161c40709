package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/registry"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// rollouts move services to another version of their endpoints, as the operator orders it.
// While a version is being proved, only some boxes send to it; the first of them asks the
// others what they saw, and decides. What it decided is told from neighbour to neighbour, and
// the end of it stands in the store. Any box can decide: all count for themselves.
type rollouts struct {
	gateway *Gateway
	log     *zap.Logger
	// known is the number of moves, for requests of services that do not move.
	activeCount atomic.Int64

	mu sync.Mutex
	// moves are by service.
	active map[string]*activeRollout
}

// move is one order in force.
type activeRollout struct {
	rollout.Judge
	answers rollout.Answers
	// targets and others count the endpoints of the two sides that take work.
	targets, others int
	// provers are the boxes that send to the target while it is proved, the one that
	// decides first; share is the part of this box's requests that does so.
	provers []string
	share   float64
	// tallies are what the provers told last, by box.
	tallies map[string]rollout.Counts
	// status is the row in the store as it was last read or written.
	status     registry.RolloutStatus
	statusRead bool
	// checkUntil is until when the row of a move that is over is looked after: its order was
	// written again after the store was restored, or other boxes told that it is over.
	checkUntil time.Time
}

const (
	// mostProvers bounds the boxes that send to a version while it is proved, and that the
	// deciding one asks: its work does not grow with the fleet.
	maxProvers = 64
	// rolloutLook is the time between two looks at a move, and so between two questions of
	// the deciding box to the provers.
	rolloutInterval = 250 * time.Millisecond
	// completedFor is how long endpoints of other versions get nothing after a move is
	// completed: they end then, and those that come later are not of this order.
	completedTTL = 10 * time.Second
	// checkStatusFor is how long the row of a move that is over is looked after.
	checkStatusTimeout = 30 * time.Second
	// asksAtOnce bounds the provers that are asked at once.
	maxParallelFetches = 16
)

// follow brings the moves in line with the operator's orders.
func (r *rollouts) follow(orders *route.Orders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := map[string]*activeRollout{}
	if orders != nil {
		for _, order := range orders.Moves() {
			active[order.Service] = rolloutOf(order, r.active[order.Service], time.Now())
		}
	}
	r.active = active
	r.activeCount.Store(int64(len(active)))
}

// moveOf is the move of an order, with what is known where it goes on.
func rolloutOf(order rollout.Order, known *activeRollout, now time.Time) *activeRollout {
	switch {
	case known != nil && known.Order.Version == order.Version:
		return known
	case known != nil && order.Renews(known.Order):
		renewed := *known
		renewed.Order.Version = order.Version
		renewed.statusRead, renewed.checkUntil = false, now.Add(checkStatusTimeout)
		return &renewed
	}
	return &activeRollout{Judge: rollout.Judge{Order: order}, tallies: map[string]rollout.Counts{}}
}

// isOver tells whether nothing is left to decide or to have the store know.
func (m *activeRollout) isOver(now time.Time) bool {
	verdict, _ := m.Verdict()
	return verdict.Final() && now.After(m.checkUntil)
}

// side draws the endpoints of a service that a request goes to.
func (r *rollouts) pickSide(service string) rollout.Side {
	if r.activeCount.Load() == 0 {
		return rollout.Side{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.active[service]
	if m == nil {
		return rollout.Side{}
	}
	return m.side(rand.Float64(), time.Now())
}

// side is that of a number drawn from [0, 1). Where only one side has endpoints, and neither
// is ruled out, they serve all.
func (m *activeRollout) side(drawn float64, now time.Time) rollout.Side {
	verdict, since := m.Verdict()
	target := rollout.Side{Version: m.Order.Target}
	others := rollout.Side{Version: m.Order.Target, Others: true}
	share := m.Order.Share(verdict, since, now)
	if verdict == rollout.Proving {
		share = m.share
	}
	switch {
	case verdict == rollout.Completed && (m.targets == 0 || now.Sub(since) > completedTTL):
		return rollout.Side{}
	case verdict == rollout.Completed:
		return target
	case verdict >= rollout.Halted || m.targets == 0:
		return others
	case m.others == 0:
		return rollout.Side{}
	case drawn < share:
		return target
	}
	return others
}

// forbids tells whether nothing is sent to an endpoint any more, as what was decided since it
// was chosen rules it out.
func (r *rollouts) forbids(endpoint *route.Endpoint) bool {
	if r.activeCount.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.active[endpoint.Service]
	if m == nil {
		return false
	}
	verdict, _ := m.Verdict()
	return verdict >= rollout.Halted && !m.side(0, time.Now()).Admits(endpoint.Release)
}

// note counts an answer. Took is 0 where it tells nothing of the endpoint's pace.
func (r *rollouts) recordAnswer(endpoint *route.Endpoint, routeName string, failed bool, took time.Duration) {
	if r.activeCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.active[endpoint.Service]; m != nil {
		m.answers.Note(routeName, endpoint.Release == m.Order.Target, failed, took)
	}
}

// words are what was decided, for the other boxes.
func (r *rollouts) verdicts() (verdicts []rollout.Word) {
	if r.activeCount.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, m := range r.active {
		verdict, _ := m.Verdict()
		verdicts = append(verdicts, rollout.Word{Service: service, Order: m.Order.Version, Verdict: verdict})
	}
	slices.SortFunc(verdicts, func(a, b rollout.Word) int { return cmp.Compare(a.Service, b.Service) })
	return verdicts
}

// hear takes what other boxes say was decided. It reports whether that is news.
func (r *rollouts) applyVerdicts(verdicts []rollout.Word, now time.Time) (news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range verdicts {
		m := r.active[received.Service]
		if m == nil || m.Order.Version != received.Order {
			continue
		}
		if r.adopt(m, received.Verdict, now) {
			m.checkUntil = now.Add(checkStatusTimeout)
			news = true
		}
	}
	return news
}

// adopt takes a verdict if it is a later one. The lock is held.
func (r *rollouts) adopt(m *activeRollout, verdict rollout.Verdict, now time.Time) (news bool) {
	before, _ := m.Verdict()
	m.Adopt(verdict, now)
	if after, _ := m.Verdict(); after == before {
		return false
	}
	r.log.Info("roll-out",
		zap.String("Service", m.Order.Service),
		zap.String("Target", m.Order.Target),
		zap.Stringer("Order", m.Order.Version),
		zap.Stringer("Verdict", verdict),
		zap.Duration("Passed", now.Sub(m.Order.SeenAt)))
	return true
}

// RolloutTally tells a deciding box what this one saw.
func (g *Gateway) RolloutTally(service string) *peerpb.RolloutTally {
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	m := g.rollouts.active[service]
	if m == nil {
		return nil
	}
	return peer.EncodeRolloutTally(m.Order.Version, m.answers.Counts(), g.attempts.countOtherReleases(service, m.Order.Target))
}

// reporters are the boxes that this one asks.
func (r *rollouts) proversToAsk() (boxes []string) {
	if r.activeCount.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.active {
		if m.isDecidedBy(r.gateway.Settings.Name) && !m.isOver(time.Now()) {
			boxes = append(boxes, m.provers[1:]...)
		}
	}
	return boxes
}

func (m *activeRollout) isDecidedBy(box string) bool {
	return len(m.provers) > 0 && m.provers[0] == box
}

// run looks at the moves until the context ends.
func (r *rollouts) run(ctx context.Context) error {
	interval.Every(ctx, rolloutInterval, func() {
		if r.activeCount.Load() == 0 {
			return
		}
		for _, m := range r.refresh() {
			r.decide(ctx, m)
		}
	})
	return nil
}

// look brings up to date who proves and what there is to prove, and returns the moves that
// this box decides on.
func (r *rollouts) refresh() (own []*activeRollout) {
	g := r.gateway
	boxes := []string{g.Settings.Name}
	g.fleet.EachLive(func(row *peer.Row) { boxes = append(boxes, row.Box) })
	directory := g.registry.Directory()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, m := range r.active {
		m.countSides(directory.Of(service))
		if m.isOver(time.Now()) {
			continue
		}
		m.provers = topRankedBoxes("roll-out of "+service, boxes, maxProvers)
		m.share = 0
		if slices.Contains(m.provers, g.Settings.Name) {
			all := m.Order.Share(rollout.Proving, time.Time{}, time.Time{})
			m.share = min(1, all*float64(len(boxes))/float64(len(m.provers)))
		}
		if m.isDecidedBy(g.Settings.Name) && directory != nil {
			own = append(own, m)
		}
	}
	return own
}

func (m *activeRollout) countSides(endpoints []route.Endpoint) {
	m.targets, m.others = 0, 0
	for i := range endpoints {
		switch {
		case !endpoints[i].Admits():
		case endpoints[i].Release == m.Order.Target:
			m.targets++
		default:
			m.others++
		}
	}
}

// decide asks the provers, decides, and has the store know.
func (r *rollouts) decide(ctx context.Context, m *activeRollout) {
	if !m.statusRead && !r.readStatus(ctx, m) {
		return
	}
	r.mu.Lock()
	before, _ := m.Verdict()
	r.mu.Unlock()
	if !before.Final() {
		r.fetchTallies(m)
	}
	r.mu.Lock()
	before, _ = m.Verdict()
	if !before.Final() && (m.targets > 0 || before != rollout.Proving) {
		verdict := m.evaluate(time.Now(), r.gateway.attempts.countOtherReleases(m.Order.Service, m.Order.Target))
		r.announce(m, before, verdict)
	}
	verdict, _ := m.Verdict()
	r.mu.Unlock()
	r.writeStatus(ctx, m, verdict)
}

// announce has a new verdict told. The lock is held.
func (r *rollouts) announce(m *activeRollout, before, verdict rollout.Verdict) {
	if verdict == before {
		return
	}
	r.log.Info("roll-out judged",
		zap.String("Service", m.Order.Service),
		zap.String("Target", m.Order.Target),
		zap.Stringer("Order", m.Order.Version),
		zap.Stringer("Verdict", verdict),
		zap.Duration("Passed", time.Since(m.Order.SeenAt)))
	r.gateway.exchange.SendNow()
}

// judge decides by what all provers saw.
func (m *activeRollout) evaluate(now time.Time, running int) rollout.Verdict {
	counts := rollout.Counts{Routes: m.answers.Counts(), OldRunning: running}
	for _, told := range m.tallies {
		counts.OldRunning += told.OldRunning
		for name, tally := range told.Routes {
			sum := counts.Routes[name]
			sum.Add(tally)
			counts.Routes[name] = sum
		}
	}
	return m.Decide(counts, now)
}

// ask has the provers tell what they saw.
func (r *rollouts) fetchTallies(m *activeRollout) {
	r.mu.Lock()
	provers, service, order := m.provers, m.Order.Service, m.Order.Version
	r.mu.Unlock()
	group := errgroup.Group{}
	group.SetLimit(maxParallelFetches)
	for _, box := range provers {
		if box == r.gateway.Settings.Name || !r.gateway.exchange.IsConnected(box) {
			continue
		}
		group.Go(func() error {
			tally, err := r.gateway.exchange.FetchRollout(box, service)
			if err != nil {
				r.log.Debug("prover of a roll-out not asked", zap.String("Box", box), zap.Error(err))
				return nil
			}
			if epoch.Version(tally.GetOrder()) == order {
				r.mu.Lock()
				defer r.mu.Unlock()
				m.tallies[box] = peer.DecodeRolloutTally(tally)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// readStatus finds what another box has had the store know of this order. It reports whether
// that is known.
func (r *rollouts) readStatus(ctx context.Context, m *activeRollout) (ok bool) {
	status, err := r.gateway.Store.RolloutStatus(ctx, m.Order.Service)
	if err != nil {
		r.log.Warn("status of a roll-out not read", zap.String("Service", m.Order.Service), zap.Error(err))
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.status, m.statusRead = status, true
	ofOrder := status.Version > m.Order.Version && status.Target == m.Order.Target
	if ofOrder && status.Verdict.Final() && r.adopt(m, status.Verdict, time.Now()) {
		r.gateway.exchange.SendNow()
	}
	return true
}

// store has the store know how far a move is. What is final is told to other boxes only then.
func (r *rollouts) writeStatus(ctx context.Context, m *activeRollout, verdict rollout.Verdict) {
	wanted := registry.RolloutStatus{Service: m.Order.Service, Target: m.Order.Target, Version: m.status.Version}
	switch verdict {
	case rollout.Moved, rollout.Completed:
		wanted.Verdict = rollout.Completed
	case rollout.Halted, rollout.RolledBack:
		wanted.Verdict = rollout.RolledBack
	}
	stands := m.status.Version > m.Order.Version && m.status.Target == wanted.Target && m.status.Verdict == wanted.Verdict
	if stands {
		return
	}
	written, err := r.gateway.Store.WriteRolloutStatus(ctx, wanted)
	if err != nil {
		// It may have been written.
		r.log.Warn("status of a roll-out not written", zap.String("Service", m.Order.Service), zap.Error(err))
	}
	// The version that it has now is to be read in any case.
	m.statusRead = r.readStatus(ctx, m)
	if written {
		r.log.Info("status of a roll-out written", zap.String("Service", m.Order.Service), zap.Stringer("Verdict", wanted.Verdict))
	}
}
