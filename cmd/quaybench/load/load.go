// Package load makes callers: open-loop arrivals drawn from a seed, and a
// record of what each caller got. Callers use the standard library's client,
// so that no fault of the router's own code can hide itself.
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

// Source is one customer's stream of requests.
type Source struct {
	Customer string
	// Share is the customer's weight.
	Share float64
	// Rate is the mean number of requests a second.
	Rate float64
	// Routers are the routers the customer's callers use, counted from 0;
	// empty means all.
	Routers []int
	// InputTokens and OutputTokens bound the sizes, drawn evenly.
	InputTokens  [2]int
	OutputTokens [2]int
	// HintFactor multiplies the true output into the limit that the caller
	// states; 0 means that none is stated.
	HintFactor float64
	// Class is named in the request; empty means that it is not.
	Class string
	// Plain sources call a plain service in place of a model.
	Plain bool
	// Keyed plain calls carry an idempotency key and must run at most once.
	Keyed bool
	// RepeatKeys is the part of keyed calls that use the key of an earlier one.
	RepeatKeys float64
	// From and Until bound the time of arrivals; Until 0 means the end.
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
	// Timeout is stated to the router; 0 means that none is.
	Timeout time.Duration
}

// Trace draws all arrivals of a run. The same seed gives the same trace.
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

// Record is what one caller saw.
type Record struct {
	Arrival
	// Sent, First and End are when the request was sent, its first token came,
	// and its answer ended. First is zero when none came.
	Sent  time.Time
	First time.Time
	End   time.Time
	// Status is that of the answer; 0 means that there was none.
	Status int
	// Run is the header Quaylead-Run.
	RunStatus string
	// Code is the code of a refusal.
	Code string
	// Tokens were received.
	Tokens int
	// Clean tells that the connection showed no break before the answer's end. A
	// clean answer that is not whole was passed off as whole.
	CleanEOF bool
	// Whole tells that it held everything that this request asked for.
	Whole bool
	// Crossed tells that it held something of another request.
	Crossed bool
	// Runs is how often a plain service says that it ran the call.
	Runs int
	// Fault is what went wrong at the caller's side.
	Error string
	// Gaps are the times between tokens.
	Gaps []time.Duration
}

// Runner sends a trace.
type Runner struct {
	// URLs are the routers' addresses.
	URLs []string
	// Key gives a customer's bearer key.
	Key func(customer string) string
	// Model is the model asked for.
	Model string
	// Path is the path of plain calls.
	Path string
	// Timeout bounds each request.
	Timeout time.Duration
	// Progress is called about every second.
	Progress func(at time.Duration, sent, ended int)

	client  http.Client
	mu      sync.Mutex
	records []Record
}

// Call makes one call at once and returns what the caller saw.
func (r *Runner) Call(ctx context.Context, arrival Arrival) Record {
	return r.send(ctx, arrival)
}

// Run sends every request at its time and returns what the callers saw.
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
