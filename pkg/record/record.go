// Package record holds the metrics of one process: a histogram for each
// customer and class, and counters, published through expvar.
package record

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of the histograms: a tenth of a millisecond to ten
// minutes, two significant digits. A histogram takes about 16 KB; only pairs of
// customer and class that occur have one.
const (
	resolution        = 100 * time.Microsecond
	maxValue          = int64(10 * time.Minute / resolution)
	significantDigits = 2
)

// Key identifies a histogram.
type Key struct {
	Customer string
	Class    string
}

// Summary is a histogram as it is published.
type Summary struct {
	Count         int64
	P50, P95, P99 time.Duration
	Max           time.Duration
}

// Latencies holds histograms by customer and class. It is safe for concurrent use.
type Latencies struct {
	mu         sync.Mutex
	histograms map[Key]*hdrhistogram.Histogram
}

// Add records one latency.
func (l *Latencies) Add(key Key, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histograms == nil {
		l.histograms = map[Key]*hdrhistogram.Histogram{}
	}
	histogram := l.histograms[key]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxValue, significantDigits)
		l.histograms[key] = histogram
	}
	value := min(max(int64(latency/resolution), 1), maxValue)
	// The value is within the range, so recording it cannot fail.
	_ = histogram.RecordValue(value)
}

// Summaries returns a summary of each histogram, by "customer/class".
func (l *Latencies) Summaries() map[string]Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	summaries := make(map[string]Summary, len(l.histograms))
	for key, histogram := range l.histograms {
		summaries[key.Customer+"/"+key.Class] = Summary{
			Count: histogram.TotalCount(),
			P50:   time.Duration(histogram.ValueAtQuantile(50)) * resolution,
			P95:   time.Duration(histogram.ValueAtQuantile(95)) * resolution,
			P99:   time.Duration(histogram.ValueAtQuantile(99)) * resolution,
			Max:   time.Duration(histogram.Max()) * resolution,
		}
	}
	return summaries
}

// Metrics are the metrics that one router publishes.
type Metrics struct {
	// FirstToken is the time from a request's arrival to its first token.
	FirstToken Latencies
	// Total is the time from a request's arrival to the end of its complete
	// response.
	Total Latencies
	// Refusals counts refusals by code.
	Refusals expvar.Map
	// Answers counts complete responses by pool.
	Answers expvar.Map
	// Cut counts responses that broke off, visibly to the caller, by pool.
	Cut expvar.Map
	// Retries counts attempts after the first, by pool.
	Retries expvar.Map
}

// Publish registers the metrics under their expvar names. It may be called once in a
// process.
func (m *Metrics) Publish() {
	expvar.Publish("FirstToken", expvar.Func(func() any { return m.FirstToken.Summaries() }))
	expvar.Publish("Total", expvar.Func(func() any { return m.Total.Summaries() }))
	expvar.Publish("Refusals", &m.Refusals)
	expvar.Publish("Answers", &m.Answers)
	expvar.Publish("Cut", &m.Cut)
	expvar.Publish("Retries", &m.Retries)
}
