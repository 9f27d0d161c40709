package continuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/route"
)

// Releases records which releases the endpoints of each service run, and lately ran. While a
// service has had only one, every stream began at it, and no origin is needed. The zero value is
// empty and ready to use, and safe for concurrent use.
type Releases struct {
	mu sync.Mutex
	// services holds the releases of each service, by name.
	services map[string]map[string]*presence
	// knownSince is the time since when no release was missed; zero if none is known.
	knownSince time.Time
	// version rises with each change of which other boxes have to be notified.
	version uint64
}

// presence is how many endpoints run a release and, if there are none, when the last one did.
type presence struct {
	endpoints int
	lastSeen  time.Time
	// appearedAt is when the first of these endpoints became known.
	appearedAt time.Time
}

const (
	// maxMemory is how long a release is remembered after its last endpoint has gone.
	maxMemory = 10 * time.Minute
	// minEarlier is by how much a summary of another box has to reach further back than what
	// is known to be passed on.
	minEarlier = time.Second
)

// Start records that the releases in use are known from now on.
func (r *Releases) Start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.knownSince.IsZero() {
		r.knownSince = now
		r.version++
	}
}

// StartFirst records that the fleet did not run before, so that there were no other releases than
// those in use.
func (r *Releases) StartFirst(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knownSince = now.Add(-maxMemory)
	r.version++
}

// Apply records changes of the directory.
func (r *Releases) Apply(changes []route.Change, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range changes {
		before, after := changes[i].Before, changes[i].After
		if before != nil && after != nil && before.Service == after.Service && before.Release == after.Release {
			continue
		}
		r.count(before, -1, now)
		r.count(after, 1, now)
	}
}

func (r *Releases) count(endpoint *route.Endpoint, delta int, now time.Time) {
	if endpoint == nil {
		return
	}
	p := r.presenceOf(endpoint.Service, endpoint.Release)
	if p.endpoints == 0 {
		p.appearedAt = now
	}
	p.endpoints += delta
	p.lastSeen = now
}

// presenceOf returns the presence of a release, which it adds if it is new.
func (r *Releases) presenceOf(service, release string) *presence {
	if r.services == nil {
		r.services = map[string]map[string]*presence{}
	}
	releases := r.services[service]
	if releases == nil {
		releases = map[string]*presence{}
		r.services[service] = releases
	}
	p := releases[release]
	if p == nil {
		p = &presence{}
		releases[release] = p
		r.version++
	}
	return p
}

// Only returns the release of a service if no other one is known to have run within a period.
// isComplete reports whether all releases of that period are known.
func (r *Releases) Only(service string, period time.Duration, now time.Time) (release string, isOnly, isComplete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for name, p := range r.services[service] {
		if p.endpoints > 0 || now.Sub(p.lastSeen) <= period {
			release = name
			count++
		}
	}
	isComplete = !r.knownSince.IsZero() && now.Sub(r.knownSince) >= period
	return release, count == 1, isComplete
}

// Settled returns the release of a service that appeared before all others that run, if all of these are
// news: they appeared less than a delay ago, and a box that is not up to date may still take the one
// returned for the only one. It reports false if nothing is news, or it is not known which one was first.
func (r *Releases) Settled(service string, delay time.Duration, now time.Time) (release string, isFirst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first, second time.Time
	for name, p := range r.services[service] {
		switch {
		case p.endpoints == 0:
		case first.IsZero() || p.appearedAt.Before(first):
			release, first, second = name, p.appearedAt, first
		case second.IsZero() || p.appearedAt.Before(second):
			second = p.appearedAt
		}
	}
	return release, first.Before(second) && now.Sub(second) < delay
}

// Runs reports whether endpoints of a service are known to run a release.
func (r *Releases) Runs(service, release string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.services[service][release]
	return p != nil && p.endpoints > 0
}

// Summary is what a box sends others of the releases.
type Summary struct {
	// Version is that of the Releases; it has no meaning for other boxes.
	Version uint64
	// KnownFor is for how long no release was missed.
	KnownFor time.Duration
	// Seen are the releases, ordered by service and release.
	Seen []Seen
}

// Seen is a release that endpoints of a service run, or lately ran.
type Seen struct {
	Service, Release string
	// Ago is the time since an endpoint last ran it.
	Ago time.Duration
}

// Version returns the version of the current summary.
func (r *Releases) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Summary returns what other boxes need to know.
func (r *Releases) Summary(now time.Time) (summary Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary.Version = r.version
	if !r.knownSince.IsZero() {
		summary.KnownFor = now.Sub(r.knownSince)
	}
	for service, releases := range r.services {
		for release, p := range releases {
			seen := Seen{Service: service, Release: release}
			if p.endpoints == 0 {
				seen.Ago = now.Sub(p.lastSeen)
			}
			if seen.Ago > maxMemory {
				delete(releases, release)
				continue
			}
			summary.Seen = append(summary.Seen, seen)
		}
	}
	slices.SortFunc(summary.Seen, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Release, b.Release))
	})
	return summary
}

// Merge adds what another box knows. It reports whether further boxes have to be notified.
func (r *Releases) Merge(summary Summary, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.version
	for _, seen := range summary.Seen {
		if seen.Ago > maxMemory {
			continue
		}
		p := r.presenceOf(seen.Service, seen.Release)
		if at := now.Add(-seen.Ago); at.After(p.lastSeen) {
			p.lastSeen = at
		}
	}
	since := now.Add(-min(summary.KnownFor, maxMemory))
	if summary.KnownFor > 0 && (r.knownSince.IsZero() || since.Before(r.knownSince)) {
		if r.knownSince.Sub(since) >= minEarlier {
			r.version++
		}
		r.knownSince = since
	}
	return r.version != before
}
