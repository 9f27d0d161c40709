package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/membership"
	"github.com/quaylead/quaylead/pkg/partition"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/route"
)

// scheduler obtains grants for this box's requests to one group of engines. Any box can
// dispatch for a group: all boxes ask the live one that ranks first, the dispatcher. Its grants
// are only advice, and the engines' own responses take precedence. Two dispatchers at once, or
// none, therefore do no harm. A box that gets no response in time asks the next one, or decides
// locally.
type scheduler struct {
	gateway *Gateway
	// groupName is the name of the group between boxes, which includes that of the service;
	// poolName is the name of the service.
	groupName   string
	poolName    string
	groupNumber int
	groupCount  int
	// assignment is shared with the other groups of the pool.
	assignment *partition.Assignment
	log        *zap.Logger

	// cancel ends runDecisions.
	cancel context.CancelFunc
	// usedAt is when the group was last used; guarded by the lock of its pool.
	usedAt time.Time

	mu sync.Mutex
	// persistent groups always have sessions to the boxes that may dispatch for them.
	persistent bool
	// plain is set for the endpoints of a plain service, whose pool grants slots. confirmedAt is
	// when the boxes that ask this one were last told what waits here.
	plain       bool
	confirmedAt time.Time
	// endpoints are the engines of the group. They are set in the pool only when this box begins
	// to decide, which poolReady records: most boxes of a large fleet never decide for most
	// groups. leaving are those that are leaving and still serve.
	endpoints, leaving []route.Endpoint

	poolReady bool
	pool      *dispatch.Pool
	// pending are this box's requests that wait for a verdict.
	pending map[string]*pending
	// running are the granted requests of this box; they are reported to a new dispatcher.
	running map[string]*grantedRequest
	// streams are the streams of the boxes that ask this one, by number.
	streams map[uint64]*incomingStream
	// lastStream is the highest number given to a stream; ownStream is the number of this box.
	lastStream uint64
	// streamEndedAt is when each box last ended a stream on which it asked this one.
	streamEndedAt map[string]time.Time
	// syncedIncarnation is the incarnation of the last dispatcher to which the cached parts
	// were sent. Unless the group is persistent, they are not sent again on a new stream to it.
	syncedIncarnation uint64
	// requested and granted are the histories of this box's requests to the group;
	// poolHistories sums them over all groups of the pool.
	requested, granted dispatch.History
	poolHistories      *histories
	// boxHash is the hash of this box's name.
	boxHash uint64
	// remote is the stream to the dispatcher. It is nil if this box has none and decides locally;
	// localSince is when that began.
	remote     *remote
	localSince time.Time
	// cachedCold is the last result of coldFraction.
	cachedCold cachedColdFraction
	// opening is the stream that is being opened, if any.
	opening *opening
	// ranking orders the boxes that may dispatch; it was computed from candidates.
	ranking    []partition.Ranked
	candidates []membership.Candidate
	// suspects are the boxes that failed to respond, by name.
	suspects map[string]suspicion
	// backlog bounds the requests of each customer over its share that wait here.
	backlog dispatch.BacklogLimiter
	// localRefusals counts what this box refused without asking the dispatcher since the last
	// report, by customer.
	localRefusals map[string]*localRefusals
	// cachesKnown is set once the engines or a router have reported the cached parts of
	// prompts.
	cachesKnown bool
	// responseTimes estimates the response times of dispatchers.
	responseTimes responseTimes
	// decidedAt is when the pool last decided, and decisionDelay the time until the next decision.
	decidedAt     time.Time
	decisionDelay time.Duration
	// wake signals to runDecisions that requests wait. Capacity 1.
	wake chan struct{}
}

// remote is the stream to the dispatcher.
type remote struct {
	box    string
	stream *peer.DispatchStream
	// respondedAt is when the dispatcher last responded to any request, and verdictAt when it
	// last sent a verdict.
	respondedAt, verdictAt time.Time
	// ended is closed with the stream.
	ended chan struct{}
	// usedAt is when a request was last seen to use the stream.
	usedAt time.Time
	// unansweredSince is when the first request was asked that got no response in time, since the last
	// verdict; zero if there is none. It is used for plain services only.
	unansweredSince time.Time
	// absentGrants counts consecutive grants of absent engines.
	absentGrants absentGrants
}

// incomingStream is a stream on which another box asks this one.
type incomingStream struct {
	box    string
	zone   string
	stream *peer.DispatchStream
	since  time.Time
}

const (
	// verdictSlack is added to the maximum time of a request in the queue, after which the
	// dispatcher is assumed to hang.
	verdictSlack = 100 * time.Millisecond
	// maxResponseWait bounds the wait for the response of a dispatcher that responds to other
	// requests. It is of the order of the routes' latency targets: a response to the caller that
	// comes later is worth little.
	maxResponseWait = time.Second
	// decisionInterval is the minimum time between two decisions, and while requests wait also
	// the maximum: a busy pool has thousands of events a second, and a decision on a long queue
	// takes up to a millisecond if some engines have free slots.
	decisionInterval = 4 * time.Millisecond
	// maxDispatchersAsked bounds the boxes that are asked for one request before this box
	// decides locally.
	maxDispatchersAsked = 2
)

func newScheduler(g *Gateway, p *pool, number int) *scheduler {
	rules := dispatch.DefaultRules()
	rules.Window = g.Settings.ShareWindow
	rules.ColdFactor, rules.ColdExtra = g.Settings.ColdFactor, g.Settings.ColdExtra
	s := &scheduler{
		gateway:       g,
		groupName:     partition.GroupName(p.name, number),
		poolName:      p.name,
		groupNumber:   number,
		groupCount:    len(p.groups),
		assignment:    &p.assignment,
		poolHistories: p.histories,
		log:           g.Logs.For(logflags.Pool),
		pool: &dispatch.Pool{
			Rules: rules,
			Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Warm:  !g.Settings.FirstStart,

			Ledger: &g.ledger,
		},
		pending:       map[string]*pending{},
		running:       map[string]*grantedRequest{},
		streams:       map[uint64]*incomingStream{},
		streamEndedAt: map[string]time.Time{},
		requested:     dispatch.History{Window: rules.Window},
		granted:       dispatch.History{Window: rules.Window},
		boxHash:       xxhash.Sum64String(g.Settings.Name),
		suspects:      map[string]suspicion{},
		wake:          make(chan struct{}, 1),

		localSince: time.Now(),
	}
	ctx, cancel := context.WithCancel(g.workContext)
	s.cancel = cancel
	g.work.Go(func() error { return s.runDecisions(ctx) })
	return s
}

// configure applies the settings of a new catalog, the number of groups of the pool, and whether
// sessions to the boxes that may dispatch are kept.
func (s *scheduler) configure(service route.Service, tokensPerSecond float64, groups int, persistent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if persistent != s.persistent {
		// The order of the dispatchers depends on it.
		s.ranking = nil
	}
	s.groupCount, s.persistent = groups, persistent
	s.plain = service.Engine == nil
	if s.plain {
		// Plain endpoints have no prefix cache to list.
		s.cachesKnown = true
	}
	compact := service.Engine.HasCompactCache()
	s.pool.Rules.UnevenEngines, s.pool.Rules.ZoneHomes, s.pool.Rules.ColdHomes = compact, compact, compact
	s.pool.Rules.Fetch = copiesCache(&service)
	s.pool.Groups = groups
	s.pool.Configure(service, tokensPerSecond)
}

// setEndpoints sets the engines of the group, and those that are leaving and still serve.
func (s *scheduler) setEndpoints(endpoints, leaving []route.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints, s.leaving = endpoints, leaving
	if s.poolReady || s.persistent {
		s.poolReady = true
		s.updatePool(time.Now())
	}
}

// updatePool sets the engines in the pool. The caller holds the lock.
func (s *scheduler) updatePool(now time.Time) {
	s.pool.SetLeaving(s.leaving, now)
	s.pool.SetEndpoints(s.endpoints, now)
}

// preparePool sets the engines, running requests and rests in the pool when this box begins to
// decide. The caller holds the lock.
func (s *scheduler) preparePool() {
	if s.poolReady {
		return
	}
	s.poolReady = true
	now := time.Now()
	s.updatePool(now)
	for _, one := range s.running {
		s.pool.Adopt(one.req, one.endpoint, one.begun, now)
	}
	for _, rest := range s.gateway.rests.active(now) {
		s.pool.SetRest(ownStream, rest, now)
	}
}

// hasEngine reports whether an engine belongs to the group. The caller holds the lock.
func (s *scheduler) hasEngine(engine string) bool {
	return slices.ContainsFunc(s.endpoints, func(e route.Endpoint) bool { return e.ID == engine })
}

// isIdle reports whether nothing waits or runs here and no other box asks this one.
func (s *scheduler) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) == 0 && len(s.running) == 0 && len(s.streams) == 0 &&
		s.remote == nil && s.opening == nil && s.pool.Running() == 0 && s.pool.Waiting() == 0
}

// streamIdleTimeout is how long an unused stream is kept if the group has no persistent
// sessions.
const streamIdleTimeout = 250 * time.Millisecond

// closeIdleStream closes the stream to the dispatcher once no request uses it, unless the group
// has persistent sessions. Without this a dispatcher would have a stream from every box of the
// fleet.
func (s *scheduler) closeIdleStream(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.persistent || s.remote == nil:
	case len(s.pending) > 0 || len(s.running) > 0:
		s.remote.usedAt = now
	case now.Sub(s.remote.usedAt) >= streamIdleTimeout:
		s.remote.stream.Close()
		s.remote, s.localSince = nil, now
	}
}

// runDecisions decides every decisionInterval while requests wait, until the context ends.
func (s *scheduler) runDecisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for s.decideOnTick() {
			if interval.Wait(ctx, s.nextDecisionDelay()) != nil {
				return nil
			}
		}
	}
}

// maxDecisionShare is the fraction of its time for which a dispatcher may decide. The messages of
// routers wait meanwhile: a dispatcher that decided for most of its time confirmed requests so late
// that routers took it for lost.
const maxDecisionShare = 0.25

// maxDecisionDelay bounds the time between two decisions: a box that had no processor time for a
// while seems to have decided all along.
const maxDecisionDelay = 5 * decisionInterval

// decisionDelayAfter returns the time from one decision to the next, given how long it took.
func decisionDelayAfter(took time.Duration) time.Duration {
	return min(max(decisionInterval, time.Duration(float64(took)/maxDecisionShare)), maxDecisionDelay)
}

func (s *scheduler) nextDecisionDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decisionDelay
}

// decideOnTick decides, and reports whether requests still wait.
func (s *scheduler) decideOnTick() (waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.decideNow(now)
	s.confirmQueued(now)
	return s.pool.Waiting() > 0
}

// decide decides after an event: at once or, if the last decision was made less than
// decisionInterval ago, with the next tick. A plain request does not wait while a slot is free.
// The caller holds the lock.
func (s *scheduler) decide() {
	if s.pool.Waiting() == 0 {
		return
	}
	if now := time.Now(); now.Sub(s.decidedAt) >= s.decisionDelay || s.pool.HasFreeSlot(now) {
		s.decideNow(now)
	}
	if s.pool.Waiting() > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// decideNow has the pool decide and delivers its verdicts. The caller holds the lock.
func (s *scheduler) decideNow(now time.Time) {
	s.decidedAt = now
	s.pool.ColdFraction = s.coldFraction(now)
	if contested := s.isContested(); contested != s.pool.Contested {
		s.pool.Contested = contested
		s.log.Info("dispatch contested", zap.String("Service", s.groupName), zap.Bool("Contested", contested))
	}
	decisions := s.pool.Decide(now)
	s.decisionDelay = decisionDelayAfter(time.Since(now))
	for _, d := range decisions {
		switch d := d.(type) {
		case dispatch.Grant:
			s.deliver(d.Request, verdict{
				endpoint:      d.Endpoint,
				wait:          d.Wait,
				readTime:      d.ReadTime,
				missingTokens: d.MissingTokens,
				fetchFrom:     d.FetchFrom,
				rate:          d.Rate,
			})
			s.gateway.Metrics.TransferGranted(d.FetchedTokens)
		case dispatch.Refusal:
			s.deliver(d.Request, verdict{retryAfter: d.RetryAfter, overShare: d.OverShare, noEligibleEngine: d.NoEligibleEngine, waiting: d.Queued})
		}
	}
	s.logWeights()
}

// deliver delivers a verdict to the box that asked. A grant that can not be delivered is returned
// to the pool. The caller holds the lock.
func (s *scheduler) deliver(req *dispatch.Request, v verdict) {
	v.decidedBy = s.gateway.Settings.Name
	if req.Stream == ownStream {
		s.resolvePending(req.ID, nil, v)
		return
	}
	to := s.streams[req.Stream]
	if to != nil && to.stream.Send(encodeVerdict(req.ID, v)) {
		return
	}
	s.log.Warn("verdict not delivered",
		zap.String("Request", req.ID),
		zap.Uint64("Stream", req.Stream),
		zap.Bool("StreamKnown", to != nil),
		zap.String("Endpoint", v.endpoint))
	if v.endpoint != "" {
		s.pool.End(req.ID, dispatch.Unused{}, time.Now())
	}
}

// ownStream is the stream number of this box's own requests.
const ownStream = dispatch.OwnStream

// acquire waits until a request is granted an engine or refused. If local is set, this box
// decides without asking the dispatcher.
func (s *scheduler) acquire(ctx context.Context, req *dispatch.Request, local bool) (verdict, error) {
	req.Stream = ownStream
	if admission := s.enterQueue(req.Customer); admission != dispatch.Admitted {
		return s.refuseLocally(admission, req), nil
	}
	s.mu.Lock()
	s.recordRequest(req, time.Now())
	s.mu.Unlock()
	v, err := s.requestVerdict(ctx, req, local)
	s.leaveQueue(req.Customer, v)
	return v, err
}

// requestVerdict obtains a verdict from the dispatcher, or else from this box's own pool.
func (s *scheduler) requestVerdict(ctx context.Context, req *dispatch.Request, local bool) (verdict, error) {
	for range maxDispatchersAsked {
		if local {
			break
		}
		box := s.dispatcher()
		if box == s.gateway.Settings.Name {
			return s.askLocal(ctx, req, 1)
		}
		v, err := s.ask(ctx, req, box)
		if err == nil || ctx.Err() != nil {
			return v, err
		}
		if errors.Is(err, errLateResponse) {
			break
		}
		s.suspect(box, err)
	}
	return s.askLocal(ctx, req, s.gateway.fleet.CountLive()+1)
}

// askLocal has this box's own pool decide. routers is the number of boxes whose pools share the
// engines: 1 if this box is the dispatcher, whose pool has the requests of all routers, and the
// size of the fleet if this box decides in place of the dispatcher, because its pool then has
// only its own requests.
func (s *scheduler) askLocal(ctx context.Context, req *dispatch.Request, routers int) (verdict, error) {
	p := &pending{queued: make(chan struct{}, 1), decided: make(chan verdict, 1)}
	s.mu.Lock()
	s.closeRemote(routers == 1)
	s.pool.Routers = routers
	if len(s.streams) > 0 {
		s.pool.Routers = 1
	}
	s.pending[req.ID] = p
	s.preparePool()
	if routers == 1 {
		s.learnPrefixCaches()
	}
	s.pool.Submit(req, time.Now())
	s.decide()
	s.mu.Unlock()
	select {
	case v := <-p.decided:
		return s.recordGrant(req, v, nil), nil
	case <-ctx.Done():
		s.cancelPending(req.ID, p)
		return verdict{}, context.Cause(ctx)
	}
}

// closeRemote closes the stream to the previous dispatcher if this box has become the
// dispatcher. The caller holds the lock.
func (s *scheduler) closeRemote(isDispatcher bool) {
	if !isDispatcher || s.remote == nil {
		return
	}
	s.log.Info("this box dispatches now", zap.String("Service", s.groupName), zap.String("Before", s.remote.box))
	s.remote.stream.Close()
	s.remote, s.localSince = nil, time.Now()
}
