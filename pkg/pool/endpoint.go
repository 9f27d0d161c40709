package pool

import (
	"time"

	"github.com/quaylead/quaylead/pkg/settings"
)

// Report is an endpoint's report of its own load. It is always somewhat outdated,
// and therefore only a hint.
type Report struct {
	// Running and Waiting are the requests in its slots and in its queue.
	Running int
	Waiting int
	// Slots is the number of requests it can run; 0 means not reported.
	Slots int
	// Leaving is set when it takes no new work.
	Leaving bool
}

// Endpoint is one server of a pool as this router sees it.
type Endpoint struct {
	Name string
	settings.Endpoint

	// running counts this router's requests there, and slow those of them that
	// are not of a quick class. 0 <= slow <= running.
	running int
	slow    int
	// unstarted holds the requests without a sign that they have begun; they may
	// wait in the endpoint's own queue. Each of them counts as running.
	unstarted map[*Ticket]struct{}

	// report is the endpoint's last load report, reportedAt is when it was
	// received, and runningAtReport is what this router had running there then.
	report          Report
	reportedAt      time.Time
	runningAtReport int
	// reportedLeaving is set by the endpoint itself, listedLeaving by the box
	// list.
	reportedLeaving bool
	listedLeaving   bool
	// failures counts consecutive failures. ejections is 0 while the endpoint is
	// in use and counts consecutive ejections otherwise.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// probing is set while one request tests an endpoint that was ejected.
	probing bool
}

// maxEjectDoublings bounds how long an endpoint that keeps failing is ejected.
const maxEjectDoublings = 4

// maxReportAge is how long a load report is used. After that, only this router's
// own requests are counted.
const maxReportAge = 3 * time.Second

// isLeaving reports whether the endpoint must get no new work. Its own report,
// the box list and the settings each suffice.
func (e *Endpoint) isLeaving() bool {
	return e.reportedLeaving || e.listedLeaving || e.Leaving
}

// isAvailable reports whether the endpoint may be given work at all.
func (e *Endpoint) isAvailable(now time.Time) bool {
	if e.isLeaving() {
		return false
	}
	if e.ejections == 0 {
		return true
	}
	return now.After(e.ejectedUntil) && !e.probing
}

// otherRequests estimates the requests of other routers at the endpoint.
func (e *Endpoint) otherRequests(now time.Time) int {
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > maxReportAge {
		return 0
	}
	return max(0, e.report.Running+e.report.Waiting-e.runningAtReport)
}

// load estimates the fraction of its slots in use; above 1 means a queue.
func (e *Endpoint) load(now time.Time) float64 {
	return float64(e.running+e.otherRequests(now)) / float64(e.Slots)
}

// recordFailure counts a failure and ejects the endpoint after too many in a row,
// or at once if it was ejected before and has not succeeded since.
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

// recordSuccess ends a series of failures.
func (e *Endpoint) recordSuccess() {
	e.failures = 0
	e.ejections = 0
	e.probing = false
}
