// Package plain is a stand-in of a plain service, such as one that books
// appointments. It counts how often it has run each request.
package plain

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/cmd/quaystand/truth"
	"github.com/quaylead/quaylead/pkg/pool"
)

// Service is one server of the service. Its exported fields are set before Run.
type Service struct {
	// Address is the IP and port that it listens on.
	Address string
	// Latency is how long a call takes.
	Latency time.Duration
	// ErrorRate is the fraction of calls that are run and then get status 500.
	ErrorRate float64
	// Truth is the log of the requests that were run.
	Truth *truth.Log

	mu      sync.Mutex
	runs    map[string]int
	running int
	leaving bool
}

// Response is the body of a response.
type Response struct {
	Endpoint string
	Request  string
	Key      string
	Path     string
	// Runs is how often this server has run the request's idempotency key, or its ID if it has
	// no key.
	Runs int
	// Length is the length of the request's body in bytes.
	Length int
}

// Control is the body of a /control call, with which a test changes the service while it runs.
type Control struct {
	Leaving *bool `json:",omitempty"`
}

// Leave makes the service refuse new work.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.Truth.Add(truth.Event{Kind: truth.Leaving})
}

// Handle serves one HTTP call.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		s.serveLoad(ctx)
	case "/control":
		s.serveControl(ctx)
	default:
		s.serve(ctx)
	}
}

func (s *Service) serveControl(ctx *fasthttp.RequestCtx) {
	var control Control
	if err := json.Unmarshal(ctx.PostBody(), &control); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if control.Leaving != nil && *control.Leaving {
		s.Leave()
	}
}

func (s *Service) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	report := pool.Report{Running: s.running, Leaving: s.leaving}
	s.mu.Unlock()
	body, err := json.Marshal(report)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	event := truth.Event{
		Request:  id,
		Key:      key,
		Customer: string(ctx.Request.Header.Peek("X-Customer")),
	}
	ctx.Response.Header.Set("X-Request-Id", id)
	runs, admitted := s.begin(id, key)
	if !admitted {
		event.Kind = truth.Refused
		s.Truth.Add(event)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("X-Not-Run", "leaving")
		ctx.Response.Header.Set("X-Leaving", "true")
		return
	}
	event.Kind = truth.Started
	s.Truth.Add(event)
	time.Sleep(s.Latency)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	event.Kind = truth.Finished
	s.Truth.Add(event)
	if rand.Float64() < s.ErrorRate {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	body, err := json.Marshal(Response{
		Endpoint: s.Truth.Endpoint,
		Request:  id,
		Key:      key,
		Path:     string(ctx.Path()),
		Runs:     runs,
		Length:   len(ctx.PostBody()),
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// begin counts a run and returns how often the request has been run. It returns false if the
// service is leaving.
func (s *Service) begin(id, key string) (runs int, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return 0, false
	}
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	name := "id/" + id
	if key != "" {
		name = "key/" + key
	}
	s.runs[name]++
	s.running++
	return s.runs[name], true
}
