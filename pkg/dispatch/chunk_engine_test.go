package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/quaylead/quaylead/pkg/route"
)

// chunkModel describes engines that read prompts in chunks between the steps of their running
// streams, as in docs/design/hard-load.md.
type chunkModel struct {
	// rate is in prompt tokens a second, at the usual speed; chunk is the number of them read
	// between two steps.
	rate  float64
	chunk int
	// step is the time in which each running stream gets one token.
	step time.Duration
	// speeds are those of the engines, in rotation, relative to the usual one.
	speeds []float64
	// slowFraction is the fraction of its time in which an engine takes slowFactor times as long.
	slowFraction float64
	// tokensPerSecond is the stated rate of an engine.
	tokensPerSecond float64
	cacheTokens     int
}

const (
	// eventTokens is the number of tokens in one event of a stream.
	eventTokens = 6
	// chunkHop is the time of a message between the dispatcher and an engine.
	chunkHop = 8 * time.Millisecond
)

// The engines of the two deployments. That of A is assumed to read shorter chunks, as pauses are
// rare there.
var (
	modelA = chunkModel{rate: 56600, chunk: 2048, step: 3790 * time.Microsecond, speeds: []float64{1, 1, 1.3}, tokensPerSecond: 34400, cacheTokens: 536334}
	modelB = chunkModel{rate: 112000, chunk: 2912, step: 3410 * time.Microsecond, speeds: []float64{0.7, 0.7, 1.7}, slowFraction: 0.15, tokensPerSecond: 57800, cacheTokens: 885182}
)

// chunkEngine is a simulated engine of a chunkModel.
type chunkEngine struct {
	*chunkModel
	speed float64
	// seed draws its slow times.
	seed    uint64
	unread  []*chunkRead
	streams []*chunkStream
	// active is set while a step is under way.
	active bool
	// readTokens are all tokens that it has read.
	readTokens int
}

// chunkRead is a prompt with the number of its tokens that are not read yet.
type chunkRead struct {
	req    *Request
	tokens int
}

// chunkStream is a running stream.
type chunkStream struct {
	req *Request
	// left are the tokens to come, and held those since the last event.
	left, held int
	eventAt    time.Time
	longest    time.Duration
	firstLate  bool
}

// newChunkSimulation returns a simulation of engines of a model.
func newChunkSimulation(model chunkModel, engines int, seed uint64) *simulation {
	stated := model.tokensPerSecond * float64(engines)
	s := newSimulation(engines, stated, model.rate)
	s.rand = rand.New(rand.NewPCG(seed, 4))
	s.pool.Configure(route.Service{Name: "llm", Engine: &route.Engine{Slots: 64, CacheTokens: model.cacheTokens, EventTokens: eventTokens}}, stated)
	s.chunkEngines = map[string]*chunkEngine{}
	for i, e := range s.pool.sorted {
		e.Slots, e.cacheCapacity = 64, model.cacheTokens
		s.chunkEngines[e.ID] = &chunkEngine{chunkModel: &model, speed: model.speeds[i%len(model.speeds)], seed: seed*1000 + uint64(i)}
	}
	return s
}

// delay returns how much longer than usual the engine takes now.
func (e *chunkEngine) delay(now time.Time) float64 {
	period := uint64(now.Sub(start) / noisePeriod)
	if rand.New(rand.NewPCG(e.seed, period)).Float64() < e.slowFraction {
		return slowFactor / e.speed
	}
	return 1 / e.speed
}

// runChunked sends a granted request to its engine.
func (s *simulation) runChunked(g Grant) {
	e := s.chunkEngines[g.Endpoint]
	tokens := 0
	for _, part := range g.Request.Parts {
		if _, ok := s.cached[g.Endpoint][part.ID]; !ok {
			tokens += part.Tokens
			s.cached[g.Endpoint][part.ID] = cachedAt{part.Tokens, s.now}
		}
	}
	s.at(s.now.Add(chunkHop), func() {
		e.unread = append(e.unread, &chunkRead{req: g.Request, tokens: tokens})
		if !e.active {
			e.active = true
			s.startStep(e)
		}
	})
}

// startStep starts the next step of an engine, and the chunk that is read with it.
func (s *simulation) startStep(e *chunkEngine) {
	if len(e.unread) == 0 && len(e.streams) == 0 {
		e.active = false
		return
	}
	left := e.chunk
	var read []*chunkRead
	for len(e.unread) > 0 && left > 0 {
		first := e.unread[0]
		tokens := min(left, first.tokens)
		first.tokens -= tokens
		left -= tokens
		if first.tokens > 0 {
			break
		}
		read, e.unread = append(read, first), e.unread[1:]
	}
	e.readTokens += e.chunk - left
	took := e.step + time.Duration(float64(e.chunk-left)/e.rate*float64(time.Second))
	s.at(s.now.Add(time.Duration(float64(took)*e.delay(s.now))), func() { s.endStep(e, read) })
}

// endStep gives each running stream a token, and begins those whose prompts were read.
func (s *simulation) endStep(e *chunkEngine, read []*chunkRead) {
	running := e.streams[:0]
	for _, stream := range e.streams {
		stream.left--
		if stream.held++; stream.held == eventTokens || stream.left == 0 {
			stream.longest = max(stream.longest, s.now.Sub(stream.eventAt))
			stream.held, stream.eventAt = 0, s.now
		}
		if stream.left == 0 {
			s.endStream(stream)
			continue
		}
		running = append(running, stream)
	}
	e.streams = running
	for _, done := range read {
		at := s.now.Add(chunkHop)
		e.streams = append(e.streams, &chunkStream{
			req: done.req, left: done.req.ExpectedOutput() - 1, eventAt: s.now,
			firstLate: at.Sub(done.req.Arrived) > done.req.LatencyTarget,
		})
		s.at(at, func() { s.pool.Begin(done.req.ID, s.now) })
	}
	s.startStep(e)
}

// endStream counts a stream that is complete.
func (s *simulation) endStream(stream *chunkStream) {
	s.at(s.now.Add(chunkHop), func() { s.pool.End(stream.req.ID, Done{}, s.now) })
	t := s.tally(stream.req)
	latePause := stream.req.GapTarget > 0 && stream.longest > stream.req.GapTarget
	switch {
	case s.now.After(stream.req.Deadline):
		t.expired++
	case stream.firstLate && latePause:
		t.lateBoth++
	case stream.firstLate:
		t.late++
	case latePause:
		t.latePause++
	default:
		t.inTime++
	}
}
