package pool

import (
	"math"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/share"
)

// waitingScale converts a mean number of waiting requests to the whole number of
// halves that is sent to peers.
const waitingScale = 2

// State returns the state of the pool that is sent to peers. Amounts are whole
// weighted tokens, rounded down, so that a total never falls.
func (s *Schedule) State(now time.Time) peer.PoolState {
	s.updateMeanWaiting(now)
	state := peer.PoolState{
		Demand:    s.Demand(),
		Customers: map[string]peer.CustomerState{},
	}
	s.Ledger.Each(func(customer string, counter *share.Counter) {
		lead := math.Max(0, s.Ledger.Lead(customer))
		account := peer.CustomerState{
			Served:  uint64(counter.Served),
			Pending: uint64(counter.Pending),
			Waiting: uint32(math.Round(counter.MeanWaiting * waitingScale)),
			Lead:    uint64(lead),
		}
		if account != (peer.CustomerState{}) {
			state.Customers[customer] = account
		}
	})
	return state
}

// HandleUpdate applies a peer's state of the pool. The first one after a start or
// a lost session carries the customers' positions; later ones carry the service
// given since.
func (s *Schedule) HandleUpdate(incarnation uint64, update peer.PoolState, first bool) {
	for customer, reported := range update.Customers {
		service := share.PeerService{
			Served:      float64(reported.Served),
			Pending:     float64(reported.Pending),
			MeanWaiting: float64(reported.Waiting) / waitingScale,
		}
		if first {
			s.Ledger.Resync(incarnation, customer, service, float64(reported.Lead))
			continue
		}
		s.Ledger.Merge(incarnation, customer, service)
	}
}

// Addresses returns the endpoints' addresses by name.
func (s *Schedule) Addresses() map[string]string {
	addresses := make(map[string]string, len(s.endpoints))
	for name, endpoint := range s.endpoints {
		addresses[name] = endpoint.Address
	}
	return addresses
}
