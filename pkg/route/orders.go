package route

import "slices"

// Orders are what the operator has ordered for availability zones, as of a version of the
// store. Those of a higher version replace others as a whole.
type Orders struct {
	// Version is the store's counter; all that was ordered up to it is told.
	Version uint64
	// Evacuated are the zones whose endpoints are to get nothing, in order.
	Evacuated []string
}

// Evacuates tells whether a zone is to get nothing.
func (o *Orders) Evacuates(zone string) bool {
	return o != nil && slices.Contains(o.Evacuated, zone)
}
