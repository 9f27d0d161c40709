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

// scheduler gets this box's requests for one group of engines granted. Any box
// can dispatch for a group: the one that ranks first among the live
// boxes is asked, by all. Its grants are advice, and what an engine says of
// itself is the truth, so that two boxes that dispatch at once, or none, do no
// harm. A box that gets no word in time asks the next, or decides alone.
type scheduler struct {
	gateway *Gateway
	// service is the name of the group, with the service's; poolName is the service's alone,
	// number the group's, and groups how many there are.
	groupName   string
	poolName    string
	groupNumber int
	groupCount  int
	// assignment is shared with the other groups of the pool.
	assignment *partition.Assignment
	log        *zap.Logger

	// cancel ends what runs for the group.
	cancel context.CancelFunc
	// usedAt is when the group was last used; the lock of its pool guards it.
	usedAt time.Time

	mu sync.Mutex
	// standing groups have sessions to the boxes that may dispatch for them at all times.
	persistent bool
	// endpoints are the group's engines. The pool has them once this box decides something,
	// and not before: most boxes of a large fleet decide nothing in most groups.
	endpoints []route.Endpoint
	poolReady bool
	pool      *dispatch.Pool
	// pending are this box's requests that wait for a verdict.
	pending map[string]*pending
	// running are this box's granted requests, told to a box that takes over.
	running map[string]*grantedRequest
	// routers are those that ask this box, by number.
	streams map[uint64]*incomingStream
	// lastRouter is the number of the last of them; ownRouter is this box's.
	lastStream uint64
	// leftAt is when boxes last ended a stream on which they asked this one.
	leftAt map[string]time.Time
	// told is the start of a box that was told what is known here, so that a new stream to it
	// need not tell it again.
	syncedStart uint64
	// asked is what this box's requests asked for, and history what they were granted;
	// everywhere is the same over all groups of the pool.
	requested, granted dispatch.History
	poolHistories      *histories
	// boxHash is of this box's name.
	boxHash uint64
	// remote is the box that is asked; nil when it is this one, which aloneSince tells
	// since when.
	remote     *remote
	aloneSince time.Time
	// cold is this box's part of what cold engines take.
	cold coldFraction
	// opening is the stream that is being opened, if any.
	opening *opening
	// ranking orders the boxes that may dispatch, as of some candidates.
	ranking    []partition.Ranked
	candidates []membership.Candidate
	// suspects are boxes that gave no word.
	suspects map[string]suspicion
	// floods are the customers beyond their share, with what waits here of each.
	floods dispatch.BacklogLimiter
	// turnedHere is what this box refused itself since that was last told, by customer.
	localRefusals map[string]*localRefusals
	// learnt is set once the engines were asked what they keep, or a router told.
	cachesKnown bool
	// words are the times that first words take to come.
	responses responseTimes
	// lookedAt is when the line was last looked at.
	decidedAt time.Time
	// wake tells the ticker that requests wait. Capacity 1.
	wake chan struct{}
}

// remote is the stream to the box that dispatches.
type remote struct {
	box    string
	stream *peer.DispatchStream
	// heardAt is when it last said something, to whichever request, and decidedAt
	// when that was a verdict.
	respondedAt, verdictAt time.Time
	// ended is closed with the stream.
	ended chan struct{}
	// usedAt is when a request was last seen to use the stream.
	usedAt time.Time
	// absent are the engines in a row that it granted and that are not there.
	absentGrants absentGrants
}

// router is a box that asks this one, on a stream.
type incomingStream struct {
	box    string
	stream *peer.DispatchStream
	since  time.Time
}

const (
	// verdictSlack is added to the time a request may be held before the box
	// that dispatches is taken for hanging.
	verdictSlack = 100 * time.Millisecond
	// mostSilence is the longest that a request waits for its word from a box that
	// speaks to others: of the order of the routes' aims, after which an answer
	// counts little.
	maxResponseWait = time.Second
	// tick is the time between two looks at the line, at least, and while requests
	// wait also at most: a busy pool has thousands of events a second, and a look at
	// a long line takes up to a millisecond where some engines have room.
	decisionInterval = 4 * time.Millisecond
	// mostAsked bounds the boxes that are asked for one request before this box
	// decides alone.
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
		pending:   map[string]*pending{},
		running:   map[string]*grantedRequest{},
		streams:   map[uint64]*incomingStream{},
		leftAt:    map[string]time.Time{},
		requested: dispatch.History{Window: rules.Window},
		granted:   dispatch.History{Window: rules.Window},
		boxHash:   xxhash.Sum64String(g.Settings.Name),
		suspects:  map[string]suspicion{},
		wake:      make(chan struct{}, 1),

		aloneSince: time.Now(),
	}
	ctx, cancel := context.WithCancel(g.workContext)
	s.cancel = cancel
	g.work.Go(func() error { return s.runDecisions(ctx) })
	return s
}

// configure takes what a new catalog says of the group, and how many groups there are.
func (s *scheduler) configure(service route.Service, tokensPerSecond float64, groups int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupCount, s.persistent = groups, groups <= maxPersistentGroups
	s.pool.Groups = groups
	s.pool.Configure(service, tokensPerSecond)
}

// setEndpoints takes the group's engines.
func (s *scheduler) setEndpoints(endpoints []route.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = endpoints
	if s.poolReady || s.persistent {
		s.poolReady = true
		s.pool.SetEndpoints(endpoints, time.Now())
	}
}

// engage has the pool ready to decide. The lock is held.
func (s *scheduler) preparePool() {
	if s.poolReady {
		return
	}
	s.poolReady = true
	now := time.Now()
	s.pool.SetEndpoints(s.endpoints, now)
	for _, one := range s.running {
		s.pool.Adopt(one.ask, one.endpoint, one.begun, now)
	}
	for _, rest := range s.gateway.rests.active(now) {
		s.pool.SetBackoff(ownStream, rest, now)
	}
}

// has tells whether an engine is one of the group's. The lock is held.
func (s *scheduler) has(engine string) bool {
	return slices.ContainsFunc(s.endpoints, func(e route.Endpoint) bool { return e.ID == engine })
}

// atRest tells whether nothing waits or runs here, and no other box asks.
func (s *scheduler) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) == 0 && len(s.running) == 0 && len(s.streams) == 0 &&
		s.remote == nil && s.opening == nil && s.pool.Running() == 0 && s.pool.Waiting() == 0
}

// idleStream is how long a stream that no request uses is kept, where groups are many.
const streamIdleTimeout = 250 * time.Millisecond

// leaveIdle closes the stream to the box that dispatches once no request uses it, where groups
// are many: that box would else have one of each box of the fleet.
func (s *scheduler) closeIdleStream(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.persistent || s.remote == nil:
	case len(s.pending) > 0 || len(s.running) > 0:
		s.remote.usedAt = now
	case now.Sub(s.remote.usedAt) >= streamIdleTimeout:
		s.remote.stream.Close()
		s.remote, s.aloneSince = nil, now
	}
}

// tick looks at the line from time to time while requests wait.
func (s *scheduler) runDecisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for s.decideOnTick() {
			if interval.Wait(ctx, decisionInterval) != nil {
				return nil
			}
		}
	}
}

func (s *scheduler) decideOnTick() (waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decideNow(time.Now())
	return s.pool.Waiting() > 0
}

// decide looks at the line after an event, at once or, where it was looked at just
// before, with the next tick. The lock is held.
func (s *scheduler) decide() {
	if s.pool.Waiting() == 0 {
		return
	}
	if now := time.Now(); now.Sub(s.decidedAt) >= decisionInterval {
		s.decideNow(now)
	}
	if s.pool.Waiting() > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// look delivers what the pool decides. The lock is held.
func (s *scheduler) decideNow(now time.Time) {
	s.decidedAt = now
	s.pool.ColdFraction = s.coldFraction(now)
	if contested := s.isContested(); contested != s.pool.Contested {
		s.pool.Contested = contested
		s.log.Info("dispatch contested", zap.String("Service", s.groupName), zap.Bool("Contested", contested))
	}
	for _, d := range s.pool.Decide(now) {
		switch d := d.(type) {
		case dispatch.Grant:
			s.deliver(d.Request, verdict{
				endpoint:      d.Endpoint,
				wait:          d.Wait,
				readTime:      d.ReadTime,
				missingTokens: d.MissingTokens,
			})
		case dispatch.Refusal:
			s.deliver(d.Request, verdict{retryAfter: d.RetryAfter, overShare: d.OverShare, noEligibleEngine: d.NoEligibleEngine, waiting: d.Queued})
		}
	}
}

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

// ownRouter stands for this box among those that ask.
const ownStream = 0

// acquire waits until a request is granted an engine or turned away, by this box where it is
// to decide alone.
func (s *scheduler) acquire(ctx context.Context, req *dispatch.Request, alone bool) (verdict, error) {
	req.Stream = ownStream
	if why := s.enterQueue(req.Customer); why != dispatch.Admitted {
		return s.refuseLocally(why, req), nil
	}
	s.mu.Lock()
	s.recordAsk(req, time.Now())
	s.mu.Unlock()
	v, err := s.req(ctx, req, alone)
	s.leaveQueue(req.Customer, v)
	return v, err
}

// ask has the box that dispatches decide, or this one.
func (s *scheduler) req(ctx context.Context, req *dispatch.Request, alone bool) (verdict, error) {
	for range maxDispatchersAsked {
		if alone {
			break
		}
		box := s.dispatcher()
		if box == s.gateway.Settings.Name {
			return s.askLocal(ctx, req, 1)
		}
		v, err := s.askRemote(ctx, req, box)
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

// askOwn has this box's own pool decide, which sees the requests of all routers
// or, where it stands in for the box that dispatches, only its own.
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
		s.learnPromptCaches()
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

// leaveRemote closes the stream to the box that was asked before. The lock is
// held.
func (s *scheduler) closeRemote(leave bool) {
	if !leave || s.remote == nil {
		return
	}
	s.log.Info("this box dispatches now", zap.String("Service", s.groupName), zap.String("Before", s.remote.box))
	s.remote.stream.Close()
	s.remote, s.aloneSince = nil, time.Now()
}
