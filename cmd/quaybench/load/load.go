// Package load generates load: open-loop arrivals drawn from a seed, and a record
// of the response to each request. Callers use the HTTP client of the standard
// library. It shares no code with the router, so a fault of the router's HTTP
// code cannot be hidden by the same fault in the caller.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Source describes the requests of one customer.
type Source struct {
	Customer string
	// Share is the customer's weight.
	Share float64
	// Rate is the mean number of requests per second.
	Rate float64
	// Routers are the indexes of the routers that the callers use, counted from
	// 0; empty means all.
	Routers []int
	// InputTokens and OutputTokens are the bounds of the sizes, which are drawn
	// from a uniform distribution.
	InputTokens  [2]int
	OutputTokens [2]int
	// HintFactor, times the true output length, is the max_tokens of a request.
	// It is never below the true length; with 0 the request has no max_tokens.
	HintFactor float64
	// Class is the class that the request names; empty means none.
	Class string
	// Plain sources call a plain service instead of a model.
	Plain bool
	// Keyed plain calls have an idempotency key and must run at most once.
	Keyed bool
	// RepeatKeys is the fraction of keyed calls that use the key of an earlier
	// call.
	RepeatKeys float64
	// From and Until bound the time of arrivals; Until 0 means the end of the
	// run.
	From  settings.Duration
	Until settings.Duration
}

// Arrival is one request of the trace.
type Arrival struct {
	At     time.Duration
	ID     string
	Key    string
	Router int
	Input  int
	Output int
	Source *Source
	// Timeout is sent to the router in a header; 0 means none.
	Timeout time.Duration
}

// Trace draws the arrivals of a run, sorted by time. The same arguments give the
// same trace.
func Trace(sources []Source, routers int, length time.Duration, seed uint64) []Arrival {
	var trace []Arrival
	for i := range sources {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		trace = append(trace, sourceTrace(&sources[i], i, routers, length, random)...)
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].At < trace[j].At })
	return trace
}

func sourceTrace(source *Source, number, routers int, length time.Duration, random *rand.Rand) []Arrival {
	var trace []Arrival
	var keys []string
	until := length
	if source.Until.Duration > 0 {
		until = min(until, source.Until.Duration)
	}
	at := source.From.Duration
	for {
		at += time.Duration(random.ExpFloat64() / source.Rate * float64(time.Second))
		if at >= until {
			return trace
		}
		arrival := Arrival{
			At:     at,
			ID:     fmt.Sprintf("%s-%d-%d", source.Customer, number, len(trace)),
			Router: pickRouter(source, routers, random),
			Input:  randomBetween(source.InputTokens, random),
			Output: randomBetween(source.OutputTokens, random),
			Source: source,
		}
		if source.Keyed {
			arrival.Key = pickKey(source, arrival.ID, keys, random)
			keys = append(keys, arrival.Key)
		}
		trace = append(trace, arrival)
	}
}

func pickRouter(source *Source, routers int, random *rand.Rand) int {
	if len(source.Routers) == 0 {
		return random.IntN(routers)
	}
	return source.Routers[random.IntN(len(source.Routers))] % routers
}

func pickKey(source *Source, id string, keys []string, random *rand.Rand) string {
	if len(keys) > 0 && random.Float64() < source.RepeatKeys {
		return keys[random.IntN(len(keys))]
	}
	return "key-" + id
}

func randomBetween(bounds [2]int, random *rand.Rand) int {
	low := max(1, bounds[0])
	return low + random.IntN(max(1, bounds[1]-low+1))
}

// Record is one request and its response as the caller saw them.
type Record struct {
	Arrival
	// Sent, First and End are the times at which the request was sent, its first
	// token was received, and its response ended. First is zero if no token was
	// received. For a plain call it is the time of the whole response.
	Sent  time.Time
	First time.Time
	End   time.Time
	// Status is the HTTP status; 0 means no response.
	Status int
	// RunStatus is the value of the header Quaylead-Run.
	RunStatus string
	// Code is the error code of a refusal.
	Code string
	// Tokens is the number of tokens received.
	Tokens int
	// CleanEOF reports whether the response body ended without an error. If it
	// did and Complete is false, the caller could mistake a partial response
	// for a complete one.
	CleanEOF bool
	// Complete reports whether the response was complete.
	Complete bool
	// Crossed reports whether the response held data of another request.
	Crossed bool
	// Runs is how often the call ran, as reported by the plain service.
	Runs int
	// Error is the error that the caller got, or the reason why the response
	// could not be parsed.
	Error string
	// Gaps are the times between consecutive tokens.
	Gaps []time.Duration
}

// Runner sends requests to routers.
type Runner struct {
	// URLs are the base URLs of the routers.
	URLs []string
	// Key returns the bearer key of a customer.
	Key func(customer string) string
	// Model is the model that requests name.
	Model string
	// Path is the path of plain calls.
	Path string
	// Timeout bounds each request, at the caller.
	Timeout time.Duration
	// Progress, if not nil, is called about every second.
	Progress func(at time.Duration, sent, ended int)

	client  http.Client
	mu      sync.Mutex
	records []Record
}

// Call sends one request at once and returns its record.
func (r *Runner) Call(ctx context.Context, arrival Arrival) Record {
	return r.send(ctx, arrival)
}

// Run sends every request of the trace at its time and returns the records, in
// the order in which the requests ended.
func (r *Runner) Run(ctx context.Context, trace []Arrival) (records []Record, err error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r.client.Transport = transport
	group, ctx := errgroup.WithContext(ctx)
	start := time.Now()
	lastProgress := start
	for i, arrival := range trace {
		if err := interval.Wait(ctx, time.Until(start.Add(arrival.At))); err != nil {
			break
		}
		group.Go(func() error {
			r.addRecord(r.send(ctx, arrival))
			return nil
		})
		if r.Progress != nil && time.Since(lastProgress) >= time.Second {
			lastProgress = time.Now()
			r.Progress(time.Since(start), i+1, r.countEnded())
		}
	}
	err = group.Wait()
	return r.records, err
}

func (r *Runner) addRecord(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
}

func (r *Runner) countEnded() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
