package suspension

import (
	"sync"
	"time"
)

// MinLength is the shortest suspension that is detected. Leases and timeouts between boxes are
// of this order; a shorter one has the effect of a busy processor.
const MinLength = 100 * time.Millisecond

// Clock measures how long the machine was suspended since the first call of Measure. Its
// exported field is set before that. It is safe for concurrent use.
type Clock struct {
	// Total returns how long the machine has been suspended since it started; nil reads it
	// from the system.
	Total func() (time.Duration, error)

	mu      sync.Mutex
	started bool
	// last is the Total up to which suspensions were detected, and detected their sum.
	last, detected time.Duration
}

// Measure returns how long the machine was suspended since the last suspension that it
// returned, or 0 if that is less than MinLength.
func (c *Clock) Measure() (length time.Duration, err error) {
	read := c.Total
	if read == nil {
		read = Total
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	total, err := read()
	if err != nil {
		return 0, err
	}
	if !c.started {
		c.started, c.last = true, total
		return 0, nil
	}
	if total-c.last < MinLength {
		return 0, nil
	}
	length = total - c.last
	c.last = total
	c.detected += length
	return length, nil
}

// Detected returns the sum of all suspensions that Measure has returned.
func (c *Clock) Detected() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detected
}
