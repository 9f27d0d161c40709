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

// HasParts reports whether endpoints have ended under any part of prompts. Nothing else has to be
// asked for parts if not.
func (l *Ledger) HasParts() bool { return l.parts.Load() > 0 }

// CheckParts returns, for each of the parts of a request, what may be done with it; nil if no endpoint
// ended under any part. A request with several parts that wait for their trial is tried later than one
// with fewer: requests with the cause have it beside the other suspects, and sound ones have not.
func (l *Ledger) CheckParts(parts []Fingerprint, now time.Time) []Status {
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
	if awaiting < 2 {
		return statuses
	}
	for i, f := range parts {
		if statuses[i].Ends == MaxPartEnds {
			statuses[i] = l.check(f, time.Duration(awaiting-1)*partTrialDelay, now)
		}
	}
	return statuses
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
