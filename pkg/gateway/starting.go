package gateway

import (
	"sync"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

const (
	// startsPerCore is the number of model requests per processor core that are in progress and have
	// not begun. A core begins about a thousand requests a second, and one takes a few tenths of a
	// second from its arrival to its first event.
	startsPerCore = 512
	// minStarting is the least bound of a box.
	minStarting = 16
)

// startingRequests are the model requests of this box that have not begun, over all services: they
// share the box's processor time.
type startingRequests struct {
	mu      sync.Mutex
	limiter dispatch.StartLimiter
}

// configure sets the bound for a number of cores; 0 means unknown, and no bound.
func (r *startingRequests) configure(cores float64) {
	if cores > 0 {
		r.limiter.Max = max(minStarting, int(startsPerCore*cores))
	}
}

// start records a request of a customer, unless there are too many.
func (r *startingRequests) start(customer string) (admitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	admitted = r.limiter.Admits(customer)
	if admitted {
		r.limiter.Start(customer)
	}
	return admitted
}

func (r *startingRequests) finish(customer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Finish(customer)
}

// startModel counts a model request until it begins. It reports false if this box has as many in
// progress as it may begin.
func (c *call) startModel() (admitted bool) {
	c.starting = c.gateway.starting.start(c.customer)
	return c.starting
}

// finishStart records that the request has begun, or will not.
func (c *call) finishStart() {
	if c.starting {
		c.starting = false
		c.gateway.starting.finish(c.customer)
	}
}
