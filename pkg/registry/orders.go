package registry

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/route"
)

// orderReader makes the orders in force out of what is read in the store.
type orderReader struct {
	log *zap.Logger
	// evacuated are the orders read so far, by zone.
	evacuated map[string]uint64
	// bad are the orders that could not be read, by key, so that each is told of once.
	bad map[string]uint64
}

// read takes what the operator has written, or changed. It reports whether orders may have
// changed: after a whole reading, those that are missing were withdrawn, and others may
// hold older ones.
func (o *orderReader) read(declared Declared, whole bool) (changed bool, now route.Orders) {
	if whole || o.evacuated == nil {
		o.evacuated = map[string]uint64{}
	}
	for _, order := range declared.Evacuations {
		delete(o.evacuated, order.Zone)
		switch {
		case order.Problem != nil:
			o.note(order)
		case !order.Withdrawn:
			o.evacuated[order.Zone] = order.Version
		}
	}
	now = route.Orders{Version: declared.Version, Evacuated: slices.Sorted(maps.Keys(o.evacuated))}
	return whole || len(declared.Evacuations) > 0, now
}

// note tells of an order that can not be read, once for each change of it.
func (o *orderReader) note(order Evacuation) {
	if o.bad == nil {
		o.bad = map[string]uint64{}
	}
	if o.bad[order.Zone] == order.Version {
		return
	}
	o.bad[order.Zone] = order.Version
	o.log.Error("order not taken, it names no zone", zap.String("Zone", order.Zone), zap.Uint64("Version", order.Version), zap.Error(order.Problem))
}

// Orders are the operator's that are in force; nil means that they are not known.
func (r *Registry) Orders() *route.Orders { return r.orders.Load() }

// OrdersVersion is that of the orders in force; 0 means that they are not known.
func (r *Registry) OrdersVersion() uint64 {
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
	r.orders.Store(&orders)
	changed := before == nil && len(orders.Evacuated) > 0 || before != nil && !slices.Equal(before.Evacuated, orders.Evacuated)
	if changed && r.directory.Load() != nil {
		r.publish()
	}
	r.mu.Unlock()
	if changed {
		r.Log.Info("orders in force",
			zap.Uint64("Version", orders.Version),
			zap.Strings("Evacuated", orders.Evacuated),
			zap.String("From", from))
	}
	// Also without a change the others have to hear of the version.
	r.Changed()
}
