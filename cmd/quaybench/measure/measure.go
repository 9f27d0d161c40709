// Package measure computes the metrics of a run from the records of callers and
// the ground truth of the stand-ins, never from what routers report about
// themselves.
package measure

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/cmd/quaystand/truth"
)

// Input is the data of a run that the metrics are computed from.
type Input struct {
	Records []load.Record
	// Truth holds the events of all endpoints, in order of time.
	Truth []truth.Event
	// Shares holds the share of each customer.
	Shares map[string]float64
	// InputWeight and OutputWeight are the service that one token counts for.
	InputWeight  float64
	OutputWeight float64
	// Slots is the total number of slots of all engines.
	Slots int
	// From and Until bound the time that the metrics cover.
	From, Until time.Time
}

// Latency holds quantiles of a set of durations, in milliseconds.
type Latency struct {
	Count         int
	P50, P95, P99 float64
}

// Result holds the metrics of a run. It is written to result.json.
type Result struct {
	// FairnessGap is the largest difference of service divided by share, in
	// weighted tokens, over all intervals in which two customers were both
	// backlogged throughout. FairnessPair names the two.
	FairnessGap  float64
	FairnessPair [2]string
	// FairnessBound is the gap that a single queue guarantees for these request
	// sizes.
	FairnessBound float64
	// Utilisation is the fraction of slot time that was in use while any request
	// waited; WaitingSeconds is for how long any request waited.
	Utilisation    float64
	WaitingSeconds float64
	// ControlBytesPerSecond is the mean control traffic of a box, sent and
	// received.
	ControlBytesPerSecond float64
	// OverheadP50 and OverheadP99 are the latency that a router adds to a call to
	// a plain service, in milliseconds; 0 if the fleet has no plain service.
	OverheadP50, OverheadP99 float64
	// FirstToken and BetweenTokens are the time to the first token and the time
	// between two tokens, in milliseconds, by class.
	FirstToken    map[string]Latency
	BetweenTokens map[string]Latency
	// Refusals counts refusals by code.
	Refusals map[string]int
	// Requests counts the requests, Whole the complete responses, and VisiblyCut
	// the requests that got no response or a response that broke off with an
	// error.
	Requests   int
	Whole      int
	VisiblyCut int
	// TokensPerSecond is the output rate of all engines together.
	TokensPerSecond float64
	// Settings holds the metrics of operators; nil if there were none.
	Settings *Settings `json:",omitempty"`
	// Service is the service received, in weighted tokens, by customer.
	Service map[string]float64

	// The following counts must be zero.

	// DoubleRuns counts the repeated runs of calls that must run at most once.
	DoubleRuns int
	// FalseNotRun counts refusals that reported not-run though the request ran.
	FalseNotRun int
	// CutAnswers counts incomplete responses that ended without an error.
	CutAnswers int
	// CrossedAnswers counts responses that held data of another request.
	CrossedAnswers int
	// StarvedCustomers counts customers whose requests waited for
	// StarvationThreshold without any service.
	StarvedCustomers int
}

// Settings holds the metrics of operators that concurrently change the settings.
type Settings struct {
	// Acceptances, Conflicts and Unknown count the outcomes of changes, as
	// reported to the operators.
	Acceptances int
	Conflicts   int
	Unknown     int
	// InForceP50 and InForceP99 are the times until an accepted change is in
	// force at a router, in milliseconds. They count from the acceptance, or
	// from the time at which the router became reachable again.
	InForceP50, InForceP99 float64

	// The following counts must be zero.

	// LostAcceptances counts changes that were reported as accepted but are not
	// in the history.
	LostAcceptances int
	// DoubleAcceptances counts the changes that were reported as accepted with
	// the revision of another accepted change.
	DoubleAcceptances int
	// Reverts counts how often a router went back to a lower revision.
	Reverts int
}

// StarvationThreshold is the time for which a customer's requests wait without
// any service before the customer counts as starved.
const StarvationThreshold = 10 * time.Second

// stepInterval is the length of one step of the service curves.
const stepInterval = 50 * time.Millisecond

// Passed reports whether every count that must be zero is zero.
func (r *Result) Passed() bool {
	count := r.DoubleRuns + r.FalseNotRun + r.CutAnswers + r.CrossedAnswers + r.StarvedCustomers
	if r.Settings != nil {
		count += r.Settings.LostAcceptances + r.Settings.DoubleAcceptances + r.Settings.Reverts
	}
	return count == 0
}

// engineRun is one run of a request at an engine, from the ground truth.
type engineRun struct {
	started, first, end time.Time
	input, output       int
}

// Compute computes all metrics but those of control traffic, overhead and
// settings.
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
	curves := newServiceCurves(&in, runs)
	curves.computeFairness(&result)
	curves.computeUtilisation(&result)
	curves.countStarved(&result)
	curves.computeThroughput(&result, runs)
	result.FairnessBound = fairnessBound(&in)
	return result
}

// collectRuns returns the runs of each request, by request ID. Runs that did not
// end within the ground truth end at until.
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
		case record.Complete:
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

// countDoubleRuns counts the repeated runs of calls with an idempotency key.
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

// Quantiles returns the quantiles of durations.
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

// fairnessBound returns the bound for a single queue: twice the service of the
// longest prompt or of a full batch of the longest outputs, whichever is larger.
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

// serviceCurves holds the service and the waiting requests of each customer over
// time, in steps of stepInterval.
type serviceCurves struct {
	in        *Input
	customers []string
	// service is the service received up to each step, in weighted tokens.
	service map[string][]float64
	// waiting is the number of requests that wait throughout each step.
	waiting map[string][]int
	// busy is the mean number of slots in use in each step.
	busy  []float64
	steps int
}

func newServiceCurves(in *Input, runs map[string][]engineRun) *serviceCurves {
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

// addRequest adds one request to the curves. The service is added to each step as
// an increment, to be accumulated later. Input counts at the first token, output
// is spread evenly from the first token to the end.
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

// forEachStep calls visit for each step between from and until, with the fraction
// of the step that lies between them.
func (c *serviceCurves) forEachStep(from, until time.Time, visit func(step int, fraction float64)) {
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

// computeFairness sets the service of each customer and the largest gap of all
// pairs.
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

// pairGap returns the largest range of the difference between two curves, divided
// by share, within any interval in which both customers were backlogged throughout.
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

// computeUtilisation sets the utilisation of the slots while any request waits.
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

// computeThroughput sets the output rate of all engines over the time that the
// metrics cover.
func (c *serviceCurves) computeThroughput(result *Result, runs map[string][]engineRun) {
	tokens := 0
	for _, requestRuns := range runs {
		for _, r := range requestRuns {
			tokens += r.output
		}
	}
	result.TokensPerSecond = float64(tokens) / c.in.Until.Sub(c.in.From).Seconds()
}

// countStarved counts the customers that waited for StarvationThreshold without
// any service.
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
