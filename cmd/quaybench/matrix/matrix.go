// Package matrix injects every fault before and during requests, into a fleet of
// real processes. It checks each combination against the records of callers and
// the ground truth.
package matrix

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/cmd/quaybench/measure"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Moment is the time at which the fault is injected.
type Moment string

// The moments.
const (
	// Before injects the fault before the requests are sent.
	Before Moment = "before"
	// During injects the fault while the endpoints are responding.
	During Moment = "during"
)

// Fault is a row of the matrix.
type Fault struct {
	Name string
	// Inject starts the fault, and Heal ends it.
	Inject func(f *fleet.Fleet) error
	Heal   func(f *fleet.Fleet) error
	// CancelCallers cancels the requests at the callers, instead of a fault of
	// the fleet. Inject and Heal are not used then.
	CancelCallers bool
}

// Cell is the outcome of one fault at one moment.
type Cell struct {
	Fault    string
	Moment   Moment
	Requests int
	Whole    int
	Refused  int
	Cut      int
	// Failures lists the checks that failed; empty means that the cell passed.
	Failures []string
}

// Matrix runs all cells against one fleet.
type Matrix struct {
	// Bin is the folder of the programs. Settings, logs and ground truth are
	// written to Dir.
	Bin string
	Dir string
	// Faults are the rows.
	Faults []Fault
	// Progress receives a line for each cell; nil means none.
	Progress io.Writer

	fleet *fleet.Fleet
	// sequence is the number in the last request ID or idempotency key. These
	// are unique within a run of the matrix.
	sequence int
}

const (
	// requestTimeout is the timeout that each request states to the router.
	requestTimeout = 3 * time.Second
	// callerTimeout bounds each request at the caller. It is long, so that a
	// busy machine does not fail the check.
	callerTimeout = 20 * time.Second
	// injectDelay is the time from sending the requests to a fault at During. It
	// is shorter than the responses take: ServiceLatency in Plan is 300 ms.
	injectDelay = 150 * time.Millisecond
	// healDelay is the time from sending the requests to the end of the fault.
	// Their deadlines pass before it.
	healDelay = requestTimeout + 500*time.Millisecond
)

// Plan returns the fleet of the matrix.
func Plan() fleet.Plan {
	return fleet.Plan{
		Routers:        3,
		Engines:        2,
		Services:       1,
		Slots:          8,
		DecodeInterval: settings.Duration{Duration: 10 * time.Millisecond},
		PrefillRate:    20000,
		ServiceLatency: settings.Duration{Duration: 300 * time.Millisecond},
		Customers:      map[string]settings.Customer{"ward": {}},
		Proxied:        true,
		Box:            []string{"Platform.Timeout=500ms"},
	}
}

// Run starts the fleet, runs every cell and returns the outcomes.
func (m *Matrix) Run(ctx context.Context) (cells []Cell, err error) {
	defer func() { err = trace.Wrap(err, "running the fault matrix") }()
	m.fleet = &fleet.Fleet{Plan: Plan(), Bin: m.Bin, Dir: m.Dir}
	if err := m.fleet.Start(ctx); err != nil {
		return nil, err
	}
	defer m.fleet.Stop()
	for _, fault := range m.Faults {
		for _, moment := range []Moment{Before, During} {
			cell, err := m.runCell(ctx, fault, moment)
			if err != nil {
				return cells, trace.Wrap(err, "%s, %s", fault.Name, moment)
			}
			cells = append(cells, cell)
			if m.Progress != nil {
				fmt.Fprintln(m.Progress, fault.Name, moment, cell.Failures)
			}
		}
	}
	return cells, nil
}

func (m *Matrix) runCell(ctx context.Context, fault Fault, moment Moment) (cell Cell, err error) {
	cell = Cell{Fault: fault.Name, Moment: moment}
	if err := m.awaitServing(ctx); err != nil {
		return cell, err
	}
	callerCtx, cancelCallers := context.WithCancel(ctx)
	defer cancelCallers()
	startFault := func() error {
		if fault.CancelCallers {
			cancelCallers()
			return nil
		}
		return fault.Inject(m.fleet)
	}
	if moment == Before && !fault.CancelCallers {
		if err := startFault(); err != nil {
			return cell, err
		}
	}
	group, records := m.sendRequests(callerCtx)
	sentAt := time.Now()
	if moment == During || fault.CancelCallers {
		if err := interval.Wait(ctx, injectDelay); err != nil {
			return cell, err
		}
		if err := startFault(); err != nil {
			return cell, err
		}
	}
	if !fault.CancelCallers {
		if err := interval.Wait(ctx, healDelay-time.Since(sentAt)); err != nil {
			return cell, err
		}
		if err := fault.Heal(m.fleet); err != nil {
			return cell, err
		}
	}
	if err := group.Wait(); err != nil {
		return cell, err
	}
	return cell, m.evaluate(ctx, &cell, records, fault)
}

// sendRequests starts requests of every kind through every router: streams, and
// keyed bookings, with each key sent through two routers at once. The records are
// complete once the group has ended.
func (m *Matrix) sendRequests(ctx context.Context) (*errgroup.Group, []load.Record) {
	caller := m.fleet.Caller(callerTimeout)
	model := &load.Source{Customer: "ward"}
	booking := &load.Source{Customer: "ward", Plain: true, Keyed: true}
	var arrivals []load.Arrival
	for router := range m.fleet.Routers {
		m.sequence++
		key := fmt.Sprintf("key-%d", m.sequence)
		for _, arrival := range []load.Arrival{
			{Source: model, Input: 20, Output: 40},
			{Source: booking, Key: key},
			{Source: booking, Key: key, Router: 1},
		} {
			arrival.Router = (arrival.Router + router) % len(m.fleet.Routers)
			arrival.ID = fmt.Sprintf("request-%d-%d", m.sequence, len(arrivals))
			arrival.Timeout = requestTimeout
			arrivals = append(arrivals, arrival)
		}
	}
	group := &errgroup.Group{}
	records := make([]load.Record, len(arrivals))
	for i, arrival := range arrivals {
		group.Go(func() error {
			records[i] = caller.Call(ctx, arrival)
			return nil
		})
	}
	return group, records
}

// evaluate waits until the routers are idle, and checks the records against the
// ground truth.
func (m *Matrix) evaluate(ctx context.Context, cell *Cell, records []load.Record, fault Fault) error {
	if err := m.awaitIdle(ctx); err != nil {
		cell.Failures = append(cell.Failures, "work left over: "+err.Error())
	}
	events, err := m.fleet.Truth()
	if err != nil {
		return err
	}
	result := measure.Compute(measure.Input{Records: records, Truth: events, Slots: 1})
	cell.Requests = result.Requests
	cell.Whole = result.Whole
	cell.Cut = result.VisiblyCut
	cell.Refused = result.Requests - result.Whole - result.VisiblyCut
	for _, count := range []struct {
		name  string
		value int
	}{
		{"double runs", result.DoubleRuns},
		{"false not-run", result.FalseNotRun},
		{"cut answers passed as whole", result.CutAnswers},
		{"crossed answers", result.CrossedAnswers},
		{"requests without an answer in time", countTimeouts(records, fault)},
	} {
		if count.value > 0 {
			cell.Failures = append(cell.Failures, fmt.Sprintf("%d %s", count.value, count.name))
		}
	}
	return nil
}

// countTimeouts counts the requests that were ended only by the caller's timeout.
func countTimeouts(records []load.Record, fault Fault) (count int) {
	for _, record := range records {
		if !fault.CancelCallers && record.End.Sub(record.Sent) >= callerTimeout {
			count++
		}
	}
	return count
}

// awaitServing waits until requests of both kinds get complete responses through
// every router, so that a cell is not affected by the fault of the previous one.
func (m *Matrix) awaitServing(ctx context.Context) error {
	caller := m.fleet.Caller(callerTimeout)
	sources := []*load.Source{{Customer: "ward"}, {Customer: "ward", Plain: true}}
	err := fleet.Poll(ctx, func() (bool, error) {
		for router := range m.fleet.Routers {
			for _, source := range sources {
				m.sequence++
				record := caller.Call(ctx, load.Arrival{
					ID:      fmt.Sprintf("probe-%d", m.sequence),
					Input:   1,
					Output:  1,
					Router:  router,
					Source:  source,
					Timeout: requestTimeout,
				})
				if !record.Complete {
					return false, nil
				}
			}
		}
		return true, nil
	})
	return trace.Wrap(err, "waiting for the fleet to serve")
}

// awaitIdle waits until no router has a request in flight.
func (m *Matrix) awaitIdle(ctx context.Context) error {
	return fleet.Poll(ctx, func() (bool, error) {
		for _, router := range m.fleet.Routers {
			status, err := router.Status()
			if err != nil || status.InFlight != 0 {
				return false, nil
			}
		}
		return true, nil
	})
}

// Print writes the outcomes as a table and reports whether all cells passed.
func Print(out io.Writer, cells []Cell) (passed bool, err error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Fault\tMoment\tRequests\tWhole\tRefused\tCut\tVerdict")
	failed, requests := 0, 0
	for _, cell := range cells {
		verdict := "pass"
		if len(cell.Failures) > 0 {
			verdict = fmt.Sprint(cell.Failures)
			failed++
		}
		requests += cell.Requests
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", cell.Fault, cell.Moment,
			cell.Requests, cell.Whole, cell.Refused, cell.Cut, verdict)
	}
	fmt.Fprintf(table, "%d cells, %d requests, %d cells failed\n", len(cells), requests, failed)
	return failed == 0, table.Flush()
}
