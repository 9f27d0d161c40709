package suspension

import (
	"sync"
	"time"
)

// Least is the shortest suspension that is noticed. Leases and patience between boxes are
// of this order; what is shorter is like a busy processor.
const MinLength = 100 * time.Millisecond

// Clock counts how long the machine was suspended since the first look. Its exported field
// is set before that. It is safe for concurrent use.
type Clock struct {
	// Total is how long the machine has been suspended in all; nil asks the system.
	Total func() (time.Duration, error)

	mu      sync.Mutex
	started bool
	// last is the Total up to which suspensions were noticed, and noticed their sum.
	last, detected time.Duration
}

// Look returns how long the machine was suspended since the last look; 0 where it was not.
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

// Noticed is the sum of all suspensions that were noticed.
func (c *Clock) Detected() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detected
}
