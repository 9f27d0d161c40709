package pool

import (
	"time"

	"github.com/quaylead/quaylead/pkg/settings"
)

// Report is what an endpoint says of its own load. It is late by nature, and
// so a hint.
type Report struct {
	// Running and Waiting are the requests in its slots and in its queue.
	Running int
	Waiting int
	// Slots is the number of requests it can run; 0 means not said.
	Slots int
	// Leaving tells that it takes no new work.
	Leaving bool
}

// Endpoint is one server of a pool as this router sees it.
type Endpoint struct {
	Name string
	settings.Endpoint

	// running are this router's requests there, and slow those of them that are
	// of no quick class. 0 <= slow <= running.
	running int
	slow    int
	// unstarted are the requests that have shown no sign of having begun; they
	// may wait in the endpoint's own queue. Each of them is running.
	unstarted map[*Ticket]struct{}

	// report is the endpoint's last word on its load, reportedAt when it came,
	// and runningAtWord what this router had running there then.
	report          Report
	reportedAt      time.Time
	runningAtReport int
	// saysLeaving is the endpoint's own word, listedLeaving the box list's.
	reportedLeaving bool
	listedLeaving   bool
	// failures counts those in a row; ejections is 0 while the endpoint is in use
	// and counts the ejections in a row otherwise.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// probing is set while one request tries an endpoint that was ejected.
	probing bool
}

// maxEjectDoublings bounds how long an endpoint that keeps failing stays out.
const maxEjectDoublings = 4

// reportAge is how long a load report counts; after it, only this router's own
// requests are known.
const maxReportAge = 3 * time.Second

// leaving tells whether the endpoint must get no new work. Its own word, the
// box list and the settings each suffice.
func (e *Endpoint) isLeaving() bool {
	return e.reportedLeaving || e.listedLeaving || e.Leaving
}

// available tells whether the endpoint may be given work at all.
func (e *Endpoint) isAvailable(now time.Time) bool {
	if e.isLeaving() {
		return false
	}
	if e.ejections == 0 {
		return true
	}
	return now.After(e.ejectedUntil) && !e.probing
}

// others estimates the requests of other routers at the endpoint.
func (e *Endpoint) otherRequests(now time.Time) int {
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > maxReportAge {
		return 0
	}
	return max(0, e.report.Running+e.report.Waiting-e.runningAtReport)
}

// load is the estimated part of its slots in use; above 1 means a queue.
func (e *Endpoint) load(now time.Time) float64 {
	return float64(e.running+e.otherRequests(now)) / float64(e.Slots)
}

// fail counts a failure and ejects the endpoint after too many in a row, or at
// once if it was being probed.
func (e *Endpoint) recordFailure(now time.Time, rules *settings.Pool) {
	e.failures++
	e.probing = false
	if e.failures < rules.EjectAfter && e.ejections == 0 {
		return
	}
	doublings := min(e.ejections, maxEjectDoublings)
	e.ejections++
	e.ejectedUntil = now.Add(rules.EjectFor.Duration << doublings)
}

// succeed ends a row of failures.
func (e *Endpoint) recordSuccess() {
	e.failures = 0
	e.ejections = 0
	e.probing = false
}
