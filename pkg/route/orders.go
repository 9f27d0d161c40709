package route

import (
	"slices"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/rollout"
)

// Orders are what the operator has ordered beside the configuration, as of a version of the
// store. Those of a higher version replace others as a whole.
type Orders struct {
	// Version is the store's counter; all that was ordered up to it is told.
	Version epoch.Version
	// Evacuated are the zones whose endpoints are to get nothing, in order.
	Evacuated []string
	// Rollouts are the orders to move services to another version, by service in order, one
	// for each.
	Rollouts []rollout.Order
}

// Differ tells whether other orders say anything else.
func (o *Orders) Differ(other *Orders) bool {
	same := func(a, b rollout.Order) bool { return a.Service == b.Service && a.Version == b.Version }
	return !slices.Equal(o.Evacuated, other.Evacuated) || !slices.EqualFunc(o.Rollouts, other.Rollouts, same)
}

// Evacuates tells whether a zone is to get nothing.
func (o *Orders) Evacuates(zone string) bool {
	return o != nil && slices.Contains(o.Evacuated, zone)
}
