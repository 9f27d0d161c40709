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
	Polled func()
	// Live are the other boxes that are known to be alive; nil means that none are known.
	LiveBoxes func() []Box
	// Peers is the number of other boxes that follow the store.
	Peers func() int
	// Follows tells whether it falls to this box to follow the store; the others hear
	// from those that do. Nil means that it does.
	Follows func() bool
	// Turn is how many other boxes are to read the store before this one, where all have just
	// started and know nothing. It is asked once the list of boxes is known. Nil means none.
	StartRank func() int
	// Ahead is how many of these are alive and reach the store. Nil means none.
	LiveAhead func() int
	// ReadingWhole is called as a reading of all endpoints begins; nil means that nobody is
	// to know.
	FullReadStarted func(why FullReadReason)
	// StoreLost is called when the calls of this box begin to fail, and when they work
	// again, and LostElsewhere tells whether those of another box fail.
	StoreLost     func(lost bool)
	LostElsewhere func() bool
	// FirstStart is set where no box of the fleet has run before.
	FirstStart bool
	// LeavingTime is the time within which an endpoint that leaves has to get no
	// new work; 0 stands for two seconds.
	MaxLeavingDelay time.Duration
	// Quarantine holds the requests under which endpoints ended; nil means that none are
	// kept.
	Quarantine *quarantine.Ledger

	// quarantineWake tells that some of it is to be written. Capacity 1.
	quarantineSignal chan struct{}
	quarantineOnce   sync.Once
	// listed is closed once the list of boxes was read, or not read in time.
	listed     chan struct{}
	listedOnce sync.Once
	// restores has a value once the store was restored. Capacity 1.
	restoreSignal chan struct{}
	restoreOnce   sync.Once
	// heardLooks counts the looks of other boxes.
	peerPolls atomic.Int64
	catalog   atomic.Pointer[route.Catalog]
	directory atomic.Pointer[route.Directory]
	// orders are nil until they are known.
	orders atomic.Pointer[route.Orders]

	mu sync.Mutex
	// content is the catalog's, as it was accepted.
	content []byte
	entries entryTable
	// touched are the IDs of the entries that changed since the directory was made, and
	// changes those of the directory that nobody has taken yet.
	changedIDs []string
	// quiet has endpoints that become known not logged one by one.
	quiet bool
	// passedOver counts the entries of a reading that differ from newer ones.
	passedOver     int
	pendingChanges []route.Change
	// knowledge is how much is known of the entries, by own looks or by what others
	// told.
	knowledge route.Knowledge
	// unserved is what this box lacks and has heard of from nobody that can tell it.
	missing missingUpdates
	// newest is the highest version of an entry, and digest sums up those that are listed.
	newestVersion epoch.Version
	digest        uint64
	// divergence is what is to be done about another digest.
	divergence divergence
	// lost is set while this box's calls of the store fail; lostAt is when that last
	// changed.
	lost   bool
	lostAt time.Time
	// lapsing are the IDs of the entries that lapse.
	inGrace map[string]struct{}
	// held are the entries that are Held, and when they count again.
	held map[string]time.Time
	// read is the newest version of this box's own readings of the endpoints, and declared
	// that of what the operator wrote; 0 means none yet.
	readVersion, declaredVersion epoch.Version
	// departures are the endpoints that said in an answer that they leave, by ID, and
	// departureNews counts what was learnt of them.
	departures   map[string]departure
	departureSeq uint64
	// looked is set once the list of boxes was read.
	boxesRead bool
	// badBoxes are the versions of the rows of boxes that could not be read, by name, so
	// that each is told of once.
	rejectedBoxes map[string]epoch.Version
	// unwellAt is when a call about the endpoints last failed, returnedAt when any box was first
	// known to read them again after that, and unwellSince when any last had before.
	failedAt, recoveredAt, outageSince time.Time
	// lookedAt is when any box was last known to read the endpoints, and lookedBefore when the
	// time before.
	lastPollAt, previousPollAt time.Time
}

const (
	// catalogWaitLeast and catalogWaitMost bound how long one call waits for a
	// new configuration; it grows by catalogWaitPart for each box, as each tells
	// the others. A call that hangs in an outage is noticed when this time is over;
	// of all boxes, the first notices within a few hundred milliseconds, and two
	// seconds are given for putting a version in force. The most, with its jitter,
	// is shorter than the history of 20 s that a store keeps.
	minCatalogPollTimeout    = 1500 * time.Millisecond
	catalogPollTimeoutPerBox = 250 * time.Millisecond
	maxCatalogPollTimeout    = 15 * time.Second
	// lookSoonest is the part of the time in which leaving endpoints have to be
	// known for which no box looks again after a look by any box; lookSpread is the
	// part over which the boxes spread their next looks, so that mostly one looks
	// and tells. Together they bound the time between two looks, and leave two
	// fifths for telling.
	minPollFraction    = 0.2
	pollJitterFraction = 0.4
	// defaultLeavingTime stands in for LeavingTime.
	defaultMaxLeavingDelay = 2 * time.Second
	// retryLeast and retryMost bound the wait after a failed call; it doubles.
	// The most grows by retryPart for each other box, up to retryLongest: the
	// first that reads again tells the others.
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 800 * time.Millisecond
	retryDelayPerBox   = 80 * time.Millisecond
	maxFleetRetryDelay = 5 * time.Second
	// boxesInterval is the mean time between two looks at the list of boxes.
	boxesInterval = 10 * time.Second
	// boxesPart is added to it for each box: new ones tell all they find, and
	// those tell the others nothing new.
	boxesIntervalPerBox = 500 * time.Millisecond
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
	group.Go(func() error { return r.runExpiry(ctx) })
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
	maxDelay := min(max(maxRetryDelay, retryDelayPerBox*time.Duration(b.peers())), maxFleetRetryDelay)
	delay := min(minRetryDelay<<min(b.failures, 6), maxDelay)
	b.failures++
	return interval.Wait(ctx, interval.Jittered(delay))
}

func (b *backoff) reset() { b.failures = 0 }

func (r *Registry) followEndpoints(ctx context.Context) error {
	retry := backoff{peers: r.Peers}
	full := false
	for r.awaitFollow(ctx, r.Directory() != nil, r.needsOwnRead) == nil {
		since := r.Position()
		full = full || since == 0 || r.isDivergent(time.Now())
		if full {
			r.reportFullRead(since, retry.failures)
		}
		entries, version, err := r.readEndpoints(ctx, since, full)
		r.recordCall(err)
		if err != nil {
			full = full || isHistoryLost(err)
			r.recordEndpointsFailure(err)
			r.Log.Warn("endpoints not read", zap.Stringer("Since", since), zap.Error(err))
			if retry.wait(ctx) != nil {
				return nil
			}
			continue
		}
		if retry.failures > 0 {
			r.Log.Info("endpoints are read again", zap.Int("Failures", retry.failures))
		}
		retry.reset()
		r.recordEndpointsRead(time.Now())
		passedOver := r.applyRead(entries, since, version, full, time.Now())
		if (full && since > 0) || version < since {
			r.Log.Info("endpoints read from another version",
				zap.Stringer("Since", since),
				zap.Stringer("Version", version),
				zap.Bool("Whole", full),
				zap.Int("Entries", len(entries)),
				zap.Int("PassedOver", passedOver))
		}
		full = false
		r.Polled()
		r.refreshDeclared(ctx)
		if r.awaitNextPoll(ctx) != nil {
			return nil
		}
	}
	return nil
}

// awaitTurn waits until no box has looked at the endpoints for a while.
func (r *Registry) awaitNextPoll(ctx context.Context) error {
	maxDelay := float64(r.maxLeavingDelay())
	for {
		polls := r.peerPolls.Load()
		wait := time.Duration((minPollFraction + pollJitterFraction*rand.Float64()) * maxDelay)
		if err := interval.Wait(ctx, wait); err != nil {
			return err
		}
		if r.peerPolls.Load() == polls {
			return nil
		}
	}
}

// HeardLook notes that another box looked at the endpoints, and told what it
// found.
func (r *Registry) RecordPeerPoll() {
	r.peerPolls.Add(1)
	r.recordEndpointsRead(time.Now())
}

func (r *Registry) maxLeavingDelay() time.Duration {
	return cmp.Or(r.MaxLeavingDelay, defaultMaxLeavingDelay)
}

// Position is the version up to which this box has read the endpoints, or was told of them.
func (r *Registry) Position() epoch.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knowledge.Known
}

func (r *Registry) readEndpoints(ctx context.Context, since epoch.Version, full bool) ([]Entry, epoch.Version, error) {
	if full {
		return r.Store.Endpoints(ctx)
	}
	return r.Store.EndpointsSince(ctx, since)
}
