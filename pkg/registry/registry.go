// Package registry follows the durable state in the platform's store: the accepted catalog, the
// endpoints and the list of boxes. It keeps the last good state through outages of the store and
// takes newer states from other boxes.
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

// ErrHistoryLost is in the chain of an error if the store no longer has the changes of a table
// since a version, so that the table has to be read in full.
var ErrHistoryLost = errors.New("the store no longer has the history of the table")

// errLostElsewhere reports that other boxes cannot reach the store.
var errLostElsewhere = errors.New("other boxes cannot reach the store")

func isHistoryLost(err error) bool { return errors.Is(err, ErrHistoryLost) }

// Registry follows the store. Its exported fields are set before Run.
type Registry struct {
	Store Store
	// Self is the row that this box writes to the store when it starts.
	Self Box
	Log  *zap.Logger
	// Changed is called after a new catalog, new orders or a new directory are in force.
	// TakeChanges returns what changed in the directory.
	Changed func()
	// FoundBoxes is called with the boxes that the store lists.
	FoundBoxes func([]Box)
	// Polled is called after each poll of the endpoints; the result is then due to be sent to the
	// other boxes.
	Polled func()
	// LiveBoxes returns the other boxes that are known to be alive. Nil means that none are known.
	LiveBoxes func() []Box
	// CountOtherFollowers returns the number of other boxes that follow the store.
	CountOtherFollowers func() int
	// IsFollower reports whether this box has to follow the store; the others receive the state
	// from the boxes that do. Nil means that it does.
	IsFollower func() bool
	// StartRank returns how many other boxes read the store before this one when all boxes have
	// just started without any state. It is called once the list of boxes is known. Nil means
	// none.
	StartRank func() int
	// LiveAhead returns how many of the boxes of a lower start rank are alive and reach the store.
	// Nil means none.
	LiveAhead func() int
	// FullReadStarted is called when a read of all endpoints starts. It may be nil.
	FullReadStarted func(reason FullReadReason)
	// StoreLost is called with true when the store calls of this box begin to fail, and with false
	// when they succeed again. IsStoreLostElsewhere reports whether those of another box fail.
	StoreLost            func(lost bool)
	IsStoreLostElsewhere func() bool
	// FirstStart is set if the settings say that no box of the fleet has run before.
	FirstStart bool
	// FirstStartConfirmed is called if so, and the store has no row of this box. It may be nil.
	FirstStartConfirmed func()
	// MaxLeavingDelay is the longest time for which an endpoint that leaves may still receive new
	// work; 0 means defaultMaxLeavingDelay.
	MaxLeavingDelay time.Duration
	// Quarantine holds the requests under which endpoints ended. Nil means that none are recorded.
	Quarantine *quarantine.Ledger

	// quarantineSignal has a value while the quarantine has changes to write. Its capacity is 1.
	quarantineSignal chan struct{}
	quarantineOnce   sync.Once
	// boxListSignal is closed once the list of boxes was read.
	boxListSignal chan struct{}
	boxListOnce   sync.Once
	// restoreSignal has a value after the store was restored. Its capacity is 1.
	restoreSignal chan struct{}
	restoreOnce   sync.Once
	// peerPolls counts the polls of other boxes.
	peerPolls atomic.Int64
	catalog   atomic.Pointer[route.Catalog]
	directory atomic.Pointer[route.Directory]
	// orders is nil until the orders are known.
	orders atomic.Pointer[route.Orders]

	mu sync.Mutex
	// content is the accepted form of the catalog.
	content []byte
	entries entryTable
	// changedIDs are the IDs of the entries that changed since the directory was last published.
	// pendingChanges are the changes of the directory that TakeChanges has not returned yet.
	changedIDs []string
	// summaryOnly suppresses the log line per endpoint while many entries are merged; one line then
	// logs their number.
	summaryOnly bool
	// ignoredOutdated counts the entries of a read that were ignored as outdated although they
	// differ from the known ones.
	ignoredOutdated int
	pendingChanges  []route.Change
	// knowledge records up to which version the entries are known, from own polls or from peers.
	knowledge route.Knowledge
	// missing records updates that this box lacks and that no peer could supply so far.
	missing missingUpdates
	// newestVersion is the highest version of an entry. digest covers the entries that the store
	// lists.
	newestVersion epoch.Version
	digest        uint64
	// divergence tracks what to do about a peer that reports another digest.
	divergence divergence
	// storeLost is set while this box's calls of the store fail; storeLostChangedAt is when that
	// last changed.
	storeLost          bool
	storeLostChangedAt time.Time
	// inGrace are the IDs of the entries in their grace period.
	inGrace map[string]struct{}
	// held maps the entries that are Held to the time at which that ends.
	held map[string]time.Time
	// readVersion is the newest version of this box's own reads of the endpoints, declaredVersion
	// that of its reads of the declared state. 0 means that there was none.
	readVersion, declaredVersion epoch.Version
	// departures are the endpoints that stated in a response that they leave, by ID. departureSeq
	// numbers the changes of the map.
	departures   map[string]departure
	departureSeq uint64
	// boxesRead is set once the list of boxes was read.
	boxesRead bool
	// firstListTime is how long the call took that did so.
	firstListTime time.Duration
	// rejectedBoxes maps boxes with a malformed row to the version of that row, so that each
	// version is logged once.
	rejectedBoxes map[string]epoch.Version
	// failedAt is when a call about the endpoints last failed, recoveredAt when the first poll of
	// any box after that failure was recorded, and outageSince the last poll before it.
	failedAt, recoveredAt, outageSince time.Time
	// lastPollAt and previousPollAt are the times of the last two known polls of the endpoints by
	// any box.
	lastPollAt, previousPollAt time.Time
	// currentAt is the time as of which this box knows the endpoints that the store lists: when its own
	// last successful read of them began, or when it received what a later one of another box returned.
	currentAt time.Time
}

const (
	// minCatalogPollTimeout and maxCatalogPollTimeout bound how long one call waits for a new
	// configuration. The timeout grows by catalogPollTimeoutPerBox for each other box that follows
	// the store, as each of them informs the others. A call that hangs in an outage is noticed
	// when it times out: of all boxes, the first notices within a few hundred milliseconds, and a
	// new version has to be in force within two seconds. The maximum with its jitter is shorter
	// than the 20 s of history that a store keeps.
	minCatalogPollTimeout    = 1500 * time.Millisecond
	catalogPollTimeoutPerBox = 250 * time.Millisecond
	maxCatalogPollTimeout    = 15 * time.Second
	// Both are fractions of MaxLeavingDelay. After a poll by any box, no box polls again for
	// minPollFraction; the boxes spread their next polls over pollJitterFraction, and mostly one of
	// them polls and informs the others. Together they bound the time between two polls and leave
	// two fifths for informing the others.
	minPollFraction    = 0.2
	pollJitterFraction = 0.4
	// defaultMaxLeavingDelay is used if MaxLeavingDelay is 0.
	defaultMaxLeavingDelay = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with each
	// failure. The maximum grows by retryDelayPerBox for each other box that follows the store, up
	// to maxFleetRetryDelay, as the first box that reads again informs the others.
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 800 * time.Millisecond
	retryDelayPerBox   = 80 * time.Millisecond
	maxFleetRetryDelay = 5 * time.Second
	// boxesInterval is the mean time between two reads of the list of boxes.
	boxesInterval = 10 * time.Second
	// boxesIntervalPerBox is added for each other box that follows the store: a new box announces
	// itself to all the boxes that it finds, so these learn nothing new from the list.
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

// Catalog returns the configuration in force, or nil if there is none.
func (r *Registry) Catalog() *route.Catalog { return r.catalog.Load() }

// Directory returns the known endpoints, or nil if nothing is known yet.
func (r *Registry) Directory() *route.Directory { return r.directory.Load() }

// Content returns the accepted form of the configuration in force.
func (r *Registry) Content() (version uint64, content []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.catalog.Load(); current != nil {
		return current.Version, r.content
	}
	return 0, nil
}

// backoff doubles the delay between failed calls.
type backoff struct {
	failures int
	// countOtherFollowers returns the number of other boxes that follow the store.
	countOtherFollowers func() int
}

func (b *backoff) wait(ctx context.Context) error {
	maxDelay := min(max(maxRetryDelay, retryDelayPerBox*time.Duration(b.countOtherFollowers())), maxFleetRetryDelay)
	delay := min(minRetryDelay<<min(b.failures, 6), maxDelay)
	b.failures++
	return interval.Wait(ctx, interval.Jittered(delay))
}

func (b *backoff) reset() { b.failures = 0 }

// followEndpoints polls the endpoints until the context ends.
func (r *Registry) followEndpoints(ctx context.Context) error {
	retry := backoff{countOtherFollowers: r.CountOtherFollowers}
	full := false
	for r.awaitFollow(ctx, r.Directory() != nil, r.needsOwnRead) == nil {
		since := r.Position()
		full = full || since == 0 || r.isDivergent(time.Now())
		if full {
			r.reportFullRead(since, retry.failures)
		}
		began := time.Now()
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
		ignoredOutdated := r.applyRead(entries, since, version, full, time.Now())
		r.recordCurrent(began)
		if (full && since > 0) || version < since {
			r.Log.Info("endpoints read from another version",
				zap.Stringer("Since", since),
				zap.Stringer("Version", version),
				zap.Bool("Whole", full),
				zap.Int("Entries", len(entries)),
				zap.Int("PassedOver", ignoredOutdated))
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

// awaitNextPoll waits until no box has polled the endpoints for a while.
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

// RecordPeerPoll records that another box polled the endpoints and sent the result.
func (r *Registry) RecordPeerPoll() {
	now := time.Now()
	r.peerPolls.Add(1)
	r.recordEndpointsRead(now)
	r.recordCurrent(now)
}

// recordCurrent records that the endpoints are known as of a time.
func (r *Registry) recordCurrent(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.currentAt) {
		r.currentAt = at
	}
}

// CurrentAt returns the time as of which this box knows the endpoints that the store lists; zero if it
// does not know them. What another box read counts from its arrival, which is later by the time that
// the read and the messages took.
func (r *Registry) CurrentAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentAt
}

func (r *Registry) maxLeavingDelay() time.Duration {
	return cmp.Or(r.MaxLeavingDelay, defaultMaxLeavingDelay)
}

// Position returns the version up to which all changes of the endpoints are known here.
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
