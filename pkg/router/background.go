package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/pool"
	"github.com/quaylead/quaylead/pkg/revision"
	"github.com/quaylead/quaylead/pkg/settings"
)

// pollHead polls the store for accepted settings.
func (r *Router) pollHead(ctx context.Context) error {
	if r.Box.Platform.Address == "" {
		return nil
	}
	log := r.logs.For(logflags.Settings)
	interval.Every(ctx, r.Box.Platform.HeadInterval.Duration, func() {
		if err := r.checkHead(); err != nil {
			log.Debug("reading the accepted settings failed", zap.Error(err))
		}
	})
	return nil
}

// checkHead reads the head row and, when it is newer, applies the snapshot that it
// names.
func (r *Router) checkHead() error {
	head, _, err := revision.Repository{Store: r.store}.Head()
	if err != nil || head.Revision <= r.revision() {
		return err
	}
	snapshot, err := revision.Repository{Store: r.store}.Snapshot(head)
	if err != nil {
		return err
	}
	return r.apply(head.Revision, snapshot)
}

// revision returns the revision of the settings in force; 0 when none were
// accepted.
func (r *Router) revision() uint64 {
	if current := r.current.Load(); current != nil {
		return current.revision
	}
	return 0
}

// pollBoxList polls the platform's list of boxes.
func (r *Router) pollBoxList(ctx context.Context) error {
	if r.Box.Platform.Address == "" {
		return nil
	}
	log := r.logs.For(logflags.Platform)
	interval.Every(ctx, r.Box.Platform.BoxListInterval.Duration, func() {
		boxes, err := r.store.Boxes()
		if err != nil {
			log.Debug("reading the box list failed", zap.Error(err))
			return
		}
		r.applyBoxList(boxes)
	})
	return nil
}

// applyBoxList adds peers and takes work from endpoints that are leaving. A box
// that is missing from the list is not assumed dead, because the list lags.
func (r *Router) applyBoxList(boxes []platform.ListedBox) {
	peers := map[string]settings.Peer{}
	leaving := map[string]bool{}
	for _, listed := range boxes {
		switch listed.Role {
		case platform.RouterRole:
			peers[listed.Name] = settings.Peer{Address: listed.Address, Zone: listed.Zone}
		case platform.EndpointRole:
			leaving[listed.Address] = listed.State == platform.LeavingState
		}
	}
	// This box's own settings of a peer take precedence over the list.
	for name, configured := range r.Box.Peers {
		peers[name] = configured
	}
	r.exchange.SetContacts(peer.ContactsOf(peers))
	r.mu.Lock()
	r.leavingAddresses = leaving
	r.mu.Unlock()
	for _, p := range r.allPools() {
		p.Do(func(s *pool.Schedule, now time.Time) { s.SetLeaving(leaving) })
	}
}

// updatePeerDemand updates each pool with the number of live routers and their
// demand.
func (r *Router) updatePeerDemand(ctx context.Context) error {
	interval.Every(ctx, r.Box.Exchange.Interval.Duration, func() {
		for name, p := range r.allPools() {
			liveRouters, demand := r.members.Demand(name)
			p.Do(func(s *pool.Schedule, now time.Time) { s.SetPeers(liveRouters, demand) })
		}
	})
	return nil
}

// State returns the state of every pool, to be sent to peers.
func (r *Router) State() peer.State {
	state := peer.State{
		Revision: r.revision(),
		Leaving:  r.stopping.Load(),
		Pools:    map[string]peer.PoolState{},
	}
	for name, p := range r.allPools() {
		p.View(func(s *pool.Schedule, now time.Time) {
			state.Pools[name] = s.State(now)
		})
	}
	return state
}

// Snapshot returns the settings in force, to be sent to peers.
func (r *Router) Snapshot() (revision uint64, content []byte) {
	current := r.current.Load()
	if current == nil {
		return 0, nil
	}
	return current.revision, current.snapshot
}

// HandleUpdate applies a peer's update.
func (r *Router) HandleUpdate(from peer.Sender, update peer.State, first bool) {
	r.members.HandleUpdate(from, update, first, time.Now())
	for name, state := range update.Pools {
		p := r.pool(name)
		if p == nil {
			continue
		}
		p.Do(func(s *pool.Schedule, now time.Time) { s.HandleUpdate(from.Incarnation, state, first) })
	}
	if update.Revision > r.revision() {
		r.fetchSettings(from.Box, update.Revision)
	}
}

// fetchSettings fetches a higher revision from the peer that reported it, so that
// a store outage does not stop it from spreading.
func (r *Router) fetchSettings(from string, revision uint64) {
	log := r.logs.For(logflags.Settings)
	found, content, err := r.exchange.FetchSettings(from, revision)
	if err == nil {
		err = r.apply(found, content)
	}
	if err != nil {
		log.Warn("taking settings from a peer failed", zap.String("Peer", from), zap.Error(err))
	}
}

// HandlePeerLost drops the waiting requests and the charges that a peer reported.
func (r *Router) HandlePeerLost(from peer.Sender) {
	r.members.HandlePeerLost(from)
	for _, p := range r.allPools() {
		p.Do(func(s *pool.Schedule, now time.Time) { s.Ledger.RemovePeer(from.Incarnation) })
	}
}

// pollReports polls endpoints for their load.
func (r *Router) pollReports(ctx context.Context) error {
	lastPolls := map[string]time.Time{}
	interval.Every(ctx, reportCheckInterval, func() {
		for name, p := range r.allPools() {
			rules, addresses := endpointsOf(p)
			due := time.Since(lastPolls[name]) >= rules.ReportInterval.Duration
			if rules.ReportPath == "" || !due {
				continue
			}
			lastPolls[name] = time.Now()
			r.fetchReports(p, &rules, addresses)
		}
	})
	return nil
}

// reportCheckInterval is the granularity of report intervals.
const reportCheckInterval = 50 * time.Millisecond

func endpointsOf(p *pool.Pool) (rules settings.Pool, addresses map[string]string) {
	p.View(func(s *pool.Schedule, now time.Time) {
		rules = s.Rules()
		addresses = s.Addresses()
	})
	return rules, addresses
}

// fetchReports reads the load of all endpoints of a pool at once, each within the
// report interval.
func (r *Router) fetchReports(p *pool.Pool, rules *settings.Pool, addresses map[string]string) {
	group := errgroup.Group{}
	for name, address := range addresses {
		group.Go(func() error {
			report, err := r.fetchReport(address, rules)
			p.Do(func(s *pool.Schedule, now time.Time) {
				if err != nil {
					s.RecordReportFailure(name, now)
					return
				}
				s.ApplyReport(name, report, now)
			})
			return nil
		})
	}
	// The workers pass failures to the schedule and return nil.
	_ = group.Wait()
}

// fetchReport reads one endpoint's load.
func (r *Router) fetchReport(address string, rules *settings.Pool) (report pool.Report, err error) {
	defer func() { err = trace.Wrap(err, "reading the load of endpoint %s", address) }()
	call := &fasthttp.Request{}
	call.SetRequestURI("http://" + address + rules.ReportPath)
	timeout := max(rules.ReportInterval.Duration, rules.ConnectTimeout.Duration)
	deadline := time.Now().Add(timeout)
	check := func() error {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("no report within %s", timeout)
		}
		return nil
	}
	noop := func() error { return nil }
	response, err := r.client(address, rules).Send(call, false, check, noop, noop)
	if err != nil {
		return report, err
	}
	defer response.Close()
	body, err := response.ReadAll(r.Box.Limits.HeaderBytes)
	if err != nil {
		return report, err
	}
	if status := response.Response.StatusCode(); status != fasthttp.StatusOK {
		return report, trace.BadParameter("status %d", status)
	}
	return report, json.Unmarshal(body, &report)
}
