package lifecycle

import "time"

// Departure is the word of one start of an endpoint, in an answer, that it leaves. It never
// takes that back.
type Departure struct {
	Endpoint string
	// Born is the start that leaves; 0 means that it does not tell.
	Born int64
	// Age is how long ago a box first read it.
	Age time.Duration
}

// Concerns tells whether facts of an endpoint are of the start that leaves, or of an earlier
// one.
func (d *Departure) AppliesTo(facts *Facts) bool {
	return !facts.Supersedes(&Facts{Born: d.Born})
}
