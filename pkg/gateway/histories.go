package gateway

import (
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// histories records the costs of this box's requests to one service, and of those that were
// granted, within the share window and over all groups. Each request carries what its customer
// used of the other groups, because the dispatcher of one group does not see their requests.
type histories struct {
	mu                 sync.Mutex
	requested, granted dispatch.History
}

func newHistories(window time.Duration) *histories {
	return &histories{requested: dispatch.History{Window: window}, granted: dispatch.History{Window: window}}
}

func (h *histories) recordRequest(req *dispatch.Request, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requested.Grant(req, now)
}

func (h *histories) recordGrant(req *dispatch.Request, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granted.Grant(req, now)
}

func (h *histories) recordRefund(req *dispatch.Request, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granted.Refund(req, now)
}

// totals returns the sums of one customer.
func (h *histories) totals(customer string, now time.Time) dispatch.OtherGroupUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return dispatch.OtherGroupUsage{Requested: h.requested.RecentTotal(customer, now), Granted: h.granted.RecentTotal(customer, now)}
}

// recordRequest records a request, and sets in it what its customer requested and was granted in
// the other groups. The caller holds the lock.
func (s *scheduler) recordRequest(req *dispatch.Request, now time.Time) {
	req.BoxHash = s.boxHash
	if s.groupCount <= 1 {
		return
	}
	all := s.poolHistories.totals(req.Customer, now)
	own := dispatch.OtherGroupUsage{Requested: s.requested.RecentTotal(req.Customer, now), Granted: s.granted.RecentTotal(req.Customer, now)}
	req.OtherGroupUsage = dispatch.OtherGroupUsage{Requested: max(0, all.Requested-own.Requested), Granted: max(0, all.Granted-own.Granted)}
	s.poolHistories.recordRequest(req, now)
	s.requested.Grant(req, now)
}
