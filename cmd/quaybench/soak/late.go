package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/platform/standin"
)

// lateFailures makes some servers of a service fail a part of their requests late, while the other ones are
// silent in a part of their answers, which they complete. Boxes are stopped in turn meanwhile.
type lateFailures struct {
	late, silent           []*server
	lateFault, silentFault standin.ServerFault
	stops                  []*box
}

func (lateFailures) injection() {}

func (f lateFailures) String() string {
	return fmt.Sprintf("%d servers fail %.2f of their requests %s late: %s, %d others silent for %s in %.2f of their answers, %d boxes stopped in turn",
		len(f.late), f.lateFault.Late, f.lateFault.LateAfter, f.lateFault.LateFailure,
		len(f.silent), f.silentFault.Silence, f.silentFault.Silent, len(f.stops))
}

func drawLateFailures(rng *rand.Rand, w *world, service string) injection {
	f := lateFailures{
		lateFault: standin.ServerFault{
			// With a failure of each request, servers would be ejected at once.
			Late:        0.2 + 0.5*rng.Float64(),
			LateAfter:   time.Duration(200+rng.IntN(600)) * time.Millisecond,
			LateFailure: standin.LateFailure(rng.IntN(int(standin.LateFailures))),
		},
		silentFault: standin.ServerFault{
			Silent:  0.3 + 0.6*rng.Float64(),
			Silence: time.Duration(1200+rng.IntN(1300)) * time.Millisecond,
		},
	}
	f.late, f.silent = w.drawHalves(rng, service)
	boxes := slices.Clone(w.boxes)
	rng.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	f.stops = boxes[:rng.IntN(1+len(boxes)/2)]
	return f
}

// drawHalves divides the servers of a service so that each release is in both halves: only there a stream
// that has begun may go on.
func (w *world) drawHalves(rng *rand.Rand, service string) (one, other []*server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// goesFirst tells by release in which half its next server is.
	goesFirst := map[string]bool{}
	for _, s := range w.servers {
		if s.Service != service || !s.leftAt.IsZero() || !s.endedAt.IsZero() {
			continue
		}
		inOne, isKnown := goesFirst[s.Release]
		if !isKnown {
			inOne = rng.IntN(2) == 0
		}
		goesFirst[s.Release] = !inOne
		if inOne {
			one = append(one, s)
		} else {
			other = append(other, s)
		}
	}
	return one, other
}

// lateFailuresFactor is how much longer than other faults late failures last.
const lateFailuresFactor = 2

// failLate carries the fault out. Neither silence nor a late failure is a fault of a server for the checks,
// which know the requests that failed.
func (w *world) failLate(ctx context.Context, f lateFailures, length time.Duration) error {
	setFaults := func(late, silent standin.ServerFault) {
		for _, s := range f.late {
			s.SetFault(late)
		}
		for _, s := range f.silent {
			s.SetFault(silent)
		}
	}
	length *= lateFailuresFactor
	setFaults(f.lateFault, f.silentFault)
	stops := errgroup.Group{}
	stops.Go(func() error { return stopInTurn(ctx, f.stops, length) })
	_ = interval.Wait(ctx, length)
	setFaults(standin.ServerFault{}, standin.ServerFault{})
	return stops.Wait()
}

// stopInTurn stops boxes as planned, one after the other begins within a time; the stops overlap.
func stopInTurn(ctx context.Context, boxes []*box, within time.Duration) error {
	group := errgroup.Group{}
	for i, b := range boxes {
		group.Go(func() error {
			_ = interval.Wait(ctx, within*time.Duration(i)/time.Duration(len(boxes)))
			return b.stopAsPlanned()
		})
	}
	return group.Wait()
}

// lateFailed returns the servers that failed a request late when they were last sent it, by its ID.
func lateFailed(arrivals []standin.Arrival) map[string]map[string]bool {
	failed := map[string]map[string]bool{}
	for _, arrival := range arrivals {
		if arrival.Failed && failed[arrival.ID] == nil {
			failed[arrival.ID] = map[string]bool{}
		}
		if servers := failed[arrival.ID]; servers != nil && (arrival.Failed || !arrival.Refused) {
			servers[arrival.Server] = arrival.Failed
		}
	}
	return failed
}

// runsWithout returns the runs of a request that were not at servers which failed it late. If such a server began
// the stream, those at other releases are left out too, as it may not go on there. The caller holds the lock.
func (w *world) runsWithout(failed map[string]bool, o *outcome, runs []standin.Run) (others []standin.Run) {
	for i := range runs {
		id := runs[i].Server
		if failed[id] || (failed[o.server] && w.releaseOf(id) != w.releaseOf(o.server)) {
			continue
		}
		others = append(others, runs[i])
	}
	return others
}
