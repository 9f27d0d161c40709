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
const StarvationThreshold = 10 * time.Second

// grid is the step at which service curves are compared.
const stepInterval = 50 * time.Millisecond

// Zero tells whether every count that must be zero is.
func (r *Result) Passed() bool {
	count := r.DoubleRuns + r.FalseNotRun + r.CutAnswers + r.CrossedAnswers + r.StarvedCustomers
	if r.Settings != nil {
		count += r.Settings.LostAcceptances + r.Settings.DoubleAcceptances + r.Settings.Reverts
	}
	return count == 0
}

// run is one request's time at an engine, from the ground truth.
type engineRun struct {
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
	countResponses(&result, &in, runs)
	countDoubleRuns(&result, &in)
	computeLatencies(&result, &in)
	curves := newCurves(&in, runs)
	curves.computeFairness(&result)
	curves.computeUtilisation(&result)
	curves.countStarved(&result)
	curves.computeThroughput(&result, runs)
	result.FairnessBound = fairnessBound(&in)
	return result
}

// collectRuns gathers every run of every request.
func collectRuns(events []truth.Event, until time.Time) map[string][]engineRun {
	runs := map[string][]engineRun{}
	for _, event := range events {
		requestRuns := runs[event.Request]
		switch event.Kind {
		case truth.Started:
			runs[event.Request] = append(requestRuns, engineRun{started: event.At, end: until, input: event.Input})
		case truth.First:
			requestRuns[len(requestRuns)-1].first = event.At
		case truth.Finished, truth.Cancelled:
			if len(requestRuns) > 0 {
				requestRuns[len(requestRuns)-1].end = event.At
				requestRuns[len(requestRuns)-1].output = event.Output
			}
		}
	}
	return runs
}

func countResponses(result *Result, in *Input, runs map[string][]engineRun) {
	for _, record := range in.Records {
		result.Requests++
		switch {
		case record.Crossed:
			result.CrossedAnswers++
		case record.Whole:
			result.Whole++
		case record.Status == 200 && record.CleanEOF:
			result.CutAnswers++
		case record.Status == 0 || record.Status == 200:
			result.VisiblyCut++
		}
		if record.Code != "" {
			result.Refusals[record.Code]++
		}
		if record.RunStatus == "not-run" && len(runs[record.ID]) > 0 {
			result.FalseNotRun++
		}
	}
}

// countRuns counts calls with a key that were run more than once.
func countDoubleRuns(result *Result, in *Input) {
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

func computeLatencies(result *Result, in *Input) {
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
func fairnessBound(in *Input) float64 {
	maxInput, maxOutput := 0, 0
	for _, record := range in.Records {
		if record.Source.Plain {
			continue
		}
		maxInput = max(maxInput, record.Input)
		maxOutput = max(maxOutput, record.Output)
	}
	batch := float64(in.Slots * maxOutput)
	return 2 * math.Max(in.InputWeight*float64(maxInput), in.OutputWeight*batch)
}

// curves are service and waiting of each customer over time, on the grid.
type serviceCurves struct {
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

func newCurves(in *Input, runs map[string][]engineRun) *serviceCurves {
	c := &serviceCurves{
		in:      in,
		service: map[string][]float64{},
		waiting: map[string][]int{},
		steps:   int(in.Until.Sub(in.From)/stepInterval) + 1,
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
			c.addRequest(&record, runs[record.ID])
		}
	}
	for _, customer := range c.customers {
		accumulate(c.service[customer])
	}
	return c
}

// add puts one request into the curves: service as increments for each step.
func (c *serviceCurves) addRequest(record *load.Record, runs []engineRun) {
	customer := record.Source.Customer
	waitsUntil := record.End
	for _, r := range runs {
		if r.started.Before(waitsUntil) {
			waitsUntil = r.started
		}
		c.forEachStep(r.started, r.end, func(step int, fraction float64) { c.busy[step] += fraction })
		if r.first.IsZero() {
			continue
		}
		c.addService(customer, r.first, c.in.InputWeight*float64(r.input))
		total := c.in.OutputWeight * float64(r.output)
		length := float64(r.end.Sub(r.first))
		c.forEachStep(r.first, r.end, func(step int, fraction float64) {
			c.service[customer][step] += total * fraction * float64(stepInterval) / length
		})
	}
	c.forEachStep(record.Sent, waitsUntil, func(step int, fraction float64) {
		if fraction == 1 {
			c.waiting[customer][step]++
		}
	})
}

func (c *serviceCurves) addService(customer string, at time.Time, service float64) {
	step := int(at.Sub(c.in.From) / stepInterval)
	if step >= 0 && step < c.steps {
		c.service[customer][step] += service
	}
}

// eachStep visits the steps of a time with the part of each that it covers.
func (c *serviceCurves) forEachStep(from, until time.Time, visit func(step int, part float64)) {
	begin := float64(from.Sub(c.in.From)) / float64(stepInterval)
	end := float64(until.Sub(c.in.From)) / float64(stepInterval)
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
func (c *serviceCurves) computeFairness(result *Result) {
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
func (c *serviceCurves) pairGap(a, b string) (gap float64) {
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
func (c *serviceCurves) computeUtilisation(result *Result) {
	used, available := 0.0, 0.0
	for step := range c.steps {
		if !c.isAnyWaiting(step) {
			continue
		}
		used += math.Min(c.busy[step], float64(c.in.Slots))
		available += float64(c.in.Slots)
	}
	if available > 0 {
		result.Utilisation = used / available
	}
	result.WaitingSeconds = available / float64(c.in.Slots) * stepInterval.Seconds()
}

func (c *serviceCurves) isAnyWaiting(step int) bool {
	for _, customer := range c.customers {
		if c.waiting[customer][step] > 0 {
			return true
		}
	}
	return false
}

// throughput is the output of all engines over the time that is judged.
func (c *serviceCurves) computeThroughput(result *Result, runs map[string][]engineRun) {
	tokens := 0
	for _, requestRuns := range runs {
		for _, r := range requestRuns {
			tokens += r.output
		}
	}
	result.TokensPerSecond = float64(tokens) / c.in.Until.Sub(c.in.From).Seconds()
}

// starved counts customers that waited long without any service.
func (c *serviceCurves) countStarved(result *Result) {
	limit := int(StarvationThreshold / stepInterval)
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
