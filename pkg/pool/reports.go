package pool

import "time"

// Report applies an endpoint's word on its load. A report that shows an empty
// queue proves that what was sent well before it has begun.
func (s *Schedule) Report(name string, report Report, now time.Time) {
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

// ReportFailed notes that an endpoint did not answer when asked for its load.
func (s *Schedule) ReportFailed(name string, now time.Time) {
	endpoint := s.endpoints[name]
	if endpoint == nil || now.Before(endpoint.ejectedUntil) {
		return
	}
	endpoint.recordFailure(now, &s.rules)
}

// ListLeaving applies the box list's word. The list lags, so it can only take
// work away: an endpoint that says itself that it leaves stays without.
func (s *Schedule) SetLeaving(leaving map[string]bool) {
	for _, endpoint := range s.inOrder {
		endpoint.listedLeaving = leaving[endpoint.Address]
	}
}

// NoneAvailable tells that every endpoint is leaving or ejected, and how long
// until the first ejected one is tried again.
func (s *Schedule) NoneAvailable(now time.Time) (wait time.Duration, none bool) {
	for _, endpoint := range s.inOrder {
		if endpoint.isAvailable(now) || endpoint.probing {
			return 0, false
		}
		if left := endpoint.ejectedUntil.Sub(now); !endpoint.isLeaving() && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return wait, true
}

// SetPeers says how many routers live, this one included, and what the others
// together have waiting and running in the pool.
func (s *Schedule) SetPeers(liveRouters, peerDemand int) {
	s.liveRouters = max(1, liveRouters)
	s.peerDemand = peerDemand
}
