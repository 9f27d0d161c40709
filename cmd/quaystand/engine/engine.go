// Package engine is a stand-in of a model engine. It simulates continuous batching
// with limited slots and KV memory, a priority queue, a prefix cache, delayed load
// reports, cancelled requests, and leaving.
package engine

import (
	"container/heap"
	"encoding/json"
	"hash/fnv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/cmd/quaystand/truth"
	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/pool"
)

// Engine is one engine. Its exported fields are set before Run.
type Engine struct {
	// Address is the IP and port that it listens on.
	Address string
	// Slots bounds the requests in a batch.
	Slots int
	// KVTokens bounds the tokens of prompts and outputs in KV memory. A request that needs
	// more runs alone.
	KVTokens int
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// DecodeInterval is the time between two tokens of one request in an empty batch. In a full
	// batch it is 1.5 times as long.
	DecodeInterval time.Duration
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// ReportLag is the minimum age of the load report that is served.
	ReportLag time.Duration
	// Truth is the log of the requests that were run.
	Truth *truth.Log

	mu       sync.Mutex
	running  int
	kvUsed   int
	queue    queue
	arrivals int
	leaving  bool
	slowness float64
	cache    prefixCache
	reports  []timedReport
}

type timedReport struct {
	at time.Time
	pool.Report
}

// job is one request in the queue or in the batch.
type job struct {
	id       string
	customer string
	priority int
	arrival  int
	input    int
	output   int
	admitted chan struct{}
	index    int
}

// Control is the body of a /control call, with which a test changes the engine while it runs.
type Control struct {
	// Leaving makes the engine refuse new work, or accept it again.
	Leaving *bool `json:",omitempty"`
	// Slowness multiplies every duration; 1 is the normal speed.
	Slowness float64 `json:",omitempty"`
}

// Handle serves one HTTP call.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		e.serveLoad(ctx)
	case "/control":
		e.serveControl(ctx)
	case "/v1/chat/completions", "/v1/completions":
		e.serveModel(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) serveControl(ctx *fasthttp.RequestCtx) {
	var control Control
	if err := json.Unmarshal(ctx.PostBody(), &control); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if control.Slowness > 0 {
		e.slowness = control.Slowness
	}
	if control.Leaving != nil {
		e.setLeaving(*control.Leaving)
	}
}

// Leave makes the engine refuse new work.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setLeaving(true)
}

func (e *Engine) setLeaving(leaving bool) {
	if leaving == e.leaving {
		return
	}
	e.leaving = leaving
	kind := truth.Joined
	if leaving {
		kind = truth.Leaving
	}
	e.Truth.Add(truth.Event{Kind: kind})
}

// serveLoad responds with the newest report that is at least ReportLag old, or else the current
// one. Its Leaving is always current.
func (e *Engine) serveLoad(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	report := e.currentReport()
	due := time.Now().Add(-e.ReportLag)
	for _, old := range e.reports {
		if old.at.After(due) {
			break
		}
		report = old.Report
	}
	report.Leaving = e.leaving
	e.mu.Unlock()
	body, err := json.Marshal(report)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (e *Engine) currentReport() pool.Report {
	return pool.Report{Running: e.running, Waiting: e.queue.Len(), Slots: e.Slots}
}

// maxReports bounds the history of load reports.
const maxReports = 256

// recordReport records the current load for later reports. The caller holds the lock.
func (e *Engine) recordReport() {
	e.reports = append(e.reports, timedReport{at: time.Now(), Report: e.currentReport()})
	if len(e.reports) > maxReports {
		e.reports = append(e.reports[:0], e.reports[len(e.reports)/2:]...)
	}
}

// requestBody contains the fields of a request body that the engine uses.
type requestBody struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Metadata struct {
		OutputTokens int `json:"output_tokens,string"`
	} `json:"metadata"`
}

// defaultOutputTokens is the length of the output if the request sets none.
const defaultOutputTokens = 64

func (e *Engine) serveModel(ctx *fasthttp.RequestCtx) {
	var request requestBody
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	prompt := request.Messages
	if prompt == nil {
		prompt = request.Prompt
	}
	output := request.Metadata.OutputTokens
	if output == 0 {
		output = defaultOutputTokens
	}
	if request.MaxTokens > 0 {
		output = min(output, request.MaxTokens)
	}
	j := &job{
		id:       string(ctx.Request.Header.Peek("X-Request-Id")),
		customer: string(ctx.Request.Header.Peek("X-Customer")),
		priority: request.Priority,
		input:    max(1, len(prompt)/endpoint.BytesPerToken),
		output:   output,
		admitted: make(chan struct{}),
	}
	ctx.Response.Header.Set("X-Request-Id", j.id)
	e.Truth.Add(j.event(truth.Received, 0))
	if !e.enqueue(j) {
		e.Truth.Add(j.event(truth.Refused, 0))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("X-Not-Run", "leaving")
		ctx.Response.Header.Set("X-Leaving", "true")
		return
	}
	if !e.awaitSlot(ctx, j) {
		return
	}
	prefill := e.prefillDuration(j, prompt)
	stream := &tokenStream{
		engine:       e,
		job:          j,
		includeUsage: request.Options.IncludeUsage,
		model:        request.Model,
		next:         time.Now().Add(prefill),
		isCallerOpen: func() bool { return endpoint.IsOpen(ctx.Conn()) },
	}
	if request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStream(stream, -1)
		return
	}
	stream.serveComplete(ctx)
}

func (j *job) event(kind truth.Kind, output int) truth.Event {
	return truth.Event{
		Kind:     kind,
		Request:  j.id,
		Customer: j.customer,
		Priority: j.priority,
		Input:    j.input,
		Output:   output,
	}
}

// enqueue adds a request to the queue. It returns false if the engine is leaving.
func (e *Engine) enqueue(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return false
	}
	e.arrivals++
	j.arrival = e.arrivals
	heap.Push(&e.queue, j)
	e.admit()
	e.recordReport()
	return true
}

// admit moves requests from the queue into the batch, in the order of the queue, while there are
// slots and KV memory. The caller holds the lock.
func (e *Engine) admit() {
	for e.queue.Len() > 0 && e.running < e.Slots {
		first := e.queue[0]
		need := first.input + first.output
		if e.running > 0 && e.kvUsed+need > e.KVTokens {
			return
		}
		heap.Pop(&e.queue)
		e.running++
		e.kvUsed += need
		e.Truth.Add(first.event(truth.Started, 0))
		close(first.admitted)
	}
}

// finish removes a request from the batch.
func (e *Engine) finish(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.kvUsed -= j.input + j.output
	e.admit()
	e.recordReport()
}

// callerCheckInterval is the interval at which the connection of a waiting caller is checked.
const callerCheckInterval = 100 * time.Millisecond

// awaitSlot waits until the request is admitted to the batch. It returns false if the caller
// disconnected first.
func (e *Engine) awaitSlot(ctx *fasthttp.RequestCtx, j *job) bool {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-j.admitted:
			return true
		case <-ticker.C:
		}
		if !endpoint.IsOpen(ctx.Conn()) && e.removeQueued(j) {
			e.Truth.Add(j.event(truth.Cancelled, 0))
			return false
		}
	}
}

// removeQueued removes a request from the queue. It returns false if the request has already been
// admitted.
func (e *Engine) removeQueued(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.index < 0 {
		return false
	}
	heap.Remove(&e.queue, j.index)
	e.recordReport()
	return true
}

// prefixBytes is the length of the prefix by which the cache identifies prompts.
const prefixBytes = 512

// prefillDuration returns the time to process the part of the prompt that is not cached.
func (e *Engine) prefillDuration(j *job, prompt []byte) time.Duration {
	hash := fnv.New64a()
	hash.Write(prompt[:min(len(prompt), prefixBytes)])
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.use(hash.Sum64(), j.input, e.CacheTokens)
	seconds := float64(j.input-cached) / e.PrefillRate
	return e.scaled(time.Duration(seconds * float64(time.Second)))
}

// scaled multiplies a duration by the load of the batch and by the slowness. The caller holds the
// lock.
func (e *Engine) scaled(length time.Duration) time.Duration {
	factor := 1 + 0.5*float64(e.running)/float64(e.Slots)
	if e.slowness > 0 {
		factor *= e.slowness
	}
	return time.Duration(float64(length) * factor)
}

func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scaled(e.DecodeInterval)
}
