package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/route"
)

// A box knows whether a service has had only one release by what it last heard, and is not told at
// once that it no longer hears anything. So the two sides of a stream that is taken up keep apart:
// no box begins streams at a release that joined the only one before releaseSettleTime has passed
// since it learnt of it, and none takes a release for the only one by what is older than maxNewsAge.
const (
	// maxNewsAge is the maximum age of what a box knows when it takes a release for the only one. Boxes
	// poll the endpoints at least every one or two seconds, and send each other heartbeats.
	maxNewsAge = peerTimeout
	// maxNewsDelay bounds the time that news may take from the store or another box to this one,
	// calls of a slow store and several boxes in between included.
	maxNewsDelay      = 1500 * time.Millisecond
	releaseSettleTime = maxNewsAge + maxNewsDelay
)

// knowsReleases reports whether this box knows all releases at which other boxes can have begun
// streams.
func (g *Gateway) knowsReleases(now time.Time) bool {
	if g.continuations.pauses.isRecent(now) || !g.fleet.IsInTouch() {
		return false
	}
	since := now.Add(-maxNewsAge)
	return g.registry.CurrentAt().After(since) || g.fleet.HearsMost(since)
}

// settledRelease returns the release at which a stream that may be resumed has to begin while all
// others are news. Where none of its endpoints may serve the request, it may begin at any.
func (c *call) settledRelease() (release string, isHeld bool) {
	if !c.route.Resumable {
		return "", false
	}
	g := c.gateway
	release, isHeld = g.continuations.releases.Settled(c.service.Name, releaseSettleTime, time.Now())
	if !isHeld || g.rollouts.forbids(&route.Endpoint{Service: c.service.Name, Release: release}) {
		return "", false
	}
	isServed := false
	g.registry.Directory().Each(c.service.Name, func(e *route.Endpoint) bool {
		isServed = e.Release == release && e.Admits() && !slices.Contains(c.excluded, e.ID) &&
			(len(c.zones) == 0 || slices.Contains(c.zones, e.Zone))
		return !isServed
	})
	return release, isServed
}

// mayRunAt reports whether an attempt may run at a release. A dispatcher may grant an endpoint that joined
// after it was asked, and the directory holds it before its release is recorded.
func (c *call) mayRunAt(release string) bool {
	if c.begunAt.Exact || !c.route.Resumable {
		return c.begunAt.Admits(release)
	}
	if settled, isHeld := c.settledRelease(); isHeld {
		return release == settled
	}
	return c.gateway.continuations.releases.Runs(c.service.Name, release)
}

const (
	// maxPause is the time without a check after which a process is taken to have stood still. What
	// then waits on its connections may be that much older than it seems.
	maxPause = maxNewsDelay
	// pauseRecovery is how long after a pause a process is taken not to have read all of that.
	pauseRecovery = time.Second
)

// pauseTracker detects that the process stood still while the machine's clock went on. It is checked
// every originInterval. The zero value is ready to use.
type pauseTracker struct {
	mu sync.Mutex
	// checkedAt is the time of the last check, and recentUntil the end of pauseRecovery.
	checkedAt, recentUntil time.Time
}

// isRecent checks for a pause, and reports whether the process stood still until less than
// pauseRecovery ago.
func (t *pauseTracker) isRecent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.checkedAt.IsZero() && now.Sub(t.checkedAt) > maxPause {
		t.recentUntil = now.Add(pauseRecovery)
	}
	if now.After(t.checkedAt) {
		t.checkedAt = now
	}
	return now.Before(t.recentUntil)
}
