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

// maxReportedCustomers bounds the customers that a box logs each second for each group of
// engines: a pool has a few large ones, and the log has to stay small with hundreds of boxes.
const maxReportedCustomers = 12

// localRefusals counts the tokens that a box refused one customer without asking the dispatcher.
type localRefusals struct {
	// overShare was refused because the customer is over its share, overloaded because the box is
	// overloaded, and starting because too many requests there have not begun.
	overShare, overloaded, starting float64
}

// customerReport is what a box recorded of one customer in a second.
type customerReport struct {
	dispatch.CustomerTally
	localRefusals
}

// recordLocalRefusal records a refusal without the dispatcher. The caller holds the lock.
func (s *scheduler) recordLocalRefusal(customer string, tokens float64, admission dispatch.Admission) {
	if s.localRefusals == nil {
		s.localRefusals = map[string]*localRefusals{}
	}
	one := s.localRefusals[customer]
	if one == nil {
		one = &localRefusals{}
		s.localRefusals[customer] = one
	}
	switch admission {
	case dispatch.RefusedOverShare:
		one.overShare += tokens
	case dispatch.RefusedStarting:
		one.starting += tokens
	default:
		one.overloaded += tokens
	}
}

// takeCustomerReports returns what was recorded since the last call for the customers with the
// largest demand, in order to compare those that were refused something with the others. It
// returns none if nothing was refused.
func (s *scheduler) takeCustomerReports() []customerReport {
	s.mu.Lock()
	tallies, refusals := s.pool.TakeTallies(), s.localRefusals
	s.localRefusals = nil
	s.mu.Unlock()
	refused := len(refusals) > 0
	var reports []customerReport
	for _, t := range tallies {
		one := customerReport{CustomerTally: t}
		if own := refusals[t.Customer]; own != nil {
			one.localRefusals = *own
			delete(refusals, t.Customer)
		}
		refused = refused || t.Refused() > 0
		reports = append(reports, one)
	}
	if !refused {
		return nil
	}
	for customer, own := range refusals {
		reports = append(reports, customerReport{dispatch.CustomerTally{Customer: customer}, *own})
	}
	slices.SortFunc(reports, func(a, b customerReport) int {
		return cmp.Or(cmp.Compare(b.demand(), a.demand()), cmp.Compare(a.Customer, b.Customer))
	})
	return reports[:min(maxReportedCustomers, len(reports))]
}

// demand returns the tokens of all of the customer's requests.
func (c *customerReport) demand() float64 {
	return c.Requested + c.overShare + c.overloaded + c.starting
}

// reportCustomers logs, for each second in which something is refused, what the customers with
// the largest demand requested and got.
func (g *Gateway) reportCustomers(ctx context.Context) error {
	interval.Every(ctx, time.Second, func() {
		for _, s := range g.schedulers() {
			for _, one := range s.takeCustomerReports() {
				s.logCustomer(&one)
			}
			s.reportTransfers()
		}
	})
	return nil
}

// logCustomer writes the line that `quayctl shares` reads.
func (s *scheduler) logCustomer(one *customerReport) {
	s.log.Info("customer's service",
		zap.String("Service", s.groupName),
		zap.String("Customer", one.Customer),
		zap.Int64("Asked", int64(one.Requested)),
		zap.Int64("TurnedShare", int64(one.overShare)),
		zap.Int64("TurnedBusy", int64(one.overloaded)),
		zap.Int64("TurnedStarting", int64(one.starting)),
		zap.Int64("Hopeless", int64(one.RefusedOnArrival)),
		zap.Int64("Turned", int64(one.RefusedAfterWait)),
		zap.Int64("Unplaced", int64(one.Unplaced)),
		zap.Int64("Withdrawn", int64(one.Withdrawn)),
		zap.Int64("Granted", int64(one.Granted)),
		zap.Int64("GivenBack", int64(one.Refunded)),
		zap.Int64("Begun", int64(one.Begun)),
		zap.Int64("Answered", int64(one.Completed)),
		zap.Int64("GrantedElsewhere", int64(one.OtherGroups.Granted)),
		zap.Int64("Counted", int64(one.Counted)))
}
