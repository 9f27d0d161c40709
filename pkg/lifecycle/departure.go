package lifecycle

import "time"

// Departure records that an instance of an endpoint leaves, as it stated in a response. This
// is final: an instance that leaves never becomes available again.
type Departure struct {
	Endpoint string
	// Born identifies the instance that leaves; 0 if unknown.
	Born int64
	// Age is how long ago a box first received it.
	Age time.Duration
}

// AppliesTo reports whether facts are of the instance that leaves, or of an earlier one.
func (d *Departure) AppliesTo(facts *Facts) bool {
	return !facts.Supersedes(&Facts{Born: d.Born})
}
