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

// rollouts moves services to another version of their endpoints, as ordered by the operator.
// While a version is being proved, only some boxes, the provers, send to it. The first of them
// collects the tallies of the others and decides. Its verdict spreads from box to box through
// the updates between peers, and the final one is written to the store. Any box can decide,
// because all of them count the responses to their own requests.
type rollouts struct {
	gateway *Gateway
	log     *zap.Logger
	// activeCount is the number of orders in force. While it is 0, requests need not take the
	// lock.
	activeCount atomic.Int64

	mu sync.Mutex
	// active are the roll-outs by service.
	active map[string]*activeRollout
}

// activeRollout is the state of one order in force.
type activeRollout struct {
	rollout.Evaluator
	responses rollout.ResponseStats
	// targets and others are the numbers of endpoints of the target version and of other
	// versions that admit requests.
	targets, others int
	// provers are the boxes that send to the target while it is being proved; the first one
	// decides. share is the fraction of this box's requests that go to the target meanwhile.
	provers []string
	share   float64
	// tallies are the latest ones that the provers reported, by box.
	tallies map[string]rollout.Counts
	// status is the row of the store as last read or written.
	status     registry.RolloutStatus
	statusRead bool
	// checkUntil is until when the row of a finished roll-out is still checked, because its order
	// was rewritten after a restore of the store or other boxes reported that it is finished.
	checkUntil time.Time
}

const (
	// maxProvers bounds the boxes that send to a version while it is being proved. The deciding
	// box asks each of them, and its work must not grow with the fleet.
	maxProvers = 64
	// rolloutInterval is the time between two checks of a roll-out, and so between two requests
	// of the deciding box to the provers.
	rolloutInterval = 250 * time.Millisecond
	// completedTTL is how long endpoints of other versions are sent nothing after a roll-out has
	// completed. They end in that time; endpoints that appear later are not part of the order.
	completedTTL = 10 * time.Second
	// checkStatusTimeout is how long the row of a finished roll-out is still checked.
	checkStatusTimeout = 30 * time.Second
	// maxParallelFetches bounds the provers that are asked at the same time.
	maxParallelFetches = 16
)

// setOrders replaces the active roll-outs by those of the operator's orders.
func (r *rollouts) setOrders(orders *route.Orders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := map[string]*activeRollout{}
	if orders != nil {
		for _, order := range orders.ActiveRollouts() {
			active[order.Service] = rolloutOf(order, r.active[order.Service], time.Now())
		}
	}
	r.active = active
	r.activeCount.Store(int64(len(active)))
}

// rolloutOf returns the roll-out of an order. It continues the known one if that has the same
// order or one that this order rewrites.
func rolloutOf(order rollout.Order, known *activeRollout, now time.Time) *activeRollout {
	switch {
	case known != nil && known.Order.Version == order.Version:
		return known
	case known != nil && order.IsRewriteOf(known.Order):
		renewed := *known
		renewed.Order.Version = order.Version
		renewed.statusRead, renewed.checkUntil = false, now.Add(checkStatusTimeout)
		return &renewed
	}
	return &activeRollout{Evaluator: rollout.Evaluator{Order: order}, tallies: map[string]rollout.Counts{}}
}

// isOver reports whether nothing is left to decide or to write to the store.
func (a *activeRollout) isOver(now time.Time) bool {
	verdict, _ := a.Verdict()
	return verdict.IsFinal() && now.After(a.checkUntil)
}

// pickVersions picks at random, by the roll-out's share, to which versions a request may go.
func (r *rollouts) pickVersions(service string) rollout.VersionFilter {
	if r.activeCount.Load() == 0 {
		return rollout.VersionFilter{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[service]
	if a == nil {
		return rollout.VersionFilter{}
	}
	return a.versionsFor(rand.Float64(), time.Now())
}

// versionsFor returns the versions for a random number from [0, 1): the target or all others. It
// allows any version if only the target has endpoints and no verdict excludes it, or once the
// roll-out is completed and no longer needs to exclude the others.
func (a *activeRollout) versionsFor(drawn float64, now time.Time) rollout.VersionFilter {
	verdict, since := a.Verdict()
	target := rollout.VersionFilter{Version: a.Order.Target}
	others := rollout.VersionFilter{Version: a.Order.Target, Others: true}
	share := a.Order.Share(verdict, since, now)
	if verdict == rollout.Proving {
		share = a.share
	}
	switch {
	case verdict == rollout.Completed && (a.targets == 0 || now.Sub(since) > completedTTL):
		return rollout.VersionFilter{}
	case verdict == rollout.Completed:
		return target
	case verdict >= rollout.Halted || a.targets == 0:
		return others
	case a.others == 0:
		return rollout.VersionFilter{}
	case drawn < share:
		return target
	}
	return others
}

// forbids reports whether a verdict excludes the endpoint, possibly one that was made after the
// endpoint had been selected. Nothing may be sent to it then.
func (r *rollouts) forbids(endpoint *route.Endpoint) bool {
	if r.activeCount.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[endpoint.Service]
	if a == nil {
		return false
	}
	verdict, _ := a.Verdict()
	return verdict >= rollout.Halted && !a.versionsFor(0, time.Now()).Admits(endpoint.Release)
}

// recordResponse counts a response for the roll-out of its service. A took of 0 means that the
// response is no measure of the endpoint's speed.
func (r *rollouts) recordResponse(endpoint *route.Endpoint, routeName string, failed bool, took time.Duration) {
	if r.activeCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.active[endpoint.Service]; a != nil {
		a.responses.Record(routeName, endpoint.Release == a.Order.Target, failed, took)
	}
}

// verdicts returns the verdicts of all roll-outs, for the other boxes.
func (r *rollouts) verdicts() (verdicts []rollout.VerdictReport) {
	if r.activeCount.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, a := range r.active {
		verdict, _ := a.Verdict()
		verdicts = append(verdicts, rollout.VerdictReport{Service: service, Order: a.Order.Version, Verdict: verdict})
	}
	slices.SortFunc(verdicts, func(a, b rollout.VerdictReport) int { return cmp.Compare(a.Service, b.Service) })
	return verdicts
}

// applyVerdicts applies verdicts of other boxes. It reports whether any of them changed the
// current one.
func (r *rollouts) applyVerdicts(verdicts []rollout.VerdictReport, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range verdicts {
		a := r.active[received.Service]
		if a == nil || a.Order.Version != received.Order {
			continue
		}
		if r.adopt(a, received.Verdict, now) {
			a.checkUntil = now.Add(checkStatusTimeout)
			changed = true
		}
	}
	return changed
}

// adopt applies a verdict if it supersedes the current one, and reports whether it did. The
// caller holds the lock.
func (r *rollouts) adopt(a *activeRollout, verdict rollout.Verdict, now time.Time) (changed bool) {
	before, _ := a.Verdict()
	a.Adopt(verdict, now)
	if after, _ := a.Verdict(); after == before {
		return false
	}
	r.log.Info("roll-out",
		zap.String("Service", a.Order.Service),
		zap.String("Target", a.Order.Target),
		zap.Stringer("Order", a.Order.Version),
		zap.Stringer("Verdict", verdict),
		zap.Duration("Passed", now.Sub(a.Order.SeenAt)))
	return true
}

// RolloutTally returns this box's tally of a roll-out, for the deciding box.
func (g *Gateway) RolloutTally(service string) *peerpb.RolloutTally {
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	a := g.rollouts.active[service]
	if a == nil {
		return nil
	}
	return peer.EncodeRolloutTally(a.Order.Version, a.responses.Tallies(), g.attempts.countOtherReleases(service, a.Order.Target))
}

// proversToAsk returns the boxes that this one asks for their tallies.
func (r *rollouts) proversToAsk() (boxes []string) {
	if r.activeCount.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.active {
		if a.isDecidedBy(r.gateway.Settings.Name) && !a.isOver(time.Now()) {
			boxes = append(boxes, a.provers[1:]...)
		}
	}
	return boxes
}

// isDecidedBy reports whether a box decides on the roll-out.
func (a *activeRollout) isDecidedBy(box string) bool {
	return len(a.provers) > 0 && a.provers[0] == box
}

// run checks the roll-outs until the context ends.
func (r *rollouts) run(ctx context.Context) error {
	interval.Every(ctx, rolloutInterval, func() {
		if r.activeCount.Load() == 0 {
			return
		}
		for _, a := range r.refresh() {
			r.decide(ctx, a)
		}
	})
	return nil
}

// refresh updates the provers and the numbers of endpoints, and returns the roll-outs that this
// box decides on.
func (r *rollouts) refresh() (decided []*activeRollout) {
	g := r.gateway
	boxes := []string{g.Settings.Name}
	g.fleet.EachLive(func(row *peer.Row) { boxes = append(boxes, row.Box) })
	directory := g.registry.Directory()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, a := range r.active {
		a.countEndpoints(directory.EndpointsOf(service))
		if a.isOver(time.Now()) {
			continue
		}
		a.provers = topRankedBoxes("roll-out of "+service, boxes, maxProvers)
		a.share = 0
		if slices.Contains(a.provers, g.Settings.Name) {
			all := a.Order.Share(rollout.Proving, time.Time{}, time.Time{})
			a.share = min(1, all*float64(len(boxes))/float64(len(a.provers)))
		}
		if a.isDecidedBy(g.Settings.Name) && directory != nil {
			decided = append(decided, a)
		}
	}
	return decided
}

// countEndpoints counts the endpoints that admit requests, of the target and of other versions.
func (a *activeRollout) countEndpoints(endpoints []route.Endpoint) {
	a.targets, a.others = 0, 0
	for i := range endpoints {
		switch {
		case !endpoints[i].Admits():
		case endpoints[i].Release == a.Order.Target:
			a.targets++
		default:
			a.others++
		}
	}
}

// decide collects the tallies of the provers, decides, and writes the status to the store.
func (r *rollouts) decide(ctx context.Context, a *activeRollout) {
	if !a.statusRead && !r.readStatus(ctx, a) {
		return
	}
	r.mu.Lock()
	before, _ := a.Verdict()
	r.mu.Unlock()
	if !before.IsFinal() {
		r.fetchTallies(a)
	}
	r.mu.Lock()
	before, _ = a.Verdict()
	if !before.IsFinal() && (a.targets > 0 || before != rollout.Proving) {
		verdict := a.evaluate(time.Now(), r.gateway.attempts.countOtherReleases(a.Order.Service, a.Order.Target))
		r.announce(a, before, verdict)
	}
	verdict, _ := a.Verdict()
	r.mu.Unlock()
	r.writeStatus(ctx, a, verdict)
}

// announce logs a new verdict and sends it to the other boxes. The caller holds the lock.
func (r *rollouts) announce(a *activeRollout, before, verdict rollout.Verdict) {
	if verdict == before {
		return
	}
	r.log.Info("roll-out judged",
		zap.String("Service", a.Order.Service),
		zap.String("Target", a.Order.Target),
		zap.Stringer("Order", a.Order.Version),
		zap.Stringer("Verdict", verdict),
		zap.Duration("Passed", time.Since(a.Order.SeenAt)))
	r.gateway.exchange.SendNow()
}

// evaluate decides by the tallies of all provers. running is the number of this box's requests
// that still run at other versions.
func (a *activeRollout) evaluate(now time.Time, running int) rollout.Verdict {
	counts := rollout.Counts{Routes: a.responses.Tallies(), OldRunning: running}
	for _, reported := range a.tallies {
		counts.OldRunning += reported.OldRunning
		for name, tally := range reported.Routes {
			sum := counts.Routes[name]
			sum.Add(tally)
			counts.Routes[name] = sum
		}
	}
	return a.Evaluate(counts, now)
}

// fetchTallies fetches the tallies of the provers.
func (r *rollouts) fetchTallies(a *activeRollout) {
	r.mu.Lock()
	provers, service, order := a.provers, a.Order.Service, a.Order.Version
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
				a.tallies[box] = peer.DecodeRolloutTally(tally)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// readStatus reads the row of the roll-out from the store, in which another box may have written
// the verdict on this order. It reports whether the read succeeded.
func (r *rollouts) readStatus(ctx context.Context, a *activeRollout) (ok bool) {
	status, err := r.gateway.Store.RolloutStatus(ctx, a.Order.Service)
	if err != nil {
		r.log.Warn("status of a roll-out not read", zap.String("Service", a.Order.Service), zap.Error(err))
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.status, a.statusRead = status, true
	ofOrder := status.Version > a.Order.Version && status.Target == a.Order.Target
	if ofOrder && status.Verdict.IsFinal() && r.adopt(a, status.Verdict, time.Now()) {
		r.gateway.exchange.SendNow()
	}
	return true
}

// writeStatus writes the progress of a roll-out to the store. The verdict is sent to other
// boxes as final only after that.
func (r *rollouts) writeStatus(ctx context.Context, a *activeRollout, verdict rollout.Verdict) {
	wanted := registry.RolloutStatus{Service: a.Order.Service, Target: a.Order.Target, Version: a.status.Version}
	switch verdict {
	case rollout.Moved, rollout.Completed:
		wanted.Verdict = rollout.Completed
	case rollout.Halted, rollout.RolledBack:
		wanted.Verdict = rollout.RolledBack
	}
	upToDate := a.status.Version > a.Order.Version && a.status.Target == wanted.Target && a.status.Verdict == wanted.Verdict
	if upToDate {
		return
	}
	written, err := r.gateway.Store.WriteRolloutStatus(ctx, wanted)
	if err != nil {
		// The write may have succeeded nevertheless.
		r.log.Warn("status of a roll-out not written", zap.String("Service", a.Order.Service), zap.Error(err))
	}
	// The new version of the row is needed whether or not the write succeeded.
	a.statusRead = r.readStatus(ctx, a)
	if written {
		r.log.Info("status of a roll-out written", zap.String("Service", a.Order.Service), zap.Stringer("Verdict", wanted.Verdict))
	}
}
