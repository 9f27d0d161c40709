package route

import (
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/rollout"
)

// Orders are what the operator has ordered beside the configuration, as of a version of the
// store. Those of a higher version replace others as a whole.
type Orders struct {
	// Version is the store's; all that was ordered up to it is told.
	Version epoch.Version
	// Evacuated are the zones whose endpoints are to get nothing, in order.
	Evacuated []string
	// Rollouts are the orders to move services to another version, by service in order, one
	// for each.
	Rollouts []rollout.Order
	// Kept are orders that the store no longer has, as it was restored from a copy. They stay
	// in force until KeptUntil, by when the operator has written them again.
	Kept      KeptOrders
	KeptUntil time.Time
}

// KeptOrders are orders that the store no longer has.
type KeptOrders struct {
	Evacuated []string
	Rollouts  []rollout.Order
}

// IsEmpty tells whether there are none.
func (k *KeptOrders) IsEmpty() bool { return len(k.Evacuated) == 0 && len(k.Rollouts) == 0 }

// Keep takes over what was in force before and is still to hold. Of an earlier epoch of the
// store that is all that is missing now, for a time; a roll-out is also kept where the order for
// its service is older than the one known.
func (o *Orders) Keep(before *Orders, now time.Time, retention time.Duration) {
	kept, until := before.Kept, before.KeptUntil
	if before.Version.HasEarlierEpochThan(o.Version) {
		kept, until = KeptOrders{Evacuated: before.evacuatedZones(), Rollouts: before.ActiveRollouts()}, now.Add(retention)
	}
	if !now.Before(until) {
		return
	}
	for _, zone := range kept.Evacuated {
		if !o.IsEvacuated(zone) {
			o.Kept.Evacuated = append(o.Kept.Evacuated, zone)
		}
	}
	for _, order := range kept.Rollouts {
		if !o.hasReplacement(order) {
			o.Kept.Rollouts = append(o.Kept.Rollouts, order)
		}
	}
	if !o.Kept.IsEmpty() && until.After(o.KeptUntil) {
		o.KeptUntil = until
	}
}

// replaces tells whether there is an order in place of one that was known: the same one, or one
// that was written later. Of two epochs, a lower number may be that of an older order.
func (o *Orders) hasReplacement(known rollout.Order) bool {
	later := func(order rollout.Order) bool {
		return order.Service == known.Service &&
			(order.IsSame(known) || !known.Version.HasEarlierEpochThan(order.Version) || order.Version.Counter() > known.Version.Counter())
	}
	return slices.ContainsFunc(o.Rollouts, later) || slices.ContainsFunc(o.Kept.Rollouts, later)
}

// Lapse is the orders without what is kept.
func (o *Orders) WithoutKept() *Orders {
	return &Orders{Version: o.Version, Evacuated: o.Evacuated, Rollouts: o.Rollouts}
}

// zones are those to get nothing.
func (o *Orders) evacuatedZones() []string {
	zones := slices.Concat(o.Evacuated, o.Kept.Evacuated)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Moves are the roll-outs in force, one for each service. A kept one goes before that which
// the store has.
func (o *Orders) ActiveRollouts() []rollout.Order {
	rollouts := slices.Clone(o.Kept.Rollouts)
	for _, order := range o.Rollouts {
		if !slices.ContainsFunc(rollouts, func(kept rollout.Order) bool { return kept.Service == order.Service }) {
			rollouts = append(rollouts, order)
		}
	}
	return rollouts
}

// Differ tells whether other orders say anything else.
func (o *Orders) DiffersFrom(other *Orders) bool {
	same := func(a, b rollout.Order) bool { return a.Service == b.Service && a.Version == b.Version }
	return o.EvacuationDiffersFrom(other) || !slices.EqualFunc(o.ActiveRollouts(), other.ActiveRollouts(), same)
}

// EvacuatesOthers tells whether other orders evacuate other zones.
func (o *Orders) EvacuationDiffersFrom(other *Orders) bool {
	return !slices.Equal(o.evacuatedZones(), other.evacuatedZones())
}

// Evacuates tells whether a zone is to get nothing.
func (o *Orders) IsEvacuated(zone string) bool {
	return o != nil && (slices.Contains(o.Evacuated, zone) || slices.Contains(o.Kept.Evacuated, zone))
}
