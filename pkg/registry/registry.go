// Package registry follows what must last and stands in the platform's store:
// the accepted catalog, the endpoints, and which boxes there are. It keeps the
// last good state through outages, and takes newer states from other boxes.
package registry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// ErrHistoryLost is in the chain of an error when a table's changes since a
// version are no longer known; the table has to be read whole.
var ErrHistoryLost = errors.New("the store has forgotten the history")

// errLostElsewhere reports that other boxes do not reach the store.
var errLostElsewhere = errors.New("other boxes do not reach the store")

func isHistoryLost(err error) bool { return errors.Is(err, ErrHistoryLost) }

// Registry follows the store. Its exported fields are set before Run.
type Registry struct {
	Store Store
	// Self is written to the store at the start.
	Self Box
	Log  *zap.Logger
	// Changed is called after a new catalog or directory is in force; TakeChanges tells what
	// is new in the directory.
	Changed func()
	// FoundBoxes is called with the boxes that the store lists.
	FoundBoxes func([]Box)
	// Looked is called after each look at the endpoints, for the other boxes to
	// hear.
	Looked func()
	// Live are the other boxes that are known to be alive; nil means that none are known.
	Live func() []Box
	// Peers is the number of other boxes that follow the store.
	Peers func() int
	// Follows tells whether it falls to this box to follow the store; the others hear
	// from those that do. Nil means that it does.
	Follows func() bool
	// Turn is how many other boxes are to read the store before this one, where all have just
	// started and know nothing. It is asked once the list of boxes is known. Nil means none.
	Turn func() int
	// Ahead is how many of these are alive and reach the store. Nil means none.
	Ahead func() int
	// ReadingWhole is called as a reading of all endpoints begins; nil means that nobody is
	// to know.
	ReadingWhole func(why Reason)
	// StoreLost is called when the calls of this box begin to fail, and when they work
	// again, and LostElsewhere tells whether those of another box fail.
	StoreLost     func(lost bool)
	LostElsewhere func() bool
	// FirstStart is set where no box of the fleet has run before.
	FirstStart bool
	// LeavingTime is the time within which an endpoint that leaves has to get no
	// new work; 0 stands for two seconds.
	LeavingTime time.Duration
	// Quarantine holds the requests under which endpoints ended; nil means that none are
	// kept.
	Quarantine *quarantine.Ledger

	// quarantineWake tells that some of it is to be written. Capacity 1.
	quarantineWake chan struct{}
	quarantineOnce sync.Once
	// listed is closed once the list of boxes was read, or not read in time.
	listed     chan struct{}
	listedOnce sync.Once
	// restores has a value once the store was restored. Capacity 1.
	restores     chan struct{}
	restoresOnce sync.Once
	// heardLooks counts the looks of other boxes.
	heardLooks atomic.Int64
	catalog    atomic.Pointer[route.Catalog]
	directory  atomic.Pointer[route.Directory]
	// orders are nil until they are known.
	orders atomic.Pointer[route.Orders]

	mu sync.Mutex
	// content is the catalog's, as it was accepted.
	content []byte
	entries entryTable
	// touched are the IDs of the entries that changed since the directory was made, and
	// changes those of the directory that nobody has taken yet.
	touched []string
	// quiet has endpoints that become known not logged one by one.
	quiet bool
	// passedOver counts the entries of a reading that differ from newer ones.
	passedOver int
	changes    []route.Change
	// knowledge is how much is known of the entries, by own looks or by what others
	// told.
	knowledge route.Knowledge
	// unserved is what this box lacks and has heard of from nobody that can tell it.
	unserved unserved
	// newest is the highest version of an entry, and digest sums up those that are listed.
	newest epoch.Version
	digest uint64
	// divergence is what is to be done about another digest.
	divergence divergence
	// lost is set while this box's calls of the store fail; lostAt is when that last
	// changed.
	lost   bool
	lostAt time.Time
	// lapsing are the IDs of the entries that lapse.
	lapsing map[string]struct{}
	// held are the entries that are Held, and when they count again.
	held map[string]time.Time
	// read is the newest version of this box's own readings of the endpoints, and declared
	// that of what the operator wrote; 0 means none yet.
	read, declared epoch.Version
	// departures are the endpoints that said in an answer that they leave, by ID, and
	// departureNews counts what was learnt of them.
	departures    map[string]departure
	departureNews uint64
	// looked is set once the list of boxes was read.
	looked bool
	// badBoxes are the versions of the rows of boxes that could not be read, by name, so
	// that each is told of once.
	badBoxes map[string]epoch.Version
	// unwellAt is when a call about the endpoints last failed, returnedAt when any box was first
	// known to read them again after that, and unwellSince when any last had before.
	unwellAt, returnedAt, unwellSince time.Time
	// lookedAt is when any box was last known to read the endpoints, and lookedBefore when the
	// time before.
	lookedAt, lookedBefore time.Time
}

const (
	// catalogWaitLeast and catalogWaitMost bound how long one call waits for a
	// new configuration; it grows by catalogWaitPart for each box, as each tells
	// the others. A call that hangs in an outage is noticed when this time is over;
	// of all boxes, the first notices within a few hundred milliseconds, and two
	// seconds are given for putting a version in force. The most, with its jitter,
	// is shorter than the history of 20 s that a store keeps.
	catalogWaitLeast = 1500 * time.Millisecond
	catalogWaitPart  = 250 * time.Millisecond
	catalogWaitMost  = 15 * time.Second
	// lookSoonest is the part of the time in which leaving endpoints have to be
	// known for which no box looks again after a look by any box; lookSpread is the
	// part over which the boxes spread their next looks, so that mostly one looks
	// and tells. Together they bound the time between two looks, and leave two
	// fifths for telling.
	lookSoonest = 0.2
	lookSpread  = 0.4
	// defaultLeavingTime stands in for LeavingTime.
	defaultLeavingTime = 2 * time.Second
	// retryLeast and retryMost bound the wait after a failed call; it doubles.
	// The most grows by retryPart for each other box, up to retryLongest: the
	// first that reads again tells the others.
	retryLeast   = 100 * time.Millisecond
	retryMost    = 800 * time.Millisecond
	retryPart    = 80 * time.Millisecond
	retryLongest = 5 * time.Second
	// boxesInterval is the mean time between two looks at the list of boxes.
	boxesInterval = 10 * time.Second
	// boxesPart is added to it for each box: new ones tell all they find, and
	// those tell the others nothing new.
	boxesPart = 500 * time.Millisecond
)

// Run follows the store until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if r.Quarantine != nil {
		group.Go(func() error { return r.followQuarantine(ctx) })
	}
	group.Go(func() error { return r.followCatalog(ctx) })
	group.Go(func() error { return r.followEndpoints(ctx) })
	group.Go(func() error { return r.followBoxes(ctx) })
	group.Go(func() error { return r.followLapses(ctx) })
	group.Go(func() error { return r.followRestores(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		r.Store.Close()
		return nil
	})
	return group.Wait()
}

// Catalog is the configuration in force; nil means none.
func (r *Registry) Catalog() *route.Catalog { return r.catalog.Load() }

// Directory is what is known of the endpoints; nil means nothing.
func (r *Registry) Directory() *route.Directory { return r.directory.Load() }

// Content is the configuration in force as it was accepted.
func (r *Registry) Content() (version uint64, content []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.catalog.Load(); now != nil {
		return now.Version, r.content
	}
	return 0, nil
}

// backoff doubles the wait between failed calls.
type backoff struct {
	failures int
	// peers is the number of other live boxes.
	peers func() int
}

func (b *backoff) wait(ctx context.Context) error {
	most := min(max(retryMost, retryPart*time.Duration(b.peers())), retryLongest)
	length := min(retryLeast<<min(b.failures, 6), most)
	b.failures++
	return interval.Wait(ctx, interval.Jittered(length))
}

func (b *backoff) reset() { b.failures = 0 }

func (r *Registry) followEndpoints(ctx context.Context) error {
	again := backoff{peers: r.Peers}
	whole := false
	for r.awaitFollow(ctx, r.Directory() != nil, r.lacks) == nil {
		since := r.Position()
		whole = whole || since == 0 || r.isDivergent(time.Now())
		if whole {
			r.noteWhole(since, again.failures)
		}
		entries, version, err := r.nextEndpoints(ctx, since, whole)
		r.noteCall(err)
		if err != nil {
			whole = whole || isHistoryLost(err)
			r.endpointsFailed(err)
			r.Log.Warn("endpoints not read", zap.Stringer("Since", since), zap.Error(err))
			if again.wait(ctx) != nil {
				return nil
			}
			continue
		}
		if again.failures > 0 {
			r.Log.Info("endpoints are read again", zap.Int("Failures", again.failures))
		}
		again.reset()
		r.endpointsRead(time.Now())
		passedOver := r.takeAnswer(entries, since, version, whole, time.Now())
		if (whole && since > 0) || version < since {
			r.Log.Info("endpoints read from another version",
				zap.Stringer("Since", since),
				zap.Stringer("Version", version),
				zap.Bool("Whole", whole),
				zap.Int("Entries", len(entries)),
				zap.Int("PassedOver", passedOver))
		}
		whole = false
		r.Looked()
		r.renewDeclared(ctx)
		if r.awaitTurn(ctx) != nil {
			return nil
		}
	}
	return nil
}

// awaitTurn waits until no box has looked at the endpoints for a while.
func (r *Registry) awaitTurn(ctx context.Context) error {
	bound := float64(r.leavingTime())
	for {
		heard := r.heardLooks.Load()
		wait := time.Duration((lookSoonest + lookSpread*rand.Float64()) * bound)
		if err := interval.Wait(ctx, wait); err != nil {
			return err
		}
		if r.heardLooks.Load() == heard {
			return nil
		}
	}
}

// HeardLook notes that another box looked at the endpoints, and told what it
// found.
func (r *Registry) HeardLook() {
	r.heardLooks.Add(1)
	r.endpointsRead(time.Now())
}

func (r *Registry) leavingTime() time.Duration { return cmp.Or(r.LeavingTime, defaultLeavingTime) }

// Position is the version up to which this box has read the endpoints, or was told of them.
func (r *Registry) Position() epoch.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knowledge.Known
}

func (r *Registry) nextEndpoints(ctx context.Context, since epoch.Version, whole bool) ([]Entry, epoch.Version, error) {
	if whole {
		return r.Store.Endpoints(ctx)
	}
	return r.Store.EndpointsSince(ctx, since)
}
