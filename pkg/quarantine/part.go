package quarantine

import (
	"bytes"
	"encoding/binary"
	"time"
)

const (
	// MaxPartEnds is how many endpoints may end under requests that share a part of their prompts
	// before the part is quarantined. It is one more than for a request: a crash makes suspects of
	// the parts of all requests that had no event yet, and some of these parts are in many requests.
	MaxPartEnds = 4
	// partTrialDelay is how long after that one request with the part is tried. A popular part that
	// was in the prompts of crashing requests too is cleared by its first event. A part that ends one
	// more endpoint is quarantined like a request.
	partTrialDelay = time.Second
)

// partPrefix begins the fingerprints of parts; those of requests have random bytes there.
var partPrefix = []byte("part")

// PartFingerprint identifies a part of prompts. The IDs of parts are the callers' own words, so that
// a part is the customer's: no customer can have a part of another one quarantined. It is also the
// release's: a part that ends the endpoints of one release of a service, or is answered by it, shows
// nothing about another.
func PartFingerprint(service, release, customer string, part uint64) Fingerprint {
	f := FingerprintOf([]byte(service), []byte(release), []byte(customer), binary.LittleEndian.AppendUint64(nil, part))
	copy(f[:], partPrefix)
	return f
}

// IsPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) IsPart() bool { return bytes.HasPrefix(f[:], partPrefix) }

// maxEnds returns how many endpoints may end under a fingerprint before it is quarantined.
func (f Fingerprint) maxEnds() int {
	if f.IsPart() {
		return MaxPartEnds
	}
	return MaxEnds
}

// quarantineTime returns how long a fingerprint with so many ends is quarantined.
func (f Fingerprint) quarantineTime(ends int) time.Duration {
	if !f.IsPart() {
		return quarantineTime(ends)
	}
	if ends == MaxPartEnds {
		return partTrialDelay
	}
	return quarantineTime(ends - MaxPartEnds + MaxEnds - 1)
}

// HasParts reports whether endpoints have ended under any part of prompts. Otherwise all parts may be
// sent to any endpoint.
func (l *Ledger) HasParts() bool { return l.parts.Load() > 0 }

// HasQuarantinedParts reports whether any part is quarantined or waits for its trial.
func (l *Ledger) HasQuarantinedParts() bool { return l.quarantinedParts.Load() > 0 }

// countPart updates quarantinedParts after a change of the ends under a fingerprint. The lock is held.
func (l *Ledger) countPart(f Fingerprint, known *suspect) {
	if !f.IsPart() {
		return
	}
	ends, _ := known.countEnds()
	if quarantined := ends >= MaxPartEnds; quarantined != known.quarantinedPart {
		known.quarantinedPart = quarantined
		if quarantined {
			l.quarantinedParts.Add(1)
		} else {
			l.quarantinedParts.Add(-1)
		}
	}
}

// CheckParts returns, for each of the parts of a request, what may be done with it; nil if no endpoint
// ended under any part. A request with several parts that wait for their trial is tried later than one
// with fewer: requests with the cause have it beside the other suspects, and sound ones have not.
//
// If the service has several releases, elsewhere are the same parts at each of the others. A part that
// has ended as many endpoints altogether as one release may lose is then tried at one endpoint of each
// other release at most.
func (l *Ledger) CheckParts(parts []Fingerprint, elsewhere [][]Fingerprint, now time.Time) []Status {
	if len(parts) == 0 || !l.HasParts() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := make([]Status, len(parts))
	awaiting := 0
	for i, f := range parts {
		if statuses[i] = l.check(f, 0, now); statuses[i].Ends == MaxPartEnds {
			awaiting++
		}
	}
	for i, f := range parts {
		if awaiting > 1 && statuses[i].Ends == MaxPartEnds {
			statuses[i] = l.check(f, time.Duration(awaiting-1)*partTrialDelay, now)
		}
		if others := l.countElsewhere(elsewhere, i); others > 0 {
			statuses[i] = l.checkElsewhere(f, statuses[i], others, now)
		}
	}
	return statuses
}

// countElsewhere counts the ends under a part at other releases. The lock is held.
func (l *Ledger) countElsewhere(elsewhere [][]Fingerprint, part int) (count int) {
	for _, parts := range elsewhere {
		if known := l.suspects[parts[part]]; known != nil {
			ends, _ := known.countEnds()
			count += ends
		}
	}
	return count
}

// checkElsewhere returns the status of a part under which others endpoints of other releases ended. The
// lock is held.
func (l *Ledger) checkElsewhere(f Fingerprint, here Status, others int, now time.Time) Status {
	ends := here.Ends + others
	if ends > MaxPartEnds && here.Ends > 0 {
		_, last := l.suspects[f].countEnds()
		if until := last.Add(minQuarantine); now.Before(until) {
			return Status{Ends: ends, Until: later(until, here.Until)}
		}
	}
	return Status{Ends: ends, Allowed: min(here.Allowed, max(1, MaxPartEnds-ends)), Until: here.Until}
}

// FirstQuarantined returns the first status that allows nothing.
func FirstQuarantined(statuses []Status) (first Status, found bool) {
	for _, status := range statuses {
		if status.IsQuarantined() {
			return status, true
		}
	}
	return Status{}, false
}
