package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/route"
)

const (
	// listTimeout bounds the wait for one engine's list of its cached parts.
	listTimeout = time.Second
	// maxConcurrentLists bounds the engines that are asked at the same time.
	maxConcurrentLists = 12
)

// learnPrefixCaches asks the engines once for their cached parts, if this box has just started,
// is the dispatcher and no other box has sent them. After a restart of the whole fleet, prompts
// would otherwise be sent to other engines and read again there, or be assumed to be cached at
// engines that do not have them. A box that has not yet received the state of the fleet may
// consider itself the dispatcher, so it waits: when 295 boxes all asked 301 engines, it took a
// box 1.3 s, in which it was short of processor time. The caller holds the lock.
func (s *scheduler) learnPrefixCaches() {
	if s.cachesKnown || !s.pool.Warm {
		return
	}
	s.cachesKnown = true
	s.gateway.work.Go(func() error {
		if s.awaitSettled() && s.isDispatcher() {
			s.listPrefixCaches(s.members())
			return nil
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cachesKnown = false
		return nil
	})
}

// settledCheckInterval is the time between two checks of whether this box's view of the fleet is
// complete.
const settledCheckInterval = 50 * time.Millisecond

// awaitSettled waits until this box's view of the fleet is complete. It reports false if the box
// stops first.
func (s *scheduler) awaitSettled() bool {
	for !s.gateway.fleet.IsSettled(time.Now()) {
		if interval.Wait(s.gateway.workContext, settledCheckInterval) != nil {
			return false
		}
	}
	return true
}

// isDispatcher reports whether this box dispatches for the group, for itself or for others.
func (s *scheduler) isDispatcher() bool {
	if s.dispatcher() == s.gateway.Settings.Name {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams) > 0
}

func (s *scheduler) members() []route.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.endpoints)
}

func (s *scheduler) listPrefixCaches(engines []route.Endpoint) {
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentLists)
	began := time.Now()
	for _, engine := range engines {
		group.Go(func() error {
			cached, err := s.gateway.listPrefixCache(engine)
			if err != nil {
				s.log.Warn("memory of an engine not listed", zap.String("Endpoint", engine.ID), zap.Error(err))
				return nil
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pool.ApplyCacheReport(cached, time.Now())
			return nil
		})
	}
	_ = group.Wait()
	s.log.Info("memories of engines listed",
		zap.String("Service", s.groupName),
		zap.Int("Engines", len(engines)),
		zap.Duration("Took", time.Since(began)))
}

// listPrefixCache asks one engine for its cached parts.
func (g *Gateway) listPrefixCache(engine route.Endpoint) (cached dispatch.CachedParts, err error) {
	defer func() { err = trace.Wrap(err, "listing the cached parts of engine %s", engine.ID) }()
	ctx, cancel := context.WithTimeout(g.workContext, listTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	request.Header.SetHost(engine.Address)
	request.Header.SetRequestURI(g.Translator.CachePath())
	response, err := g.client(engine.Address).Do(ctx, &endpoint.Call{
		Request: request,
		Sending: func() error {
			if !g.admits(&engine) {
				return errNotAdmitted
			}
			return nil
		},
		Match:   g.matchCacheList,
		Written: func() { fasthttp.ReleaseRequest(request) },
	})
	if err != nil {
		return cached, err
	}
	defer response.Close()
	g.handleSelfReport(&engine, g.Translator.ParseResponse(&response.Head), g.Logs.For(logflags.Pool))
	if status := response.Head.StatusCode(); status != fasthttp.StatusOK {
		return cached, trace.BadParameter("status %d", status)
	}
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return cached, err
	}
	cached.Endpoint = engine.ID
	cached.Born, cached.Parts, err = g.Translator.ParseCachedParts(body)
	return cached, err
}

// matchCacheList tells whether a response may be that to a request for a list, which has no ID.
func (g *Gateway) matchCacheList(head *fasthttp.ResponseHeader) endpoint.Match {
	if g.Translator.ParseResponse(head).ID != "" {
		return endpoint.MatchOther
	}
	return endpoint.MatchUnnamed
}
