// Package soak runs the router's real program as separate processes among
// stand-ins of the platform, breaks them from outside by the draw of a seed, and
// checks meanwhile what callers and endpoints see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/interval"
)

// Soak is one run. Its exported fields are set before Run.
type Soak struct {
	// Bin is the folder of the programs, Dir that of logs and settings.
	Bin, Dir string
	// Seed draws the faults, their moments and the callers' requests.
	Seed uint64
	// Length is the time in which faults begin; the last ones are ended and a calm
	// time follows.
	Length time.Duration
	// Boxes is the number of routers, Callers that of callers.
	Boxes, Callers int
	// Progress takes a line for each fault.
	Progress io.Writer
}

// Verdict is what a run found.
type Verdict struct {
	// Requests were sent, and Answered got a whole answer with status 200.
	Requests, Answered int
	Faults             int
	// Broken are the promises that were not kept, a line each.
	Violations []string
}

// The times of a run.
const (
	// gapMost is the longest time between two faults; several overlap, as each
	// lasts up to faultMost.
	maxFaultGap      = 1500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// calmTime follows the last fault. Service has to be back in its second half.
	calmPeriod = 12 * time.Second
)

// Run plays the run to its end.
func (s *Soak) Run(ctx context.Context) (verdict Verdict, err error) {
	defer func() { err = trace.Wrap(err, "soaking with seed %d", s.Seed) }()
	w, err := newWorld(s)
	if err != nil {
		return verdict, err
	}
	defer w.close()
	if err := w.awaitReady(ctx); err != nil {
		return verdict, err
	}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	callers := errgroup.Group{}
	for number := range s.Callers {
		callers.Go(func() error {
			newCaller(w, number).run(calling)
			return nil
		})
	}
	verdict.Faults, err = s.injectFaults(ctx, w)
	if err != nil {
		return verdict, err
	}
	calmFrom := time.Now()
	_ = interval.Wait(ctx, calmPeriod)
	stopCalling()
	_ = callers.Wait()
	// What was answered as not run may still run later.
	_ = interval.Wait(ctx, time.Second)
	verdict.Requests, verdict.Answered = w.countOutcomes()
	verdict.Violations = w.check(calmFrom.Add(calmPeriod / 2))
	return verdict, ctx.Err()
}

// breakThings begins faults at drawn moments and waits for the last to end.
func (s *Soak) injectFaults(ctx context.Context, w *world) (count int, err error) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	faults := errgroup.Group{}
	began := time.Now()
	for time.Since(began) < s.Length {
		if err := interval.Wait(ctx, time.Duration(rng.Float64()*float64(maxFaultGap))); err != nil {
			break
		}
		f := drawFault(rng, w)
		length := time.Duration((0.1 + 0.9*rng.Float64()) * float64(maxFaultDuration))
		fmt.Fprintf(s.Progress, "%7.3f %s for %s\n", time.Since(began).Seconds(), f, length.Round(time.Millisecond))
		count++
		faults.Go(func() error { return trace.Wrap(inject(ctx, w, f, length), "playing %s", f) })
	}
	return count, faults.Wait()
}
