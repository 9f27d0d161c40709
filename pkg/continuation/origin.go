// Package continuation holds which release of a service began each stream. Events of different
// releases do not fit together, so a stream that broke may go on only at the release that began
// it, at whichever box its caller takes it up. The package does no I/O.
package continuation

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream across the requests with which its caller takes it up.
type Key uint64

// KeyOf returns the key of the stream whose first event came with a request of a customer to a
// service.
func KeyOf(customer, service, request string) Key {
	hash := xxhash.New()
	for _, text := range []string{customer, service, request} {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	return Key(hash.Sum64())
}

// Origin records the release that began a stream.
type Origin struct {
	Key Key
	// Release is empty if the endpoint states none.
	Release string
	// Expires is when the caller no longer takes the stream up.
	Expires time.Time
}

// MaxLifetime bounds how long after its last use a stream can be taken up: no request is held for
// longer than some minutes.
const MaxLifetime = 10 * time.Minute

// maxOrigins bounds the origins that one box holds: at 55 streams a second, kept at three boxes
// for a minute, there are 10,000.
const maxOrigins = 1 << 16

// Origins are the origins that one box holds. The zero value is empty and ready to use, and safe
// for concurrent use.
type Origins struct {
	mu sync.Mutex
	// byKey holds at most maxOrigins elements, and order their keys, the oldest first.
	byKey map[Key]kept
	order []Key
}

// kept is an origin as held.
type kept struct {
	release string
	expires time.Time
	// contradicted is set if the stream was also recorded at another release: a caller used an
	// ID twice.
	contradicted bool
}

// Add adds an origin, or prolongs it if it is known. Of two that contradict each other neither
// holds.
func (o *Origins) Add(added Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, found := o.byKey[added.Key]
	if !found {
		o.insert(added)
		return
	}
	known.contradicted = known.contradicted || known.release != added.Release
	if added.Expires.After(known.expires) {
		known.expires = added.Expires
	}
	o.byKey[added.Key] = known
}

// insert adds a new origin and evicts the oldest one if there are too many.
func (o *Origins) insert(added Origin) {
	if o.byKey == nil {
		o.byKey = map[Key]kept{}
	}
	if len(o.order) >= maxOrigins {
		delete(o.byKey, o.order[0])
		o.order = o.order[1:]
	}
	o.byKey[added.Key] = kept{release: added.Release, expires: added.Expires}
	o.order = append(o.order, added.Key)
}

// Find returns the release that began a stream.
func (o *Origins) Find(key Key, now time.Time) (release string, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, known := o.byKey[key]
	if !known || found.contradicted || now.After(found.expires) {
		return "", false
	}
	return found.release, true
}

// Len returns the number of origins.
func (o *Origins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byKey)
}

// Expire removes the origins that have expired.
func (o *Origins) Expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	left := o.order[:0:0]
	for _, key := range o.order {
		if now.After(o.byKey[key].expires) {
			delete(o.byKey, key)
			continue
		}
		left = append(left, key)
	}
	o.order = left
}
