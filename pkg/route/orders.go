package route

import (
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/rollout"
)

// Orders are the operator's orders besides the configuration, as of a version of the store.
// Those of a higher version replace others as a whole.
type Orders struct {
	// Version is the version of the store up to which all orders are included.
	Version epoch.Version
	// Evacuated are the zones whose endpoints must get no requests, sorted.
	Evacuated []string
	// Rollouts are the orders to move services to another version, at most one for each
	// service, sorted by service.
	Rollouts []rollout.Order
	// Kept are orders that the store lost when it was restored from a copy. They stay in force
	// until KeptUntil, to give the operator time to write them again.
	Kept      KeptOrders
	KeptUntil time.Time
}

// KeptOrders are orders that the store no longer has.
type KeptOrders struct {
	Evacuated []string
	Rollouts  []rollout.Order
}

// IsEmpty reports whether there are none.
func (k *KeptOrders) IsEmpty() bool { return len(k.Evacuated) == 0 && len(k.Rollouts) == 0 }

// Keep carries over orders that were in force before and are missing now. If the store has
// entered a later epoch since, all earlier orders are kept, for the retention time; otherwise
// only those that were kept already, until their time is over. A roll-out is also kept if the
// store's order for its service is older than the known one.
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

// hasReplacement reports whether a known order is superseded by the same order or by one that
// was written later. If the epochs differ, an order with a lower counter may be older.
func (o *Orders) hasReplacement(known rollout.Order) bool {
	later := func(order rollout.Order) bool {
		return order.Service == known.Service &&
			(order.IsSame(known) || !known.Version.HasEarlierEpochThan(order.Version) || order.Version.Counter() > known.Version.Counter())
	}
	return slices.ContainsFunc(o.Rollouts, later) || slices.ContainsFunc(o.Kept.Rollouts, later)
}

// WithoutKept returns the orders without the kept ones.
func (o *Orders) WithoutKept() *Orders {
	return &Orders{Version: o.Version, Evacuated: o.Evacuated, Rollouts: o.Rollouts}
}

// evacuatedZones returns the zones that must get no requests.
func (o *Orders) evacuatedZones() []string {
	zones := slices.Concat(o.Evacuated, o.Kept.Evacuated)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// ActiveRollouts returns the roll-outs in force, one for each service. A kept one takes
// precedence over that of the store.
func (o *Orders) ActiveRollouts() []rollout.Order {
	rollouts := slices.Clone(o.Kept.Rollouts)
	for _, order := range o.Rollouts {
		if !slices.ContainsFunc(rollouts, func(kept rollout.Order) bool { return kept.Service == order.Service }) {
			rollouts = append(rollouts, order)
		}
	}
	return rollouts
}

// DiffersFrom reports whether other orders have a different effect.
func (o *Orders) DiffersFrom(other *Orders) bool {
	same := func(a, b rollout.Order) bool { return a.Service == b.Service && a.Version == b.Version }
	return o.EvacuationDiffersFrom(other) || !slices.EqualFunc(o.ActiveRollouts(), other.ActiveRollouts(), same)
}

// EvacuationDiffersFrom reports whether other orders evacuate different zones.
func (o *Orders) EvacuationDiffersFrom(other *Orders) bool {
	return !slices.Equal(o.evacuatedZones(), other.evacuatedZones())
}

// IsEvacuated reports whether the endpoints of a zone must get no requests.
func (o *Orders) IsEvacuated(zone string) bool {
	return o != nil && (slices.Contains(o.Evacuated, zone) || slices.Contains(o.Kept.Evacuated, zone))
}
