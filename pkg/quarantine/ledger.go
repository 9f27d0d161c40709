package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxEnds is how many endpoints one request may end. One or two ends also happen to
	// bystanders, requests that are not the cause: an ordinary crash cuts some thirty streams,
	// and may hit the retry of the same caller again. Three seldom do.
	MaxEnds = 3
	// minQuarantine is how long a request is quarantined after the third end. Then it may be
	// tried at one endpoint, and each further end multiplies the time by quarantineGrowth, up
	// to maxQuarantine: a bystander is served again within minutes, and a crashing request ends
	// three more endpoints within seven hours, which leaves time to fix their software.
	minQuarantine    = 10 * time.Minute
	quarantineGrowth = 6
	maxQuarantine    = 24 * time.Hour
	// minRetention is how long an end is remembered at least: a caller may repeat a request
	// every few minutes.
	minRetention = time.Hour
	// maxSuspects bounds the fingerprints that are remembered, at some 300 bytes each. Only
	// requests under which an endpoint ended are: a crash adds as many as ran there.
	maxSuspects = 16384
	// maxEndsPerRequest bounds the ends that are kept of one fingerprint. Beyond MaxEnds
	// there is one for each time that it was tried again.
	maxEndsPerRequest = 12
	// maxMessageEnds bounds the ends in one message, some 30 bytes each. A crashed zone of a
	// thousand endpoints leaves tens of thousands, whose transfer may take some seconds.
	maxMessageEnds = 256
)

// Instance identifies one instance of an endpoint. Its upper serviceBits are a hash of the
// endpoint's service.
type Instance uint64

const serviceBits = 16

// InstanceOf returns the instance of a service's endpoint that reports its start as born; 0
// means that it does not report it.
func InstanceOf(service, endpoint string, born int64) Instance {
	digest := xxhash.New()
	writeField(digest, []byte(endpoint))
	writeField(digest, strconv.AppendInt(nil, born, 10))
	return serviceOf(service) | Instance(digest.Sum64()>>serviceBits)
}

// serviceOf returns the bits of an Instance that identify its service.
func serviceOf(service string) Instance {
	return Instance(xxhash.Sum64String(service)) &^ (1<<(64-serviceBits) - 1)
}

// belongsTo reports whether an instance is of an endpoint of a service.
func (i Instance) belongsTo(service string) bool {
	return i&^(1<<(64-serviceBits)-1) == serviceOf(service)
}

// End records that an endpoint ended while it ran a request.
type End struct {
	Fingerprint Fingerprint
	Instance    Instance
	// Version is odd if the endpoint ended, and even once that was retracted. Of two records
	// of the same end, the one with the higher version holds.
	Version uint32
	// Age is how long ago the endpoint ended or the end was retracted.
	Age time.Duration
}

// Ledger holds the ends that one box has recorded or received. Boxes send each other all of
// them, so any box may be lost, and each one decides by itself. If only the dispatcher counted,
// a request ended up to 7 engines instead of 3 in fleets that lose boxes (TestDeadlyWays). The zero
// value is empty. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// parts counts the suspects that are parts of prompts, and quarantinedParts those of them with
	// MaxPartEnds and more.
	parts, quarantinedParts atomic.Int64
	// sequence counts the changes.
	sequence uint64
	// unstored are the fingerprints whose rows in the store have to be changed: those for
	// which this box itself recorded a change.
	unstored map[Fingerprint]bool
}

// suspect is a fingerprint under which endpoints ended.
type suspect struct {
	ends map[Instance]*endRecord
	// stored is set once this box had it written to the store.
	stored bool
	// quarantinedPart is set if it is counted in Ledger.quarantinedParts.
	quarantinedPart bool
}

// endRecord is an End as this box keeps it.
type endRecord struct {
	fingerprint Fingerprint
	instance    Instance
	version     uint32
	at          time.Time
	// sequence is the ledger's when the record last changed, and from the box that sent the
	// change; empty if this box recorded it.
	sequence uint64
	from     string
}

// ended reports whether the end has not been retracted.
func (r *endRecord) ended() bool { return r.version%2 == 1 }

// Status is what may be done with a request, or with requests that share a part.
type Status struct {
	// Ends is how many endpoints have ended under it.
	Ends int
	// Allowed is the number of endpoints at which it may run at the same time: as many as may
	// still end before it is quarantined.
	Allowed int
	// Until is when it may be tried again; zero if it is not quarantined.
	Until time.Time
}

// IsQuarantined reports whether the request must not be sent to any endpoint.
func (s Status) IsQuarantined() bool { return s.Allowed == 0 }

// Check returns what may be done with a request now.
func (l *Ledger) Check(f Fingerprint, now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(f, 0, now)
}

// check returns the status of a fingerprint, with some time added to its quarantine. The lock is held.
func (l *Ledger) check(f Fingerprint, longer time.Duration, now time.Time) Status {
	known := l.suspects[f]
	maxEnds := f.maxEnds()
	if known == nil {
		return Status{Allowed: maxEnds}
	}
	ends, last := known.countEnds()
	if ends < maxEnds {
		return Status{Ends: ends, Allowed: maxEnds - ends}
	}
	if until := last.Add(f.quarantineTime(ends) + longer); now.Before(until) {
		return Status{Ends: ends, Until: until}
	}
	return Status{Ends: ends, Allowed: 1}
}

// HasEnded reports whether an instance ended under a request.
func (l *Ledger) HasEnded(f Fingerprint, instance Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[f]
	if known == nil {
		return false
	}
	r := known.ends[instance]
	return r != nil && r.ended()
}

// quarantineTime is how long a request with so many ends is quarantined.
func quarantineTime(ends int) time.Duration {
	seconds := minQuarantine.Seconds() * math.Pow(quarantineGrowth, float64(ends-MaxEnds))
	return time.Duration(min(seconds, maxQuarantine.Seconds()) * float64(time.Second))
}

// countEnds counts the endpoints that ended, and returns when the last one did.
func (s *suspect) countEnds() (count int, last time.Time) {
	for _, r := range s.ends {
		if r.ended() {
			count++
			if r.at.After(last) {
				last = r.at
			}
		}
	}
	return count, last
}

// RecordEnd records that an endpoint ended while it ran a request of this box.
func (l *Ledger) RecordEnd(f Fingerprint, instance Instance, now time.Time) End {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recordOf(f, instance, now)
	if !r.ended() {
		r.version++
		r.at = now
		l.markChanged(r, "")
		l.unstored[f] = true
		l.countPart(f, l.suspects[f])
	}
	return r.toEnd(now)
}

// recordOf returns the record of an end, and adds it if there is none. The lock is held.
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
		if f.IsPart() {
			l.parts.Add(1)
		}
	}
	r := known.ends[instance]
	if r == nil {
		known.evictOldest()
		r = &endRecord{fingerprint: f, instance: instance}
		known.ends[instance] = r
	}
	return r
}

// evictOldest drops the oldest record if there are too many.
func (s *suspect) evictOldest() {
	if len(s.ends) < maxEndsPerRequest {
		return
	}
	var oldest *endRecord
	for _, r := range s.ends {
		if oldest == nil || r.at.Before(oldest.at) {
			oldest = r
		}
	}
	delete(s.ends, oldest.instance)
}

// evict drops expired suspects and, if that is not enough, an eighth of all: those with the
// fewest ends, the oldest first. The lock is held.
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
	const evictDivisor = 8
	for _, oldest := range all[:len(all)/evictDivisor] {
		l.drop(oldest.fingerprint)
	}
}

// Expire drops the suspects that are too old to count.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Ledger) expire(now time.Time) {
	for f, known := range l.suspects {
		ends, last := known.countEnds()
		retention := minRetention
		if ends >= f.maxEnds() {
			retention = f.quarantineTime(ends) + maxQuarantine
		}
		if now.Sub(later(known.changedAt(), last)) > retention {
			l.drop(f)
		}
	}
}

// changedAt is when a record last changed.
func (s *suspect) changedAt() (at time.Time) {
	for _, r := range s.ends {
		at = later(at, r.at)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drop removes a fingerprint. The lock is held.
func (l *Ledger) drop(f Fingerprint) {
	if l.suspects[f].stored {
		l.unstored[f] = true
	}
	if f.IsPart() {
		l.parts.Add(-1)
		if l.suspects[f].quarantinedPart {
			l.quarantinedParts.Add(-1)
		}
	}
	delete(l.suspects, f)
}

// Retract records that an instance is alive after all: it ended under none of its requests.
func (l *Ledger) Retract(instance Instance, now time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.suspects {
		if r := known.ends[instance]; r != nil {
			count += l.retract(r, now)
		}
	}
	return count
}

func (l *Ledger) retract(r *endRecord, now time.Time) int {
	if !r.ended() {
		return 0
	}
	r.version++
	r.at = now
	l.markChanged(r, "")
	l.unstored[r.fingerprint] = true
	l.countPart(r.fingerprint, l.suspects[r.fingerprint])
	return 1
}

// Clear records that a service returned a complete response to a request: the request was a
// bystander wherever an endpoint of that service ended under it. It reports whether any had.
// The ends of other services stay: a route may lead to two services, one of which may serve
// what ends the other's endpoints.
func (l *Ledger) Clear(f Fingerprint, service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[f]
	if known == nil {
		return false
	}
	count := 0
	for _, r := range known.ends {
		if r.instance.belongsTo(service) {
			count += l.retract(r, now)
		}
	}
	return count > 0
}
