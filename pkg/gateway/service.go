package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/interval"
)

// shown bounds the customers that a box tells of in a second, for each group of
// engines: a pool has a few large ones, and the line has to stay cheap at hundreds of
// boxes.
const maxReportedCustomers = 6

// turnedHere is what a box refused of one customer without asking, in tokens.
type localRefusals struct {
	// share is what was beyond the customer's share, and busy what an overloaded box
	// did not take.
	overShare, overloaded float64
}

// customerService is what a box knows of one customer's second.
type customerService struct {
	dispatch.CustomerTally
	localRefusals
}

// noteTurnedHere books a refusal of this box's own. The lock is held.
func (s *scheduler) recordLocalRefusal(customer string, tokens float64, why dispatch.Admission) {
	if s.localRefusals == nil {
		s.localRefusals = map[string]*localRefusals{}
	}
	one := s.localRefusals[customer]
	if one == nil {
		one = &localRefusals{}
		s.localRefusals[customer] = one
	}
	if why == dispatch.RefusedOverShare {
		one.overShare += tokens
	} else {
		one.overloaded += tokens
	}
}

// takeServices returns what this box knows since it was last called of the customers
// that were refused something, with those that got most, so that the two can be
// compared; none where nothing was refused.
func (s *scheduler) takeServices() []customerService {
	s.mu.Lock()
	tallies, here := s.pool.TakeTallies(), s.localRefusals
	s.localRefusals = nil
	s.mu.Unlock()
	refused := len(here) > 0
	var services []customerService
	for _, t := range tallies {
		one := customerService{CustomerTally: t}
		if own := here[t.Customer]; own != nil {
			one.localRefusals = *own
			delete(here, t.Customer)
		}
		refused = refused || t.Refused() > 0
		services = append(services, one)
	}
	if !refused {
		return nil
	}
	for customer, own := range here {
		services = append(services, customerService{dispatch.CustomerTally{Customer: customer}, *own})
	}
	slices.SortFunc(services, func(a, b customerService) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Customer, b.Customer))
	})
	return services[:min(maxReportedCustomers, len(services))]
}

// weight ranks a customer among those of a second.
func (c *customerService) weight() float64 { return c.Requested + c.overShare + c.overloaded }

// reportServices logs, each second in which something is refused, what the customers
// that ask for most asked for and got.
func (g *Gateway) reportServices(ctx context.Context) error {
	interval.Every(ctx, time.Second, func() {
		for _, s := range g.schedulers() {
			for _, one := range s.takeServices() {
				s.logService(&one)
			}
		}
	})
	return nil
}

// logService writes the line that `quayctl shares` reads.
func (s *scheduler) logService(one *customerService) {
	s.log.Info("customer's service",
		zap.String("Service", s.groupName),
		zap.String("Customer", one.Customer),
		zap.Int64("Asked", int64(one.Requested)),
		zap.Int64("TurnedShare", int64(one.overShare)),
		zap.Int64("TurnedBusy", int64(one.overloaded)),
		zap.Int64("Hopeless", int64(one.RefusedOnArrival)),
		zap.Int64("Turned", int64(one.RefusedAfterWait)),
		zap.Int64("Withdrawn", int64(one.Withdrawn)),
		zap.Int64("Granted", int64(one.Granted)),
		zap.Int64("GivenBack", int64(one.Refunded)),
		zap.Int64("Begun", int64(one.Begun)),
		zap.Int64("Answered", int64(one.Answered)))
}
