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

// Operators race each other to change the settings while an experiment runs.
type Operators struct {
	// Count is the number of operators; 0 means none.
	Count int
	// Pause is the mean time between two changes of one operator.
	Pause settings.Duration
}

// acceptance is a change that an operator was told is accepted.
type acceptance struct {
	revision uint64
	nonce    string
	at       time.Time
}

// sighting is the revision that a router had in force at a time.
type observation struct {
	at          time.Time
	incarnation uint64
	revision    uint64
}

// race is one run of the operators.
type operatorRace struct {
	fleet *fleet.Fleet
	plan  Operators
	tree  *settings.Fleet
	store *platform.Store

	mu        sync.Mutex
	accepted  []acceptance
	conflicts int
	unknown   int
	// sightings are by router, in order of time.
	observations map[string][]observation
}

// watchInterval is the time between two looks at a router's revision, and so
// the grain of the times until settings are in force.
const revisionPollInterval = 20 * time.Millisecond

// proposalTimeout bounds an operator's tries at a failing store.
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

// run lets operators change settings until the context ends, and watches all
// routers a little longer.
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
	// The last changes get their time to be in force.
	time.Sleep(2 * time.Second)
	stop()
	return trace.NewAggregate(err, watchers.Wait())
}

// operate changes one value after the other, as quayctl does.
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
			// A router that does not answer finds the settings by itself.
			_, _, _ = fasthttp.GetTimeout(nil, "http://"+router.OperatorAddress+"/look", time.Second)
		}
	}
}

// change gives settings with one value changed.
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

// watch records a router's revision again and again.
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

// judge holds what operators were told against the store's history, and the
// routers' revisions against both.
func (r *operatorRace) evaluate() (result measure.Settings, err error) {
	defer func() { err = trace.Wrap(err, "judging the operators' race") }()
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

// reverts counts the times at which a router went back to a lower revision
// without having started anew.
func countReverts(observed []observation) (count int) {
	for i := 1; i < len(observed); i++ {
		if observed[i].incarnation == observed[i-1].incarnation && observed[i].revision < observed[i-1].revision {
			count++
		}
	}
	return count
}

// reachGap is the time without a sighting from which a router counts as not
// reachable, as when it is killed or paused.
const unreachableTimeout = 500 * time.Millisecond

// inForceAfter is the time from an acceptance, or from when the router was
// reachable again, to the revision or a later one being in force there. A
// router that never had it while it was watched gives the whole time.
func inForceDelay(observed []observation, accepted acceptance) []time.Duration {
	from := accepted.at
	first := slices.IndexFunc(observed, func(s observation) bool { return s.at.After(accepted.at) })
	if first < 0 {
		return nil
	}
	last := accepted.at
	for _, s := range observed[first:] {
		if s.at.Sub(last) > unreachableTimeout {
			from = s.at
		}
		last = s.at
		if s.revision >= accepted.revision {
			return []time.Duration{max(0, s.at.Sub(from))}
		}
	}
	return []time.Duration{last.Sub(from)}
}
