package peer

import (
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// encodeOrders encodes the operator's orders.
func encodeOrders(orders *route.Orders, now time.Time) *peerpb.Orders {
	return &peerpb.Orders{
		Version:       uint64(orders.Version),
		Evacuated:     orders.Evacuated,
		Rollouts:      encodeRolloutOrders(orders.Rollouts, now),
		KeptEvacuated: orders.Kept.Evacuated,
		KeptRollouts:  encodeRolloutOrders(orders.Kept.Rollouts, now),
		KeptFor:       max(0, orders.KeptUntil.Sub(now)).Microseconds(),
	}
}

func encodeRolloutOrders(orders []rollout.Order, now time.Time) (messages []*peerpb.Rollout) {
	for _, order := range orders {
		messages = append(messages, &peerpb.Rollout{
			Service: order.Service,
			Target:  order.Target,
			Version: uint64(order.Version),
			Within:  order.Within.Microseconds(),
			Age:     now.Sub(order.SeenAt).Microseconds(),
		})
	}
	return messages
}

// DecodeOrders decodes the operator's orders received at a time.
func DecodeOrders(message *peerpb.Orders, now time.Time) route.Orders {
	orders := route.Orders{
		Version:   epoch.Version(message.Version),
		Evacuated: message.Evacuated,
		Rollouts:  decodeRolloutOrders(message.Rollouts, now),
		Kept: route.KeptOrders{
			Evacuated: message.KeptEvacuated,
			Rollouts:  decodeRolloutOrders(message.KeptRollouts, now),
		},
	}
	if !orders.Kept.IsEmpty() {
		orders.KeptUntil = now.Add(time.Duration(max(0, message.KeptFor)) * time.Microsecond)
	}
	return orders
}

func decodeRolloutOrders(messages []*peerpb.Rollout, now time.Time) (orders []rollout.Order) {
	for _, order := range messages {
		orders = append(orders, rollout.Order{
			Service: order.Service,
			Target:  order.Target,
			Version: epoch.Version(order.Version),
			Within:  time.Duration(order.Within) * time.Microsecond,
			SeenAt:  now.Add(-time.Duration(max(0, order.Age)) * time.Microsecond),
		})
	}
	return orders
}

// EncodeRolloutTally encodes a box's tally of a roll-out.
func EncodeRolloutTally(order epoch.Version, routes map[string]rollout.Tally, oldRunning int) *peerpb.RolloutTally {
	message := &peerpb.RolloutTally{Order: uint64(order), OldRunning: uint32(oldRunning)}
	for name, tally := range routes {
		message.Routes = append(message.Routes, &peerpb.RouteTally{
			Route:      name,
			TargetGood: tally.TargetGood,
			TargetBad:  tally.TargetBad,
			OldGood:    tally.OldGood,
			OldBad:     tally.OldBad,
		})
	}
	return message
}

// DecodeRolloutTally decodes a box's tally of a roll-out.
func DecodeRolloutTally(message *peerpb.RolloutTally) rollout.Counts {
	counts := rollout.Counts{Routes: map[string]rollout.Tally{}, OldRunning: int(message.OldRunning)}
	for _, r := range message.Routes {
		counts.Routes[r.Route] = rollout.Tally{
			TargetGood: r.TargetGood,
			TargetBad:  r.TargetBad,
			OldGood:    r.OldGood,
			OldBad:     r.OldBad,
		}
	}
	return counts
}

func encodeRolloutVerdicts(verdicts []rollout.VerdictReport) (messages []*peerpb.RolloutWord) {
	for _, verdict := range verdicts {
		messages = append(messages, &peerpb.RolloutWord{Service: verdict.Service, Order: uint64(verdict.Order), Verdict: uint32(verdict.Verdict)})
	}
	return messages
}

func decodeRolloutVerdicts(messages []*peerpb.RolloutWord) (verdicts []rollout.VerdictReport) {
	for _, message := range messages {
		verdicts = append(verdicts, rollout.VerdictReport{
			Service: message.Service,
			Order:   epoch.Version(message.Order),
			Verdict: rollout.Verdict(min(message.Verdict, uint32(rollout.RolledBack))),
		})
	}
	return verdicts
}
