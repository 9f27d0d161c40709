package gateway

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/route"
)

const (
	// listTime bounds the wait for one engine's account of its memory.
	listTime = time.Second
	// listsAtOnce bounds the engines that are asked at once.
	listsAtOnce = 12
)

// learnMemories asks the engines what they keep, once, where a box that has just
// started dispatches and nobody has told it: after all boxes were gone, what the
// engines keep would otherwise be read again, or counted on where it is not. The
// lock is held.
func (s *scheduler) learnMemories() {
	if s.learnt || !s.pool.Warm {
		return
	}
	s.learnt = true
	engines := s.pool.Endpoints()
	s.gateway.work.Go(func() error {
		s.listMemories(engines)
		return nil
	})
}

func (s *scheduler) listMemories(engines []route.Endpoint) {
	group := errgroup.Group{}
	group.SetLimit(listsAtOnce)
	began := time.Now()
	for _, engine := range engines {
		group.Go(func() error {
			parts, err := s.gateway.listMemory(engine)
			if err != nil {
				s.log.Warn("memory of an engine not listed", zap.String("Endpoint", engine.ID), zap.Error(err))
				return nil
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pool.List(dispatch.Kept{Endpoint: engine.ID, Parts: parts}, time.Now())
			return nil
		})
	}
	_ = group.Wait()
	s.log.Info("memories of engines listed",
		zap.String("Service", s.service),
		zap.Int("Engines", len(engines)),
		zap.Duration("Took", time.Since(began)))
}

// listMemory asks one engine what it keeps.
func (g *Gateway) listMemory(engine route.Endpoint) (parts []dispatch.Part, err error) {
	defer func() { err = trace.Wrap(err, "asking engine %s what it keeps", engine.ID) }()
	ctx, cancel := context.WithTimeout(g.over, listTime)
	defer cancel()
	request := fasthttp.AcquireRequest()
	request.Header.SetHost(engine.Address)
	request.Header.SetRequestURI(g.Translator.KeptPath())
	reply, err := g.client(engine.Address).Do(ctx, &endpoint.Call{
		Request: request,
		Sending: func() error { return nil },
		Written: func() { fasthttp.ReleaseRequest(request) },
	})
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	if status := reply.Head.StatusCode(); status != fasthttp.StatusOK {
		return nil, trace.BadParameter("status %d", status)
	}
	body, err := reply.Whole(answerBytes)
	if err != nil {
		return nil, err
	}
	return g.Translator.Kept(body)
}
