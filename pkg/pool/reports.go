package pool

import "time"

// ApplyReport applies an endpoint's load report. A report of an empty queue
// proves that requests sent well before it have begun.
func (s *Schedule) ApplyReport(name string, report Report, now time.Time) {
	endpoint := s.endpoints[name]
	if endpoint == nil {
		return
	}
	endpoint.report = report
	endpoint.reportedAt = now
	endpoint.runningAtReport = endpoint.running
	endpoint.reportedLeaving = report.Leaving
	if now.After(endpoint.ejectedUntil) {
		endpoint.recordSuccess()
	}
	if report.Waiting > 0 {
		return
	}
	for t := range endpoint.unstarted {
		if !t.Streamed && now.Sub(t.sentAt) > s.rules.ReportInterval.Duration {
			s.markStarted(t)
		}
	}
}

// RecordReportFailure records that reading an endpoint's load report failed.
func (s *Schedule) RecordReportFailure(name string, now time.Time) {
	endpoint := s.endpoints[name]
	if endpoint == nil || now.Before(endpoint.ejectedUntil) {
		return
	}
	endpoint.recordFailure(now, &s.rules)
}

// SetLeaving applies the box list. The list lags, so it can only exclude
// endpoints: one that itself reports that it is leaving gets no work, whatever
// the list shows.
func (s *Schedule) SetLeaving(leaving map[string]bool) {
	for _, endpoint := range s.sortedEndpoints {
		endpoint.listedLeaving = leaving[endpoint.Address]
	}
}

// NoneAvailable reports whether every endpoint is leaving or ejected, and the
// time until the first ejected one is tried again.
func (s *Schedule) NoneAvailable(now time.Time) (wait time.Duration, none bool) {
	for _, endpoint := range s.sortedEndpoints {
		if endpoint.isAvailable(now) || endpoint.probing {
			return 0, false
		}
		if left := endpoint.ejectedUntil.Sub(now); !endpoint.isLeaving() && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return wait, true
}

// SetPeers sets the number of live routers, this one included, and the number of
// requests that the others together have waiting and running in the pool.
func (s *Schedule) SetPeers(liveRouters, peerDemand int) {
	s.liveRouters = max(1, liveRouters)
	s.peerDemand = peerDemand
}
