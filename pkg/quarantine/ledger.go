package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MostEnds is how many endpoints one request may end. One or two ends come to a
	// bystander in an ordinary crash, which cuts some thirty streams and may strike the
	// same caller's next try again; three seldom do.
	MaxEnds = 3
	// heldFor is how long a request is quarantined after the third end. Then it may be
	// tried at one endpoint, and each further end makes the time heldGrowth times as long,
	// up to heldLongest: a bystander is back within minutes, and a deadly one ends three
	// more endpoints within seven hours, while somebody mends their software.
	minQuarantine    = 10 * time.Minute
	quarantineGrowth = 6
	maxQuarantine    = 24 * time.Hour
	// keepFor is how long an end is remembered at least: a caller that comes back every
	// few minutes is still the same one.
	minRetention = time.Hour
	// mostSuspects bounds the fingerprints that are remembered, at some 300 bytes each.
	// Only requests under which an endpoint ended are: a crash leaves as many as ran
	// there.
	maxSuspects = 16384
	// mostLives bounds the ends that are kept of one fingerprint. Beyond MostEnds there
	// is one for each time that it was tried again.
	maxEndsPerRequest = 12
	// mostTold bounds the ends in one message, some 30 bytes each: a zone of a thousand
	// endpoints leaves tens of thousands, which may take some seconds.
	maxMessageEnds = 256
)

// Life names one start of an endpoint. Its upper serviceBits are those of a hash of the
// endpoint's service.
type Instance uint64

const serviceBits = 16

// LifeOf is the start of an endpoint of a service that began at a time by its own word; 0
// where it does not tell.
func InstanceOf(service, endpoint string, born int64) Instance {
	digest := xxhash.New()
	writeField(digest, []byte(endpoint))
	writeField(digest, strconv.AppendInt(nil, born, 10))
	return serviceOf(service) | Instance(digest.Sum64()>>serviceBits)
}

// serviceOf are the bits of a Life that tell its service.
func serviceOf(service string) Instance {
	return Instance(xxhash.Sum64String(service)) &^ (1<<(64-serviceBits) - 1)
}

// isOf tells whether a start is of an endpoint of a service.
func (l Instance) belongsTo(service string) bool {
	return l&^(1<<(64-serviceBits)-1) == serviceOf(service)
}

// End is the account that an endpoint ended while it ran a request.
type End struct {
	Fingerprint Fingerprint
	Instance    Instance
	// Version is odd where the endpoint ended, and even where that was taken back. Of two
	// accounts of the same end, the one with the higher version holds.
	Version uint32
	// Age is how long ago that was.
	Age time.Duration
}

// Ledger is what one box knows of the requests under which endpoints ended. Boxes tell
// each other all of it, so that any of them may be lost, and each one judges by itself: in
// drawn fleets that lose boxes a request ended 3 engines at most, and 7 where only the box
// that dispatches counted (TestDeadlyWays). The zero value is empty. It is safe for
// concurrent use.
type Ledger struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// clock counts what became news.
	sequence uint64
	// unstored are the fingerprints whose rows in the store are to be changed: those of
	// which this box saw something itself.
	unstored map[Fingerprint]bool
}

// suspect is a fingerprint under which endpoints ended.
type suspect struct {
	ends map[Instance]*endRecord
	// stored is set once this box had it written to the store.
	stored bool
}

// account is an End as this box has it.
type endRecord struct {
	fingerprint Fingerprint
	instance    Instance
	version     uint32
	at          time.Time
	// news is the clock when it last changed, and from the box that told that; empty
	// where this one saw it.
	sequence uint64
	from     string
}

func (a *endRecord) ended() bool { return a.version%2 == 1 }

// Verdict is what may be done with a request.
type Status struct {
	// Ends is how many endpoints have ended under it.
	Ends int
	// Allowed is the number of endpoints that it may run at, at once: so many more may
	// end before it is quarantined.
	Allowed int
	// Until is when it may be tried again; zero where it is not quarantined.
	Until time.Time
}

// Quarantined tells whether the request is to go to no endpoint.
func (v Status) Quarantined() bool { return v.Allowed == 0 }

// Judge tells what may be done with a request now.
func (l *Ledger) Check(f Fingerprint, now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[f]
	if known == nil {
		return Status{Allowed: MaxEnds}
	}
	ends, last := known.countEnds()
	if ends < MaxEnds {
		return Status{Ends: ends, Allowed: MaxEnds - ends}
	}
	if until := last.Add(quarantineTime(ends)); now.Before(until) {
		return Status{Ends: ends, Until: until}
	}
	return Status{Ends: ends, Allowed: 1}
}

// Ended tells whether a start of an endpoint ended under a request.
func (l *Ledger) HasEnded(f Fingerprint, instance Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[f]
	if known == nil {
		return false
	}
	a := known.ends[instance]
	return a != nil && a.ended()
}

// held is how long a request with so many ends is quarantined.
func quarantineTime(ends int) time.Duration {
	seconds := minQuarantine.Seconds() * math.Pow(quarantineGrowth, float64(ends-MaxEnds))
	return time.Duration(min(seconds, maxQuarantine.Seconds()) * float64(time.Second))
}

// ends counts the endpoints that ended, and tells when the last one did.
func (s *suspect) countEnds() (count int, last time.Time) {
	for _, a := range s.ends {
		if a.ended() {
			count++
			if a.at.After(last) {
				last = a.at
			}
		}
	}
	return count, last
}

// Note counts an endpoint that ended while it ran a request, as this box saw.
func (l *Ledger) RecordEnd(f Fingerprint, instance Instance, now time.Time) End {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.recordOf(f, instance, now)
	if !a.ended() {
		a.version++
		a.at = now
		l.markChanged(a, "")
		l.unstored[f] = true
	}
	return a.toEnd(now)
}

// accountOf is the account of an end, made where there is none. The lock is held.
func (l *Ledger) recordOf(f Fingerprint, instance Instance, now time.Time) *endRecord {
	if l.suspects == nil {
		l.suspects = map[Fingerprint]*suspect{}
		l.unstored = map[Fingerprint]bool{}
	}
	known := l.suspects[f]
	if known == nil {
		l.evict(now)
		known = &suspect{ends: map[Instance]*endRecord{}}
		l.suspects[f] = known
	}
	a := known.ends[instance]
	if a == nil {
		known.evictOldest()
		a = &endRecord{fingerprint: f, instance: instance}
		known.ends[instance] = a
	}
	return a
}

// makeRoom drops the oldest account where there are many.
func (s *suspect) evictOldest() {
	if len(s.ends) < maxEndsPerRequest {
		return
	}
	var oldest *endRecord
	for _, a := range s.ends {
		if oldest == nil || a.at.Before(oldest.at) {
			oldest = a
		}
	}
	delete(s.ends, oldest.instance)
}

// makeRoom drops what is old and, if that is not enough, a part of those with the fewest
// ends, the oldest first. The lock is held.
func (l *Ledger) evict(now time.Time) {
	if len(l.suspects) < maxSuspects {
		return
	}
	l.expire(now)
	if len(l.suspects) < maxSuspects {
		return
	}
	type candidate struct {
		fingerprint Fingerprint
		ends        int
		last        time.Time
	}
	all := make([]candidate, 0, len(l.suspects))
	for f, known := range l.suspects {
		ends, last := known.countEnds()
		all = append(all, candidate{f, ends, last})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.ends, b.ends), a.last.Compare(b.last))
	})
	const part = 8
	for _, one := range all[:len(all)/part] {
		l.drop(one.fingerprint)
	}
}

// Forget drops what is too old to count.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Ledger) expire(now time.Time) {
	for f, known := range l.suspects {
		ends, last := known.countEnds()
		keep := minRetention
		if ends >= MaxEnds {
			keep = quarantineTime(ends) + maxQuarantine
		}
		if now.Sub(later(known.changedAt(), last)) > keep {
			l.drop(f)
		}
	}
}

// newest is when an account last changed.
func (s *suspect) changedAt() (at time.Time) {
	for _, a := range s.ends {
		at = later(at, a.at)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drop forgets a fingerprint. The lock is held.
func (l *Ledger) drop(f Fingerprint) {
	if l.suspects[f].stored {
		l.unstored[f] = true
	}
	delete(l.suspects, f)
}

// TakeBack notes that an endpoint lives: it ended under none of its requests.
func (l *Ledger) Retract(instance Instance, now time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.suspects {
		if a := known.ends[instance]; a != nil {
			count += l.retract(a, now)
		}
	}
	return count
}

func (l *Ledger) retract(a *endRecord, now time.Time) int {
	if !a.ended() {
		return 0
	}
	a.version++
	a.at = now
	l.markChanged(a, "")
	l.unstored[a.fingerprint] = true
	return 1
}

// Clear notes that a service answered a request to its end: it was a bystander wherever an
// endpoint of that service ended before. It reports whether any had. Of a route that leads to
// two services, one may answer what ends the other's endpoints.
func (l *Ledger) Clear(f Fingerprint, service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[f]
	if known == nil {
		return false
	}
	count := 0
	for _, a := range known.ends {
		if a.instance.belongsTo(service) {
			count += l.retract(a, now)
		}
	}
	return count > 0
}
