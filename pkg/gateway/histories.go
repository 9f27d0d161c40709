package gateway

import (
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

// histories are what this box's requests of one service asked for and were granted of late,
// over all groups. It is told with each request, so that a box that dispatches for one group
// knows what a customer gets in the others.
type histories struct {
	mu             sync.Mutex
	asked, granted dispatch.History
}

func newHistories(window time.Duration) *histories {
	return &histories{asked: dispatch.History{Window: window}, granted: dispatch.History{Window: window}}
}

func (h *histories) ask(ask *dispatch.Request, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked.Grant(ask, now)
}

func (h *histories) grant(ask *dispatch.Request, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granted.Grant(ask, now)
}

func (h *histories) refund(ask *dispatch.Request, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granted.Refund(ask, now)
}

// sum is of one customer.
func (h *histories) sum(customer string, now time.Time) dispatch.OtherGroupUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return dispatch.OtherGroupUsage{Requested: h.asked.Granted(customer, now), Granted: h.granted.Granted(customer, now)}
}

// noteAsked books a request, with what its customer has of the other groups. The lock is held.
func (s *scheduler) recordAsk(ask *dispatch.Request, now time.Time) {
	ask.BoxHash = s.boxHash
	if s.groupCount <= 1 {
		return
	}
	all := s.poolHistories.sum(ask.Customer, now)
	own := dispatch.OtherGroupUsage{Requested: s.requested.Granted(ask.Customer, now), Granted: s.granted.Granted(ask.Customer, now)}
	ask.OtherGroupUsage = dispatch.OtherGroupUsage{Requested: max(0, all.Requested-own.Requested), Granted: max(0, all.Granted-own.Granted)}
	s.poolHistories.ask(ask, now)
	s.requested.Grant(ask, now)
}
