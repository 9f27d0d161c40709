package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// errRestarted ends an attempt whose endpoint has restarted: no response can follow.
var errRestarted = errors.New("the endpoint has restarted")

// errNotAdmitted ends an attempt before anything was sent, because the chosen endpoint no longer
// admits requests.
var errNotAdmitted = errors.New("the endpoint no longer admits requests")

// activeAttempts holds the attempts in progress, in order to cancel those at an endpoint that
// has restarted. Without this, a stream at an engine that restarted behind a network partition
// waited for its caller's timeout, several seconds.
type activeAttempts struct {
	mu       sync.Mutex
	attempts map[*guard]struct{}
}

func (l *activeAttempts) add(g *guard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = map[*guard]struct{}{}
	}
	l.attempts[g] = struct{}{}
}

func (l *activeAttempts) remove(g *guard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.attempts, g)
}

// cancelRestarted cancels the attempts at endpoints that have restarted according to the
// directory. Endpoints that are gone from it may still finish their responses.
func (l *activeAttempts) cancelRestarted(directory *route.Directory) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt := range l.attempts {
		current, known := directory.Find(attempt.endpoint.ID)
		if known && current.Supersedes(&attempt.endpoint.Facts) {
			attempt.cancel(errRestarted)
		}
	}
}

// admits reports whether a request may still be sent to the endpoint chosen for it. Every
// sender calls it just before the first byte is sent. It uses the state of this box, whichever
// box made the grant: the dispatcher may not have received yet that the endpoint asked this box
// for rest.
func (g *Gateway) admits(chosen *route.Endpoint) bool {
	current, known := g.registry.Directory().Find(chosen.ID)
	return known && current.Admits() && current.Release == chosen.Release && !current.IsNewerInstanceThan(chosen) && !g.rests.isResting(chosen, time.Now()) && !g.rollouts.forbids(chosen)
}

// countOtherReleases counts the attempts at endpoints of a service that run another release.
func (l *activeAttempts) countOtherReleases(service, release string) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt := range l.attempts {
		if attempt.endpoint.Service == service && attempt.endpoint.Release != release {
			count++
		}
	}
	return count
}

// endpointsRunning returns the IDs of the endpoints at which attempts with a fingerprint are
// in progress.
func (l *activeAttempts) endpointsRunning(f quarantine.Fingerprint) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := map[string]bool{}
	for attempt := range l.attempts {
		if attempt.fingerprint == f {
			found[attempt.endpoint.ID] = true
		}
	}
	return found
}
