// Package soak runs the real router program as separate processes among stand-ins of the
// platform, injects faults from outside that are drawn from a seed, and checks what callers
// and endpoints observed.
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
	// Bin is the folder of the programs, Dir that of the logs and settings.
	Bin, Dir string
	// Seed determines the faults, their times and the callers' requests.
	Seed uint64
	// Length is the period in which faults begin. The run waits for the last faults to
	// end, and then for a period without faults.
	Length time.Duration
	// Boxes is the number of routers, Callers the number of callers.
	Boxes, Callers int
	// Progress receives a line for each fault.
	Progress io.Writer
}

// Verdict is the result of a run.
type Verdict struct {
	// Requests counts the requests that were sent, Completed those of them that got a complete
	// response with status 200.
	Requests, Completed int
	Faults              int
	// TakenUp counts the streams that boxes in touch were asked to take up while servers of their
	// release served, and Continued those of them that went on.
	TakenUp, Continued int
	// CrashingParts counts the parts of prompts that crashed servers, and MostPartCrashes the servers
	// that one of them crashed.
	CrashingParts, MostPartCrashes int
	// Violations are the guarantees that were violated, one line each.
	Violations []string
}

// The periods of a run.
const (
	// maxFaultGap bounds the time between the starts of two faults. Faults overlap, as
	// each lasts up to maxFaultDuration.
	maxFaultGap      = 1500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// calmPeriod follows the last fault. In its second half, requests have to be served
	// again.
	calmPeriod = 12 * time.Second
)

// Run executes the whole run.
func (s *Soak) Run(ctx context.Context) (verdict Verdict, err error) {
	defer func() { err = trace.Wrap(err, "soak run with seed %d", s.Seed) }()
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
	// A request that was reported as not run may still run wrongly a little later.
	_ = interval.Wait(ctx, time.Second)
	verdict.Requests, verdict.Completed = w.countOutcomes()
	verdict.TakenUp, verdict.Continued = w.summarizeTakeUps()
	verdict.CrashingParts, verdict.MostPartCrashes = w.countPartCrashes()
	verdict.Violations = w.check(calmFrom.Add(calmPeriod / 2))
	return verdict, ctx.Err()
}

// injectFaults starts faults at random times and waits for the last one to end.
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
		faults.Go(func() error { return trace.Wrap(inject(ctx, w, f, length), "injecting %s", f) })
	}
	return count, faults.Wait()
}
