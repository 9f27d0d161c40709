// Package experiment runs a fleet under load and scheduled faults, and computes
// the metrics.
package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/cmd/quaybench/measure"
	"github.com/quaylead/quaylead/cmd/quaystand/truth"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Experiment describes a run. The files in _fixtures/experiments hold
// experiments as TOML.
type Experiment struct {
	// Title describes the experiment in one line.
	Title string
	// Length is the time during which requests arrive. Requests that are in
	// flight at its end are waited for.
	Length settings.Duration
	// Timeout is the caller's timeout of each request.
	Timeout settings.Duration
	Fleet   fleet.Plan
	Sources []load.Source
	Faults  []Step
	// Operators change the settings during the run.
	Operators Operators
	// JudgeFrom and JudgeUntil bound the time that the metrics cover, counted
	// from the start of the run. JudgeUntil 0 means the end of the run.
	JudgeFrom  settings.Duration
	JudgeUntil settings.Duration
}

// Run is one run of an experiment.
type Run struct {
	Experiment Experiment
	Seed       uint64
	// Bin is the folder of the programs. Settings, logs and results are
	// written to Dir.
	Bin string
	Dir string
	// Progress receives progress lines; nil means none.
	Progress io.Writer
}

// Default returns the values of an experiment that its file can override.
func Default() Experiment {
	return Experiment{
		Length:  settings.Duration{Duration: 20 * time.Second},
		Timeout: settings.Duration{Duration: 60 * time.Second},
		Fleet: fleet.Plan{
			Routers:        9,
			Engines:        9,
			Services:       3,
			Slots:          8,
			DecodeInterval: settings.Duration{Duration: 10 * time.Millisecond},
			PrefillRate:    20000,
			ServiceLatency: settings.Duration{Duration: 5 * time.Millisecond},
			ListLag:        settings.Duration{Duration: 5 * time.Second},
		},
	}
}

// Load reads an experiment's file.
func Load(path string) (e Experiment, err error) {
	defer func() { err = trace.Wrap(err, "loading experiment %s", path) }()
	e = Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return e, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return e, decoder.Decode(&e)
}

// Shares returns the share of each customer, which is 1 if its source states none.
func (e *Experiment) Shares() map[string]float64 {
	shares := map[string]float64{}
	for _, source := range e.Sources {
		share := source.Share
		if share == 0 {
			share = 1
		}
		shares[source.Customer] = share
	}
	return shares
}

// customers returns the settings of all customers that the sources name. They
// are those of the plan, if it has any, with the share of the source.
func (e *Experiment) customers() map[string]settings.Customer {
	customers := map[string]settings.Customer{}
	for name, share := range e.Shares() {
		customer := e.Fleet.Customers[name]
		customer.Share = share
		customers[name] = customer
	}
	return customers
}

// Do starts the fleet, runs the load and the faults, and writes the metrics and a
// plot to Dir.
func (r *Run) Do(ctx context.Context) (result measure.Result, err error) {
	defer func() { err = trace.Wrap(err, "running experiment %q", r.Experiment.Title) }()
	plan := r.Experiment.Fleet
	plan.Customers = r.Experiment.customers()
	plan.Proxied = plan.Proxied || len(r.Experiment.Faults) > 0
	f := &fleet.Fleet{Plan: plan, Bin: r.Bin, Dir: filepath.Join(r.Dir, "fleet")}
	if err := f.Start(ctx); err != nil {
		return result, err
	}
	defer f.Stop()
	overheadP50, overheadP99, err := measureOverhead(ctx, f, r.Experiment.Sources[0].Customer)
	if err != nil {
		return result, err
	}
	meter := controlMeter{fleet: f}
	if err := meter.start(); err != nil {
		return result, err
	}
	start := time.Now()
	operators, err := newOperatorRace(f, r.Experiment.Operators)
	if err != nil {
		return result, err
	}
	records, err := r.runLoad(ctx, f, operators)
	if err != nil {
		return result, err
	}
	perSecond, err := meter.bytesPerSecond()
	if err != nil {
		return result, err
	}
	events, err := f.Truth()
	if err != nil {
		return result, err
	}
	input := r.measureInput(start, records, events)
	result = measure.Compute(input)
	result.ControlBytesPerSecond = perSecond
	if r.Experiment.Operators.Count > 0 {
		outcome, err := operators.evaluate()
		if err != nil {
			return result, err
		}
		result.Settings = &outcome
	}
	result.OverheadP50, result.OverheadP99 = overheadP50, overheadP99
	if err := measure.Plot(input, filepath.Join(r.Dir, "service.svg")); err != nil {
		return result, err
	}
	return result, r.writeResult(result)
}

// runLoad sends the trace while the scheduled faults and the operators run.
func (r *Run) runLoad(ctx context.Context, f *fleet.Fleet, operators *operatorRace) (records []load.Record, err error) {
	runner := f.Caller(r.Experiment.Timeout.Duration)
	runner.Progress = r.printProgress
	arrivals := load.Trace(r.Experiment.Sources, len(f.Routers), r.Experiment.Length.Duration, r.Seed)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runSchedule(ctx, f, r.Experiment.Faults) })
	if operators.plan.Count > 0 {
		group.Go(func() error {
			operatorCtx, stop := context.WithTimeout(ctx, r.Experiment.Length.Duration)
			defer stop()
			return operators.run(operatorCtx, r.Seed)
		})
	}
	group.Go(func() (err error) {
		records, err = runner.Run(ctx, arrivals)
		return err
	})
	return records, group.Wait()
}

func (r *Run) printProgress(at time.Duration, sent, ended int) {
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, "%s: %5.1fs, %d sent, %d in flight\n",
			r.Experiment.Title, at.Seconds(), sent, sent-ended)
	}
}

func (r *Run) measureInput(start time.Time, records []load.Record, events []truth.Event) measure.Input {
	e := &r.Experiment
	until := start.Add(e.JudgeUntil.Duration)
	if e.JudgeUntil.Duration == 0 {
		for _, record := range records {
			if record.End.After(until) {
				until = record.End
			}
		}
	}
	defaults := settings.BuiltinDefaults().Pool
	return measure.Input{
		Records:      records,
		Truth:        events,
		Shares:       e.Shares(),
		InputWeight:  defaults.InputWeight,
		OutputWeight: defaults.OutputWeight,
		Slots:        e.Fleet.Engines * e.Fleet.Slots,
		From:         start.Add(e.JudgeFrom.Duration),
		Until:        until,
	}
}

func (r *Run) writeResult(result measure.Result) error {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.Dir, "result.json"), append(text, '\n'), 0o644)
}

// controlMeter measures the control traffic of the boxes.
type controlMeter struct {
	fleet      *fleet.Fleet
	startTime  time.Time
	startBytes int64
}

func (m *controlMeter) start() (err error) {
	m.startTime = time.Now()
	m.startBytes, err = m.readTotal()
	return err
}

func (m *controlMeter) bytesPerSecond() (perSecond float64, err error) {
	now, err := m.readTotal()
	if err != nil {
		return 0, err
	}
	boxes := float64(len(m.fleet.Routers))
	return float64(now-m.startBytes) / boxes / time.Since(m.startTime).Seconds(), nil
}

// readTotal returns the bytes that the boxes exchanged with each other and with
// the platform. A box that does not respond counts as 0.
func (m *controlMeter) readTotal() (total int64, err error) {
	for _, router := range m.fleet.Routers {
		status, err := router.Status()
		if err != nil {
			continue
		}
		total += status.ControlSent + status.ControlReceived
	}
	counts, err := m.fleet.PlatformCounts()
	return total + counts.Bytes, err
}

// OneQueue returns the experiment with a single router, and so with a single
// queue, for the same trace. The steps that name routers and the rejoin steps are
// left out.
func (e Experiment) OneQueue() Experiment {
	e.Title += " (one queue)"
	e.Fleet.Routers = 1
	var steps []Step
	for _, step := range e.Faults {
		if len(step.Routers) == 0 && step.Action != Rejoin {
			steps = append(steps, step)
		}
	}
	e.Faults = steps
	return e
}
