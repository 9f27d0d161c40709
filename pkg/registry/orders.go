package registry

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// orderReader derives the orders in force from the rows of the store.
type orderReader struct {
	log *zap.Logger
	// evacuated maps the evacuated zones to the versions of their orders.
	evacuated map[string]epoch.Version
	// rollouts are the rollout orders read so far, by service.
	rollouts map[string]rollout.Order
	// rejected maps the subjects of malformed orders to the version of the row, so that each
	// version is logged once.
	rejected map[string]epoch.Version
}

// apply applies what the operator has written or changed. It reports whether the orders may have
// changed: in a full read, missing orders are withdrawn ones, and other boxes may hold older
// orders.
func (o *orderReader) apply(declared Declared, full bool) (changed bool, current route.Orders) {
	if full || o.evacuated == nil {
		o.evacuated = map[string]epoch.Version{}
		o.rollouts = map[string]rollout.Order{}
	}
	for _, order := range declared.Evacuations {
		delete(o.evacuated, order.Zone)
		switch {
		case order.Problem != nil:
			o.reject("zone "+order.Zone, order.Version, order.Problem)
		case !order.Withdrawn:
			o.evacuated[order.Zone] = order.Version
		}
	}
	for _, order := range declared.Rollouts {
		delete(o.rollouts, order.Service)
		switch {
		case order.Problem != nil:
			o.reject("roll-out of "+order.Service, order.Version, order.Problem)
		case !order.Withdrawn:
			o.rollouts[order.Service] = order.Order
		}
	}
	current = route.Orders{Version: declared.Version, Evacuated: slices.Sorted(maps.Keys(o.evacuated))}
	for _, service := range slices.Sorted(maps.Keys(o.rollouts)) {
		current.Rollouts = append(current.Rollouts, o.rollouts[service])
	}
	return full || len(declared.Evacuations) > 0 || len(declared.Rollouts) > 0, current
}

// reject logs a malformed order, once per version.
func (o *orderReader) reject(subject string, version epoch.Version, problem error) {
	if o.rejected == nil {
		o.rejected = map[string]epoch.Version{}
	}
	if o.rejected[subject] == version {
		return
	}
	o.rejected[subject] = version
	o.log.Error("order not taken", zap.String("Order", subject), zap.Stringer("Version", version), zap.Error(problem))
}

// Orders returns the operator's orders in force, or nil if they are not known.
func (r *Registry) Orders() *route.Orders { return r.orders.Load() }

// OrdersVersion returns the version of the orders in force, or 0 if they are not known.
func (r *Registry) OrdersVersion() epoch.Version {
	if orders := r.orders.Load(); orders != nil {
		return orders.Version
	}
	return 0
}

// OfferOrders puts orders in force if they are newer.
func (r *Registry) OfferOrders(orders route.Orders, from string) {
	r.mu.Lock()
	before := r.orders.Load()
	if before != nil && orders.Version <= before.Version {
		r.mu.Unlock()
		return
	}
	preserveSeenAt(&orders, before)
	if before != nil {
		orders.Keep(before, time.Now(), restoreHoldDelay)
	}
	r.setOrders(&orders, from)
	r.mu.Unlock()
	// The version has to reach the other boxes even if the orders are the same.
	r.Changed()
}

// setOrders puts orders in force. The lock is held.
func (r *Registry) setOrders(orders *route.Orders, from string) {
	before := r.orders.Load()
	r.orders.Store(orders)
	if before == nil {
		before = &route.Orders{}
	}
	if !orders.DiffersFrom(before) {
		return
	}
	if orders.EvacuationDiffersFrom(before) && r.directory.Load() != nil {
		r.entries.each(func(entry *Entry) { r.changedIDs = append(r.changedIDs, entry.ID) })
		r.publish()
	}
	r.Log.Info("orders in force",
		zap.Stringer("Version", orders.Version),
		zap.Strings("Evacuated", orders.Evacuated),
		zap.Int("Rollouts", len(orders.Rollouts)),
		zap.Strings("KeptEvacuated", orders.Kept.Evacuated),
		zap.Int("KeptRollouts", len(orders.Kept.Rollouts)),
		zap.String("From", from))
}

// expireKeptOrders drops orders kept over a restore that were not written again in time. It
// reports whether there were any.
func (r *Registry) expireKeptOrders(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := r.orders.Load()
	if orders == nil || orders.Kept.IsEmpty() || now.Before(orders.KeptUntil) {
		return false
	}
	r.setOrders(orders.WithoutKept(), fromStore)
	return true
}

// preserveSeenAt keeps the SeenAt of rollouts that were already known.
func preserveSeenAt(orders, before *route.Orders) {
	now := time.Now()
	for i := range orders.Rollouts {
		order := &orders.Rollouts[i]
		if order.SeenAt.IsZero() {
			order.SeenAt = now
		}
		if before == nil {
			continue
		}
		for _, known := range before.ActiveRollouts() {
			if known.Service == order.Service && (known.Version == order.Version || order.IsRewriteOf(known)) {
				order.SeenAt = known.SeenAt
			}
		}
	}
}
