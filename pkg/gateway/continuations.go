package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/membership"
	"github.com/quaylead/quaylead/pkg/partition"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/route"
)

// continuations remembers at which release each stream began, so that its caller can take it up at
// any box after its connection or this box broke. While a service has only one release, nothing is
// sent for that.
type continuations struct {
	gateway  *Gateway
	log      *zap.Logger
	releases continuation.Releases
	// origins are those of this box's streams, and those that other boxes sent.
	origins continuation.Origins
	// maxAge is the longest time in nanoseconds that a stream can be in progress or taken up after
	// it began.
	maxAge atomic.Int64

	mu sync.Mutex
	// live are the streams in progress at this box.
	live map[*call]*liveStream
	// links are the streams to boxes that this one notifies of origins, by box.
	links map[string]*originLink
	// avoided are the boxes to which links failed, with the time until which none is opened.
	avoided map[string]time.Time
	// summary is the last one computed, at summaryAt.
	summary   continuation.Summary
	summaryAt time.Time
	// expiredAt is when expired origins were last removed.
	expiredAt time.Time
	// pauses detects that this process stood still.
	pauses pauseTracker
}

// liveStream is a stream in progress, of which callers may have received events.
type liveStream struct {
	origin  continuation.Origin
	service string
	// group is the group of engines that runs it; nil for plain services that are not queued.
	group *scheduler
	// notified are the incarnations of the boxes that were notified of its origin.
	notified map[uint64]bool
}

const (
	// replicaCount is the number of boxes that are notified of the origin of each stream, besides the one
	// that serves it. Kills in a row leave a copy, as the others are notified when the replicas change.
	replicaCount = 2
	// takeUpSlack is how much longer than its deadline a stream may be taken up.
	takeUpSlack = 2 * time.Second
	// minStreamAge is the lower bound of continuations.maxAge.
	minStreamAge = time.Minute
	// originInterval is the time between two checks of whether the replicas changed.
	originInterval = 250 * time.Millisecond
	// expiryInterval is the time between two removals of expired origins.
	expiryInterval = 5 * time.Second
	// maxSummaryAge bounds the age of the cached summary of releases.
	maxSummaryAge = 10 * time.Second
)

// configure applies a new catalog: a stream may have begun as long ago as any route allows.
func (k *continuations) configure(catalog *route.Catalog) {
	longest := minStreamAge
	for i := range catalog.Routes {
		if r := &catalog.Routes[i]; r.Resumable {
			timeout := r.Timeout
			if timeout <= 0 {
				timeout = maxRequestTimeout
			}
			longest = max(longest, timeout+takeUpSlack)
		}
	}
	k.maxAge.Store(int64(longest))
}

// confirmFirstStart records that no box of the fleet ran before this one.
func (g *Gateway) confirmFirstStart() {
	g.continuations.releases.StartFirst(time.Now())
	g.exchange.SendSoon()
}

// soleRelease returns the release of a service if every stream in progress must have begun at it.
func (k *continuations) soleRelease(service string, now time.Time) (release string, isSole bool) {
	release, isOnly, isComplete := k.releases.Only(service, time.Duration(k.maxAge.Load()), now)
	return release, isOnly && isComplete
}

// begin records the release that sent the first event of a stream.
func (k *continuations) begin(c *call, to *destination) {
	now := time.Now()
	left := min(max(c.remaining(), 0), continuation.MaxLifetime)
	stream := &liveStream{
		origin:  continuation.Origin{Key: c.streamKey(), Release: to.Release, Expires: now.Add(left + takeUpSlack)},
		service: c.service.Name,
		group:   to.group,
	}
	k.origins.Add(stream.origin)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.live == nil {
		k.live = map[*call]*liveStream{}
	}
	k.live[c] = stream
	k.notify(stream, now, map[*scheduler][]continuation.Box{})
}

// end records that a stream is no longer in progress here. Its origin is kept, as it may be taken
// up.
func (k *continuations) end(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.live, c)
}

// notify sends the origin of a stream to its replicas, unless they know it or the service has only
// one release. replicas caches those of each group. The lock is held.
func (k *continuations) notify(stream *liveStream, now time.Time, replicas map[*scheduler][]continuation.Box) {
	if _, isSole := k.soleRelease(stream.service, now); isSole {
		return
	}
	boxes, found := replicas[stream.group]
	if !found {
		boxes = continuation.Replicas(k.gateway.rankedBoxes(stream.group, stream.service), replicaCount)
		if stream.group != nil {
			replicas[stream.group] = boxes
		}
	}
	if stream.notified == nil {
		stream.notified = map[uint64]bool{}
	}
	for _, box := range boxes {
		incarnation := k.gateway.fleet.IncarnationOf(box.Name)
		if !stream.notified[incarnation] && k.send(box.Name, incarnation, stream.origin, now) {
			stream.notified[incarnation] = true
			k.gateway.Metrics.OriginNotified()
		}
	}
}

// refresh sends the origins of the streams in progress to boxes that have become their replicas, and
// drops expired origins.
func (k *continuations) refresh() {
	now := time.Now()
	replicas := map[*scheduler][]continuation.Box{}
	k.pauses.isRecent(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.expiredAt) >= expiryInterval {
		k.expiredAt = now
		k.origins.Expire(now)
		k.gateway.Metrics.OriginsHeld(k.origins.Len())
	}
	for _, stream := range k.live {
		k.notify(stream, now, replicas)
	}
}

// currentSummary returns what other boxes have to know of the releases. Its times may be up to
// maxSummaryAge old, by which a release seems to have been seen later than it was.
func (k *continuations) currentSummary() continuation.Summary {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.summary.Version != k.releases.Version() || now.Sub(k.summaryAt) > maxSummaryAge {
		k.summary, k.summaryAt = k.releases.Summary(now), now
	}
	return k.summary
}

// rankedBoxes returns the other boxes that are alive, in the order in which they may dispatch for a
// group or, for a plain service without one, for the service.
func (g *Gateway) rankedBoxes(group *scheduler, service string) (boxes []continuation.Box) {
	var ranking []partition.Ranked
	if group != nil {
		group.mu.Lock()
		ranking = group.rank()
		group.mu.Unlock()
	} else {
		own := membership.Candidate{Name: g.Settings.Name}
		ranking = partition.Rank(partition.GroupName(service, 0), own, g.fleet.Candidates(time.Now()))
	}
	for _, ranked := range ranking {
		if ranked.Alive && ranked.Name != g.Settings.Name {
			boxes = append(boxes, continuation.Box{Name: ranked.Name, Zone: ranked.Zone})
		}
	}
	return boxes
}

// AddOrigins records the origins of another box.
func (g *Gateway) AddOrigins(origins []continuation.Origin) {
	for _, origin := range origins {
		g.continuations.origins.Add(origin)
	}
}

// FindOrigin answers another box that asks which release began a stream.
func (g *Gateway) FindOrigin(key continuation.Key, service string) (answer peer.OriginAnswer) {
	now := time.Now()
	if answer.Release, answer.Known = g.continuations.origins.Find(key, now); answer.Known {
		return answer
	}
	if release, isSole := g.continuations.soleRelease(service, now); isSole && g.knowsReleases(now) {
		return peer.OriginAnswer{Only: true, Release: release}
	}
	return answer
}
