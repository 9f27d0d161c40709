// Package measure computes the measures of a run from what callers saw and
// from the stand-ins' ground truth, never from what a router says of itself.
package measure

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/cmd/quaystand/truth"
)

// Input is what a run left behind.
type Input struct {
	Records []load.Record
	// Truth is the events of all endpoints.
	Truth []truth.Event
	// Shares are the customers' weights.
	Shares map[string]float64
	// InputWeight and OutputWeight turn tokens into service.
	InputWeight  float64
	OutputWeight float64
	// Slots is the number of slots of all engines together.
	Slots int
	// From and Until bound the time that is judged.
	From, Until time.Time
}

// Latency is the quantiles of a set of durations, in milliseconds.
type Latency struct {
	Count         int
	P50, P95, P99 float64
}

// Result is what result.json holds.
type Result struct {
	// FairnessGap is the largest difference of service divided by share, in
	// weighted tokens, over all intervals in which two customers were both
	// backlogged throughout. FairnessPair names the two.
	FairnessGap  float64
	FairnessPair [2]string
	// FairnessBound is what a single queue guarantees for these request sizes.
	FairnessBound float64
	// Utilisation is busy slot-time over available slot-time while any request
	// waited; WaitingSeconds is how long that was.
	Utilisation    float64
	WaitingSeconds float64
	// ControlBytesPerSecond is the mean for one box, sent and received.
	ControlBytesPerSecond float64
	// OverheadP50 and OverheadP99 are what a router adds to a call to a plain
	// service, in milliseconds; 0 when the fleet has no plain service.
	OverheadP50, OverheadP99 float64
	// FirstToken and BetweenTokens are in milliseconds, by class.
	FirstToken    map[string]Latency
	BetweenTokens map[string]Latency
	// Refusals counts refusals by code.
	Refusals map[string]int
	// Requests, Whole and VisiblyCut count callers' requests, the answers that
	// came whole, and those that ended visibly cut or not at all.
	Requests   int
	Whole      int
	VisiblyCut int
	// TokensPerSecond is the output of all engines.
	TokensPerSecond float64
	// Settings judges operators who raced; nil when there were none.
	Settings *Settings `json:",omitempty"`
	// Service is weighted tokens by customer.
	Service map[string]float64

	// The counts that must be zero.

	// DoubleRuns counts calls that had to run at most once and ran again.
	DoubleRuns int
	// FalseNotRun counts refusals that said not-run of a request that was run.
	FalseNotRun int
	// CutAnswers counts answers that ended cleanly without being whole.
	CutAnswers int
	// CrossedAnswers counts answers with something of another request.
	CrossedAnswers int
	// StarvedCustomers counts customers who waited for StarvedAfter without
	// any service while others had some.
	StarvedCustomers int
}

// Settings is the verdict on operators who race to change the settings.
type Settings struct {
	// Acceptances, Conflicts and Unknown count what operators were told.
	Acceptances int
	Conflicts   int
	Unknown     int
	// InForceP50 and InForceP99 are the times from acceptance, or from when a
	// router could be reached again, to being in force there, in milliseconds.
	InForceP50, InForceP99 float64

	// The counts that must be zero.

	// LostAcceptances counts changes that an operator was told are accepted and
	// that the history does not hold.
	LostAcceptances int
	// DoubleAcceptances counts revisions that two operators were told they have.
	DoubleAcceptances int
	// Reverts counts routers going back to a lower revision.
	Reverts int
}

// StarvedAfter is the wait without any service that counts as starving.
const StarvedAfter = 10 * time.Second

// grid is the step at which service curves are compared.
const grid = 50 * time.Millisecond

// Zero tells whether every count that must be zero is.
func (r *Result) Zero() bool {
	count := r.DoubleRuns + r.FalseNotRun + r.CutAnswers + r.CrossedAnswers + r.StarvedCustomers
	if r.Settings != nil {
		count += r.Settings.LostAcceptances + r.Settings.DoubleAcceptances + r.Settings.Reverts
	}
	return count == 0
}

// run is one request's time at an engine, from the ground truth.
type run struct {
	started, first, end time.Time
	input, output       int
}

// Compute computes all measures but those of control traffic.
func Compute(in Input) Result {
	result := Result{
		FirstToken:    map[string]Latency{},
		BetweenTokens: map[string]Latency{},
		Refusals:      map[string]int{},
		Service:       map[string]float64{},
	}
	runs := collectRuns(in.Truth, in.Until)
	countAnswers(&result, &in, runs)
	countRuns(&result, &in)
	latencies(&result, &in)
	curves := newCurves(&in, runs)
	curves.fairness(&result)
	curves.utilisation(&result)
	curves.starved(&result)
	curves.throughput(&result, runs)
	result.FairnessBound = bound(&in)
	return result
}

// collectRuns gathers every run of every request.
func collectRuns(events []truth.Event, until time.Time) map[string][]run {
	runs := map[string][]run{}
	for _, event := range events {
		all := runs[event.Request]
		switch event.Kind {
		case truth.Started:
			runs[event.Request] = append(all, run{started: event.At, end: until, input: event.Input})
		case truth.First:
			all[len(all)-1].first = event.At
		case truth.Finished, truth.Cancelled:
			if len(all) > 0 {
				all[len(all)-1].end = event.At
				all[len(all)-1].output = event.Output
			}
		}
	}
	return runs
}

func countAnswers(result *Result, in *Input, runs map[string][]run) {
	for _, record := range in.Records {
		result.Requests++
		switch {
		case record.Crossed:
			result.CrossedAnswers++
		case record.Whole:
			result.Whole++
		case record.Status == 200 && record.Clean:
			result.CutAnswers++
		case record.Status == 0 || record.Status == 200:
			result.VisiblyCut++
		}
		if record.Code != "" {
			result.Refusals[record.Code]++
		}
		if record.Run == "not-run" && len(runs[record.ID]) > 0 {
			result.FalseNotRun++
		}
	}
}

// countRuns counts calls with a key that were run more than once.
func countRuns(result *Result, in *Input) {
	byKey := map[string]int{}
	for _, event := range in.Truth {
		if event.Kind == truth.Started && event.Key != "" {
			byKey[event.Customer+"/"+event.Key]++
		}
	}
	for _, runs := range byKey {
		result.DoubleRuns += runs - 1
	}
}

func latencies(result *Result, in *Input) {
	first := map[string][]time.Duration{}
	between := map[string][]time.Duration{}
	for _, record := range in.Records {
		if record.First.IsZero() {
			continue
		}
		class := record.Source.Class
		if class == "" {
			class = "default"
		}
		if record.Source.Plain {
			class = "plain"
		}
		first[class] = append(first[class], record.First.Sub(record.Sent))
		between[class] = append(between[class], record.Gaps...)
	}
	for class := range first {
		result.FirstToken[class] = Quantiles(first[class])
		result.BetweenTokens[class] = Quantiles(between[class])
	}
}

// Quantiles summarises durations.
func Quantiles(durations []time.Duration) Latency {
	if len(durations) == 0 {
		return Latency{}
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	at := func(q float64) float64 {
		index := int(math.Ceil(q*float64(len(sorted)))) - 1
		return float64(sorted[max(0, index)]) / float64(time.Millisecond)
	}
	return Latency{Count: len(sorted), P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

// bound is that of a single queue: twice the larger of the longest prompt and
// a whole batch of answers.
func bound(in *Input) float64 {
	longest, largest := 0, 0
	for _, record := range in.Records {
		if record.Source.Plain {
			continue
		}
		longest = max(longest, record.Input)
		largest = max(largest, record.Output)
	}
	batch := float64(in.Slots * largest)
	return 2 * math.Max(in.InputWeight*float64(longest), in.OutputWeight*batch)
}

// curves are service and waiting of each customer over time, on the grid.
type curves struct {
	in        *Input
	customers []string
	// service is weighted tokens up to each step.
	service map[string][]float64
	// waiting is the number of requests waiting at each step.
	waiting map[string][]int
	// busy is the number of slots in use at each step.
	busy  []float64
	steps int
}

func newCurves(in *Input, runs map[string][]run) *curves {
	c := &curves{
		in:      in,
		service: map[string][]float64{},
		waiting: map[string][]int{},
		steps:   int(in.Until.Sub(in.From)/grid) + 1,
	}
	c.busy = make([]float64, c.steps)
	for customer := range in.Shares {
		c.customers = append(c.customers, customer)
		c.service[customer] = make([]float64, c.steps)
		c.waiting[customer] = make([]int, c.steps)
	}
	sort.Strings(c.customers)
	for _, record := range in.Records {
		if !record.Source.Plain {
			c.add(&record, runs[record.ID])
		}
	}
	for _, customer := range c.customers {
		accumulate(c.service[customer])
	}
	return c
}

// add puts one request into the curves: service as increments for each step.
func (c *curves) add(record *load.Record, runs []run) {
	customer := record.Source.Customer
	waitsUntil := record.End
	for _, r := range runs {
		if r.started.Before(waitsUntil) {
			waitsUntil = r.started
		}
		c.eachStep(r.started, r.end, func(step int, part float64) { c.busy[step] += part })
		if r.first.IsZero() {
			continue
		}
		c.increment(customer, r.first, c.in.InputWeight*float64(r.input))
		total := c.in.OutputWeight * float64(r.output)
		length := float64(r.end.Sub(r.first))
		c.eachStep(r.first, r.end, func(step int, part float64) {
			c.service[customer][step] += total * part * float64(grid) / length
		})
	}
	c.eachStep(record.Sent, waitsUntil, func(step int, part float64) {
		if part == 1 {
			c.waiting[customer][step]++
		}
	})
}

func (c *curves) increment(customer string, at time.Time, service float64) {
	step := int(at.Sub(c.in.From) / grid)
	if step >= 0 && step < c.steps {
		c.service[customer][step] += service
	}
}

// eachStep visits the steps of a time with the part of each that it covers.
func (c *curves) eachStep(from, until time.Time, visit func(step int, part float64)) {
	begin := float64(from.Sub(c.in.From)) / float64(grid)
	end := float64(until.Sub(c.in.From)) / float64(grid)
	for step := max(0, int(begin)); step < c.steps && float64(step) < end; step++ {
		low := math.Max(begin, float64(step))
		high := math.Min(end, float64(step+1))
		if high > low {
			visit(step, high-low)
		}
	}
}

func accumulate(values []float64) {
	for i := 1; i < len(values); i++ {
		values[i] += values[i-1]
	}
}

// fairness finds the largest gap over all pairs.
func (c *curves) fairness(result *Result) {
	for _, customer := range c.customers {
		result.Service[customer] = c.service[customer][c.steps-1]
	}
	for i, a := range c.customers {
		for _, b := range c.customers[i+1:] {
			if gap := c.pairGap(a, b); gap > result.FairnessGap {
				result.FairnessGap = gap
				result.FairnessPair = [2]string{a, b}
			}
		}
	}
}

// pairGap is the widest range of the difference of two curves within any
// interval in which both customers waited throughout.
func (c *curves) pairGap(a, b string) (gap float64) {
	low, high := math.Inf(1), math.Inf(-1)
	for step := range c.steps {
		if c.waiting[a][step] == 0 || c.waiting[b][step] == 0 {
			low, high = math.Inf(1), math.Inf(-1)
			continue
		}
		difference := c.service[a][step]/c.in.Shares[a] - c.service[b][step]/c.in.Shares[b]
		low = math.Min(low, difference)
		high = math.Max(high, difference)
		gap = math.Max(gap, high-low)
	}
	return gap
}

// utilisation counts busy slot-time while anything waits.
func (c *curves) utilisation(result *Result) {
	used, available := 0.0, 0.0
	for step := range c.steps {
		if !c.anyWaiting(step) {
			continue
		}
		used += math.Min(c.busy[step], float64(c.in.Slots))
		available += float64(c.in.Slots)
	}
	if available > 0 {
		result.Utilisation = used / available
	}
	result.WaitingSeconds = available / float64(c.in.Slots) * grid.Seconds()
}

func (c *curves) anyWaiting(step int) bool {
	for _, customer := range c.customers {
		if c.waiting[customer][step] > 0 {
			return true
		}
	}
	return false
}

// throughput is the output of all engines over the time that is judged.
func (c *curves) throughput(result *Result, runs map[string][]run) {
	tokens := 0
	for _, all := range runs {
		for _, r := range all {
			tokens += r.output
		}
	}
	result.TokensPerSecond = float64(tokens) / c.in.Until.Sub(c.in.From).Seconds()
}

// starved counts customers that waited long without any service.
func (c *curves) starved(result *Result) {
	limit := int(StarvedAfter / grid)
	for _, customer := range c.customers {
		since := 0
		for step := 1; step < c.steps; step++ {
			served := c.service[customer][step] > c.service[customer][step-1]
			if c.waiting[customer][step] == 0 || served {
				since = step
			}
			if step-since >= limit {
				result.StarvedCustomers++
				break
			}
		}
	}
}
