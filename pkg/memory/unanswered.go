package memory

import "sync"

// Unanswered counts the bytes of the requests that were sent to each endpoint and not yet answered.
// An endpoint that keeps more requests than its memory holds ends. It is safe for concurrent use.
type Unanswered struct {
	mu sync.Mutex
	// byEndpoint has an entry for each endpoint with unanswered bytes.
	byEndpoint map[string]int64
}

// Send counts bytes that are about to be sent to an endpoint, unless there would then be more than
// its bound; 0 means no bound. It reports whether they were counted.
func (u *Unanswered) Send(endpoint string, bytes, bound int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if bound > 0 && u.byEndpoint[endpoint]+bytes > bound {
		return false
	}
	if u.byEndpoint == nil {
		u.byEndpoint = map[string]int64{}
	}
	u.byEndpoint[endpoint] += bytes
	return true
}

// Answer removes bytes that were counted by Send, once the endpoint has answered or will not.
func (u *Unanswered) Answer(endpoint string, bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byEndpoint[endpoint] -= bytes
	if u.byEndpoint[endpoint] <= 0 {
		delete(u.byEndpoint, endpoint)
	}
}

// Bytes returns the bytes that an endpoint has not yet answered.
func (u *Unanswered) Bytes(endpoint string) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byEndpoint[endpoint]
}
