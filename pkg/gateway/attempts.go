package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// errRestarted ends an attempt whose endpoint has started again: no answer to it comes.
var errRestarted = errors.New("the endpoint has started again since")

// errTakenBack ends an attempt of which nothing was sent, as its endpoint has meanwhile
// become one that gets nothing.
var errNotAdmitted = errors.New("the endpoint gets nothing any more")

// lives are the attempts under way, so that those at an endpoint that starts again can be
// ended. Without it a stream at an engine that came back behind a cut waited for its
// caller's patience, seconds long.
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

// end ends the attempts at endpoints that have started again by a directory. Those that
// are gone from it may still answer what they have.
func (l *activeAttempts) cancelRestarted(directory *route.Directory) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt := range l.attempts {
		now, known := directory.Find(attempt.endpoint.ID)
		if known && now.Supersedes(&attempt.endpoint.Facts) {
			attempt.cancel(errRestarted)
		}
	}
}

// admits tells whether a request may still be sent to the endpoint that was chosen for it.
// It is asked by everything that sends to endpoints, just before the first byte leaves, and
// by what this box knows itself: a box that grants may not know the word of the endpoint to
// this one, and that holds whoever grants.
func (g *Gateway) admits(chosen *route.Endpoint) bool {
	now, known := g.registry.Directory().Find(chosen.ID)
	return known && now.Admits() && !now.Renews(chosen) && !g.rests.isResting(chosen, time.Now()) && !g.rollouts.forbids(chosen)
}

// others counts the attempts under way at endpoints of a service, but for those of a version.
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

// running are the endpoints at which attempts with a fingerprint are under way.
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
