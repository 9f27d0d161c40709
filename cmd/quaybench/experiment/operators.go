package experiment

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaybench/measure"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/revision"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Operators are simulated operators that concurrently change the settings while
// an experiment runs.
type Operators struct {
	// Count is the number of operators; 0 means none.
	Count int
	// Pause is the mean time between two changes by one operator.
	Pause settings.Duration
}

// acceptance is a change that was reported to an operator as accepted.
type acceptance struct {
	revision uint64
	nonce    string
	at       time.Time
}

// observation is the revision that a router reported as in force at a time.
type observation struct {
	at          time.Time
	incarnation uint64
	revision    uint64
}

// operatorRace runs operators that compete to change the settings, and records
// what they and the routers report.
type operatorRace struct {
	fleet *fleet.Fleet
	plan  Operators
	tree  *settings.Fleet
	store *platform.Store

	mu        sync.Mutex
	accepted  []acceptance
	conflicts int
	unknown   int
	// observations are by router name, in order of time.
	observations map[string][]observation
}

// revisionPollInterval is the time between two reads of a router's revision, and
// so the resolution of the delays until settings are in force.
const revisionPollInterval = 20 * time.Millisecond

// proposalTimeout bounds the attempts of one change while the store fails.
const proposalTimeout = 5 * time.Second

func newOperatorRace(f *fleet.Fleet, plan Operators) (r *operatorRace, err error) {
	defer func() { err = trace.Wrap(err, "preparing the operators") }()
	tree, err := settings.LoadFleet(f.TreeFile())
	if err != nil {
		return nil, err
	}
	platformSettings := settings.DefaultBox().Platform
	platformSettings.Address = f.Platform.Address
	return &operatorRace{
		fleet:        f,
		plan:         plan,
		tree:         tree,
		store:        &platform.Store{Settings: platformSettings},
		observations: map[string][]observation{},
	}, nil
}

// run lets the operators change settings until ctx ends. It polls the revisions
// of all routers, for 2 s longer.
func (r *operatorRace) run(ctx context.Context, seed uint64) error {
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	watchers := errgroup.Group{}
	for _, router := range r.fleet.Routers {
		watchers.Go(func() error {
			r.pollRevision(watchCtx, router)
			return nil
		})
	}
	operators := errgroup.Group{}
	for i := range r.plan.Count {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		operators.Go(func() error {
			r.runOperator(ctx, fmt.Sprintf("operator-%d", i), random)
			return nil
		})
	}
	err := operators.Wait()
	// The last changes need time to come into force.
	time.Sleep(2 * time.Second)
	stop()
	return trace.NewAggregate(err, watchers.Wait())
}

// runOperator repeatedly proposes changed settings, as quayctl does, until ctx
// ends.
func (r *operatorRace) runOperator(ctx context.Context, name string, random *rand.Rand) {
	repository := revision.Repository{Store: r.store}
	for interval.Wait(ctx, interval.Jittered(r.plan.Pause.Duration)) == nil {
		head, _, err := repository.Head()
		if err != nil {
			continue
		}
		proposal := revision.Proposal{
			Fleet:    r.randomChange(random),
			Expect:   head.Revision,
			Author:   name,
			Nonce:    crand.Text(),
			Deadline: time.Now().Add(proposalTimeout),
		}
		accepted, err := repository.Accept(proposal)
		r.recordProposal(accepted, proposal.Nonce, err)
		if err == nil {
			router := r.fleet.Routers[random.IntN(len(r.fleet.Routers))]
			// On error the router finds the new settings by its own polling.
			_, _, _ = fasthttp.GetTimeout(nil, "http://"+router.OperatorAddress+"/look", time.Second)
		}
	}
}

// randomChange returns the settings with a random queue length for each customer.
func (r *operatorRace) randomChange(random *rand.Rand) *settings.Fleet {
	changed := *r.tree
	changed.Customers = map[string]settings.Customer{}
	for name, customer := range r.tree.Customers {
		customer.QueueLength = 100 + random.IntN(1000)
		changed.Customers[name] = customer
	}
	return &changed
}

func (r *operatorRace) recordProposal(head revision.Head, nonce string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *revision.ConflictError
	switch {
	case err == nil:
		r.accepted = append(r.accepted, acceptance{revision: head.Revision, nonce: nonce, at: time.Now()})
	case errors.As(err, &conflict):
		r.conflicts++
	default:
		r.unknown++
	}
}

// pollRevision records the router's revision at intervals, until ctx ends.
func (r *operatorRace) pollRevision(ctx context.Context, router *fleet.Router) {
	for interval.Wait(ctx, revisionPollInterval) == nil {
		status, err := router.Status()
		if err != nil {
			continue
		}
		r.mu.Lock()
		r.observations[router.Name] = append(r.observations[router.Name], observation{
			at:          time.Now(),
			incarnation: status.Incarnation,
			revision:    status.Revision,
		})
		r.mu.Unlock()
	}
}

// evaluate compares the accepted changes with the history in the store, and
// computes reverts and delays from the observed revisions.
func (r *operatorRace) evaluate() (result measure.Settings, err error) {
	defer func() { err = trace.Wrap(err, "evaluating the changes by operators") }()
	repository := revision.Repository{Store: r.store}
	result = measure.Settings{
		Acceptances: len(r.accepted),
		Conflicts:   r.conflicts,
		Unknown:     r.unknown,
	}
	revisions := map[uint64]bool{}
	for _, accepted := range r.accepted {
		if revisions[accepted.revision] {
			result.DoubleAcceptances++
		}
		revisions[accepted.revision] = true
		entry, err := repository.Entry(accepted.revision)
		if err != nil {
			return result, err
		}
		if entry.Nonce != accepted.nonce {
			result.LostAcceptances++
		}
	}
	var delays []time.Duration
	for _, observed := range r.observations {
		result.Reverts += countReverts(observed)
		for _, accepted := range r.accepted {
			delays = append(delays, inForceDelay(observed, accepted)...)
		}
	}
	quantiles := measure.Quantiles(delays)
	result.InForceP50, result.InForceP99 = quantiles.P50, quantiles.P99
	return result, nil
}

// countReverts counts how often a router went back to a lower revision without
// a restart.
func countReverts(observed []observation) (count int) {
	for i := 1; i < len(observed); i++ {
		if observed[i].incarnation == observed[i-1].incarnation && observed[i].revision < observed[i-1].revision {
			count++
		}
	}
	return count
}

// unreachableTimeout is the time without an observation after which a router
// counts as unreachable, for example because it is killed or paused.
const unreachableTimeout = 500 * time.Millisecond

// inForceDelay returns the time until the accepted revision, or a later one, was
// in force at a router. It counts from the acceptance, or from the time at which
// the router became reachable again. If the revision never came into force, the
// delay lasts until the last observation. Without an observation after the
// acceptance it returns nil.
func inForceDelay(observed []observation, accepted acceptance) []time.Duration {
	from := accepted.at
	first := slices.IndexFunc(observed, func(o observation) bool { return o.at.After(accepted.at) })
	if first < 0 {
		return nil
	}
	last := accepted.at
	for _, o := range observed[first:] {
		if o.at.Sub(last) > unreachableTimeout {
			from = o.at
		}
		last = o.at
		if o.revision >= accepted.revision {
			return []time.Duration{max(0, o.at.Sub(from))}
		}
	}
	return []time.Duration{last.Sub(from)}
}
