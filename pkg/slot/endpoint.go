package slot

import (
	"math"
	"slices"
	"time"
)

// Endpoint is the account of the slots of one endpoint.
type Endpoint struct {
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Times is shared by all endpoints of the service.
	Times *Times

	// grants are the requests that were granted and have not ended, in the order in which the
	// endpoint starts them.
	grants []*grant
	// slowness is the mean of the time that requests hold a slot here, relative to the expected
	// time of their routes, as of measuredAt; 0 before the first sample.
	slowness   float64
	measuredAt time.Time
	failures
	// refusedUntil is the end of a time without new requests after a refusal.
	refusedUntil time.Time
	// unqueuedUntil is until when the endpoint is assumed not to queue requests beyond its slots, and
	// unqueued the length of that time.
	unqueuedUntil time.Time
	unqueued      time.Duration
}

// grant is a request that was granted a slot.
type grant struct {
	id, route string
	// startedAt is when the endpoint had a slot for it; zero while it waits there for one.
	startedAt time.Time
	// measured is set if startedAt is known exactly enough for a sample.
	measured bool
}

const (
	// Turnaround is the time from the end of a request at an endpoint until the next one arrives
	// there: the end is reported, the dispatcher decides, the grant comes back (three ways of
	// half a millisecond between zones), and a decision waits for 2 ms on average.
	Turnaround = 5 * time.Millisecond
	// maxIdleFraction is the fraction of the time for which a slot may be idle between two
	// requests while others wait.
	maxIdleFraction = 0.05
	// extraMargin is added to the number of requests that end within Turnaround. With 1.4, slots are
	// idle for about 2% of the time if ends are independent of each other.
	extraMargin = 1.4
	// refusalPause is the time without new requests after a refusal.
	refusalPause = 50 * time.Millisecond
	// minUnqueuedTime is how long an endpoint that refused a request beyond its slots gets no more
	// than its slots. Most plain services queue some requests, and a refusal may also come from
	// the load of another dispatcher. The time doubles each time, up to maxUnqueuedTime, as a
	// refusal costs the request an attempt.
	minUnqueuedTime, maxUnqueuedTime = 10 * time.Second, 5 * time.Minute
	// minSlowness and maxSlowness bound a sample of the slowness.
	minSlowness, maxSlowness = 0.125, 8
	// slownessTTL is the time in which an endpoint without new samples is forgotten to be slow, for
	// the most part.
	slownessTTL = 3 * time.Second
)

// Busy returns the number of requests that were granted and have not ended.
func (e *Endpoint) Busy() int { return len(e.grants) }

// HasFreeSlot reports whether the endpoint can start one more request at once.
func (e *Endpoint) HasFreeSlot(now time.Time) bool {
	return len(e.grants) < e.limit() && !now.Before(e.refusedUntil) && !e.IsEjected(now)
}

// HasRoom reports whether the endpoint may get one more request, which it may queue for a short
// time.
func (e *Endpoint) HasRoom(now time.Time) bool {
	return len(e.grants) < e.limit()+e.extra(now) && !now.Before(e.refusedUntil) && !e.IsEjected(now)
}

// HasRoomDespiteFailures is HasRoom without regard to an ejection.
func (e *Endpoint) HasRoomDespiteFailures(now time.Time) bool {
	return len(e.grants) < e.limit() && !now.Before(e.refusedUntil)
}

// IsEjected reports whether the endpoint gets nothing after failures.
func (e *Endpoint) IsEjected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// EjectedUntil returns when its last ejection ends.
func (e *Endpoint) EjectedUntil() time.Time { return e.ejectedUntil }

// limit returns the number of slots that may be used.
func (e *Endpoint) limit() int {
	if e.isOnProbation() {
		return min(1, e.Slots)
	}
	return e.Slots
}

// extra returns how many requests beyond its slots the endpoint may get, so that its slots are not
// idle until the next grant arrives: as many as end within that time, and about one more as they do
// not end evenly. With requests that are far longer than that time, none are needed.
func (e *Endpoint) extra(now time.Time) int {
	if now.Before(e.unqueuedUntil) || e.isOnProbation() {
		return 0
	}
	held := e.meanTime(now)
	if Turnaround < time.Duration(maxIdleFraction*float64(held)) {
		return 0
	}
	ends := float64(e.Slots) * Turnaround.Seconds() / held.Seconds()
	return min(int(ends+extraMargin), e.Slots)
}

// Wait returns how long one more request is expected to wait at the endpoint for a slot.
func (e *Endpoint) Wait(now time.Time) time.Duration {
	ahead := len(e.grants) - e.Slots + 1
	if ahead <= 0 || e.Slots <= 0 {
		return 0
	}
	return time.Duration(ahead) * e.meanTime(now) / time.Duration(e.Slots)
}

// Expected returns how long a request of a route is expected to hold a slot here.
func (e *Endpoint) Expected(route string, now time.Time) time.Duration {
	return e.scale(e.Times.Expected(route), now)
}

// meanTime returns how long any request is expected to hold a slot here.
func (e *Endpoint) meanTime(now time.Time) time.Duration { return e.scale(e.Times.Overall(), now) }

func (e *Endpoint) scale(held time.Duration, now time.Time) time.Duration {
	return max(minTime, time.Duration(e.currentSlowness(now)*float64(held)))
}

// currentSlowness returns the slowness, which is forgotten while there is no new sample. Otherwise
// an endpoint that was slow once would get nothing, and not be measured again, as long as another
// one has a free slot.
func (e *Endpoint) currentSlowness(now time.Time) float64 {
	if e.slowness == 0 {
		return 1
	}
	age := max(0, now.Sub(e.measuredAt))
	return 1 + (e.slowness-1)*math.Exp(-age.Seconds()/slownessTTL.Seconds())
}

// Grant records that a request was granted. measured is set if the endpoint gets it now; a request
// that another dispatcher granted has run for an unknown time.
func (e *Endpoint) Grant(id, route string, measured bool, now time.Time) {
	g := &grant{id: id, route: route, measured: measured}
	if len(e.grants) < e.Slots {
		g.startedAt = now
	}
	e.grants = append(e.grants, g)
}

// Forget drops a request without an outcome, as that of a router that is gone.
func (e *Endpoint) Forget(id string, now time.Time) { e.remove(id, now) }

// End records how a request ended. Unknown requests are ignored.
func (e *Endpoint) End(id string, outcome Outcome, now time.Time) {
	exceeded := len(e.grants) > e.Slots
	g := e.remove(id, now)
	if g == nil {
		return
	}
	switch outcome.(type) {
	case Completed:
		e.Times.recordOutcome(false)
		e.recordSuccess()
		e.measure(g, now)
	case Unused:
	case Refused:
		e.recordRefusal(exceeded, now)
	case Unreachable:
		e.record(true, e.Times.failureRate, now)
	case Broken:
		// The rate before this failure: a crash must not raise its own threshold.
		e.record(false, e.Times.failureRate, now)
		e.Times.recordOutcome(true)
	}
}

// recordRefusal records that the endpoint refused a request; exceeded is set if it had more requests
// than slots, which shows only that it does not queue any.
func (e *Endpoint) recordRefusal(exceeded bool, now time.Time) {
	switch {
	case !exceeded:
		e.refusedUntil = now.Add(refusalPause)
	case !now.Before(e.unqueuedUntil):
		e.unqueued = min(max(minUnqueuedTime, 2*e.unqueued), maxUnqueuedTime)
		e.unqueuedUntil = now.Add(e.unqueued)
	}
}

// remove removes a request, and starts the next one that waits at the endpoint if it held a slot.
func (e *Endpoint) remove(id string, now time.Time) *grant {
	at := slices.IndexFunc(e.grants, func(g *grant) bool { return g.id == id })
	if at < 0 {
		return nil
	}
	removed := e.grants[at]
	e.grants = slices.Delete(e.grants, at, at+1)
	if removed.startedAt.IsZero() {
		return removed
	}
	for _, g := range e.grants {
		if g.startedAt.IsZero() {
			g.startedAt = now
			break
		}
	}
	return removed
}

// measure records how long a request held its slot.
func (e *Endpoint) measure(g *grant, now time.Time) {
	if !g.measured || g.startedAt.IsZero() {
		return
	}
	took := now.Sub(g.startedAt)
	sample := min(max(took.Seconds()/e.Times.Expected(g.route).Seconds(), minSlowness), maxSlowness)
	slowness := e.currentSlowness(now)
	e.slowness, e.measuredAt = slowness+sampleWeight*(sample-slowness), now
	e.Times.record(g.route, took)
}
