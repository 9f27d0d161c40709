package dispatch

// StartLimiter bounds the requests of one router that have not begun at an engine. A router that takes
// on more than it has processor time for begins all of them late: engines seem silent to it, callers
// leave, dispatchers seem not to respond, and what it then does in vain takes the rest of its time.
// Requests beyond the bound are refused at once and can be retried at another router. It is not safe
// for concurrent use.
type StartLimiter struct {
	// Max is the bound, at least 1; 0 means none.
	Max int

	// starting are the requests that have not begun, by customer, and total is their sum.
	starting map[string]int
	total    int
}

// Admits reports whether one more request of a customer may be taken on. Above the bound, a customer
// still gets its even part of it, so that no other one takes all of it.
func (l *StartLimiter) Admits(customer string) bool {
	if l.Max == 0 || l.total < l.Max {
		return true
	}
	own, customers := l.starting[customer], len(l.starting)
	if own == 0 {
		customers++
	}
	return own < l.Max/customers
}

// Start records a request.
func (l *StartLimiter) Start(customer string) {
	if l.starting == nil {
		l.starting = map[string]int{}
	}
	l.starting[customer]++
	l.total++
}

// Finish records that a request has begun, or will not.
func (l *StartLimiter) Finish(customer string) {
	l.total--
	if l.starting[customer]--; l.starting[customer] <= 0 {
		delete(l.starting, customer)
	}
}
