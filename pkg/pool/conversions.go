package pool

import (
	"math"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/share"
)

// waitingScale turns a mean number of waiting requests into the whole halves
// that peers are told.
const waitingScale = 2

// State is the account that peers are told. Amounts are whole weighted tokens,
// rounded down, so that a total never falls.
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

// Hear applies a peer's account. The first word after a start or a silence tells
// where customers stand; the later ones tell of service given since.
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

// Addresses are the endpoints' addresses by name.
func (s *Schedule) Addresses() map[string]string {
	addresses := make(map[string]string, len(s.endpoints))
	for name, endpoint := range s.endpoints {
		addresses[name] = endpoint.Address
	}
	return addresses
}
