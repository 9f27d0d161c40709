// Package claim makes calls that must not be repeated run at most once. A claim is a row that
// one router inserts before it sends the first byte of a call. A claim is never taken over:
// its holder may have been paused and may send later, so all others can only wait for the
// outcome.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/platform"
)

// Table is the table of the claims, one row for each idempotency key.
const Table = "claims"

// maxInlineBytes is the largest body of an outcome that is stored in the row itself.
const maxInlineBytes = 16 << 10

// Key identifies what is claimed.
type Key struct {
	Customer string
	Pool     string
	// Value is the caller's idempotency key.
	Value string
}

// rowKey returns the key of the row. Hashing keeps callers' keys, which may be long or contain
// secrets, out of paths and logs.
func (k Key) rowKey() string {
	digest := sha256.New()
	for _, part := range []string{k.Customer, k.Pool, k.Value} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Outcome is the complete response to a claimed call.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte `json:",omitempty"`
	// Object is the key of the object with a body that is too large for the row.
	Object string `json:",omitempty"`
}

// record is the content of a row.
type record struct {
	// Nonce identifies one attempt to claim.
	Nonce string
	// Digest is a hash of the request; a different request must not use the key.
	Digest string
	Box    string
	At     time.Time
	// Outcome is nil while the call may still be running.
	Outcome *Outcome `json:",omitempty"`
}

// Result is the result of Take: one of Taken, Stored, Held and Reused.
type Result interface {
	result()
}

// Taken means that this attempt has the claim: the call may be sent, once.
type Taken struct {
	Claim *Claim
}

// Stored means that the call was made before, with this outcome.
type Stored struct {
	Outcome Outcome
}

// Held means that another attempt has the claim and no outcome is known yet.
type Held struct{}

// Reused means that the key belongs to a different request.
type Reused struct{}

func (Taken) result()  {}
func (Stored) result() {}
func (Held) result()   {}
func (Reused) result() {}

// Claim is a confirmed claim. It ends with exactly one of Settle and Release, or with neither
// if it is unknown whether the call ran.
type Claim struct {
	key     Key
	record  record
	version string
}

// Store is the part of platform.Store that a Registry needs.
type Store interface {
	Get(table, key string) (platform.Row, error)
	Put(table, key string, value []byte, when platform.Condition) (string, error)
	Delete(table, key, version string) error
	PutObject(key string, value []byte) error
	GetObject(key string) ([]byte, error)
}

// Registry takes and settles the claims of one router.
type Registry struct {
	// Store stores the claims.
	Store Store
	// Box is written into claims as information for operators.
	Box string
	// NewNonce returns a value that no other attempt uses.
	NewNonce func() string

	mu sync.Mutex
	// pending are writes of outcomes or releases that Run retries.
	pending []pendingWrite
}

// pendingWrite is a write that the store has not confirmed yet. If it is lost, a repeated call with
// the key is refused with "unknown" instead of getting the stored outcome or running; nothing else
// depends on it.
type pendingWrite struct {
	claim   *Claim
	outcome *Outcome
	until   time.Time
}

const (
	// retryDelay is the delay between two attempts at the store within one call.
	retryDelay = 50 * time.Millisecond
	// finishInterval is the interval at which pending writes are retried.
	finishInterval = time.Second
	// finishTimeout is how long a pending write is retried.
	finishTimeout = 10 * time.Minute
	// maxPending bounds the pending writes held in memory.
	maxPending = 10000
)

// Take claims a key for a request. An error means that the store could not confirm a claim
// before the context ended; nothing must be sent then.
func (r *Registry) Take(ctx context.Context, key Key, digest string) (result Result, err error) {
	defer func() { err = trace.Wrap(err, "claiming an idempotency key") }()
	claim := &Claim{key: key, record: record{
		Nonce:  r.NewNonce(),
		Digest: digest,
		Box:    r.Box,
		At:     time.Now().UTC(),
	}}
	uncertain := false
	for {
		result, err = r.tryTake(claim, &uncertain)
		if err == nil || !isUnavailable(err) {
			return result, err
		}
		if interval.Wait(ctx, retryDelay) != nil {
			if uncertain {
				r.postpone(claim, nil)
			}
			return nil, err
		}
	}
}

// tryTake inserts the claim. If the response is lost or the row exists, it reads the row to
// find out who has the claim.
func (r *Registry) tryTake(claim *Claim, uncertain *bool) (Result, error) {
	value, err := json.Marshal(claim.record)
	if err != nil {
		return nil, err
	}
	claim.version, err = r.Store.Put(Table, claim.key.rowKey(), value, platform.Absent{})
	if err == nil {
		return Taken{Claim: claim}, nil
	}
	if isUnavailable(err) {
		*uncertain = true
	}
	row, readErr := r.Store.Get(Table, claim.key.rowKey())
	if readErr != nil {
		if _, absent := trace.Unwrap(readErr).(*platform.NotFoundError); absent && isUnavailable(err) {
			return nil, err
		}
		return nil, asUnavailable(readErr)
	}
	return r.resolve(claim, row)
}

// resolve determines from the row what the attempt that made the claim may do.
func (r *Registry) resolve(claim *Claim, row platform.Row) (Result, error) {
	var found record
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return nil, err
	}
	switch {
	case found.Nonce == claim.record.Nonce:
		claim.version = row.Version
		return Taken{Claim: claim}, nil
	case found.Digest != claim.record.Digest:
		return Reused{}, nil
	case found.Outcome == nil:
		return Held{}, nil
	}
	outcome := *found.Outcome
	if outcome.Object != "" {
		body, err := r.Store.GetObject(outcome.Object)
		if err != nil {
			return nil, asUnavailable(err)
		}
		outcome.Body = body
	}
	return Stored{Outcome: outcome}, nil
}

// Settle stores the outcome, so that a repeated call gets the same response. If the store is
// unavailable, the write is retried in the background.
func (r *Registry) Settle(claim *Claim, outcome Outcome) {
	if r.writeOutcome(claim, outcome) != nil {
		r.postpone(claim, &outcome)
	}
}

func (r *Registry) writeOutcome(claim *Claim, outcome Outcome) error {
	if len(outcome.Body) > maxInlineBytes {
		object := "outcome-" + claim.key.rowKey() + "-" + claim.record.Nonce
		if err := r.Store.PutObject(object, outcome.Body); err != nil {
			return err
		}
		outcome.Object = object
		outcome.Body = nil
	}
	settled := claim.record
	settled.Outcome = &outcome
	value, err := json.Marshal(settled)
	if err != nil {
		return err
	}
	_, err = r.Store.Put(Table, claim.key.rowKey(), value, platform.Current{Version: claim.version})
	return err
}

// Release removes a claim after a call that provably did not run, so that a repeated call may run.
// The claim must not be used afterwards.
func (r *Registry) Release(claim *Claim) {
	if err := r.Store.Delete(Table, claim.key.rowKey(), claim.version); isUnavailable(err) {
		r.postpone(claim, nil)
	}
}

func (r *Registry) postpone(claim *Claim, outcome *Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPending {
		return
	}
	r.pending = append(r.pending, pendingWrite{
		claim:   claim,
		outcome: outcome,
		until:   time.Now().Add(finishTimeout),
	})
}

// Run retries pending writes until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	for interval.Wait(ctx, finishInterval) == nil {
		r.mu.Lock()
		batch := r.pending
		r.pending = nil
		r.mu.Unlock()
		for _, write := range batch {
			r.finish(ctx, write)
		}
	}
	return nil
}

// finish writes an outcome, or removes a claim of this router that was not used. If the store
// is slow, the row may appear later, so a missing row does not end the retries.
func (r *Registry) finish(ctx context.Context, write pendingWrite) {
	if ctx.Err() != nil || time.Now().After(write.until) {
		return
	}
	done := r.tryFinish(write)
	if done {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, write)
}

func (r *Registry) tryFinish(write pendingWrite) (done bool) {
	row, err := r.Store.Get(Table, write.claim.key.rowKey())
	if err != nil {
		return false
	}
	var found record
	if json.Unmarshal(row.Value, &found) != nil || found.Nonce != write.claim.record.Nonce {
		return true
	}
	write.claim.version = row.Version
	if write.outcome != nil {
		return found.Outcome != nil || r.writeOutcome(write.claim, *write.outcome) == nil
	}
	return !isUnavailable(r.Store.Delete(Table, write.claim.key.rowKey(), row.Version))
}

// isUnavailable reports whether the store gave no usable response, as opposed to a conflict or
// a missing row.
func isUnavailable(err error) bool {
	var missing *platform.UnavailableError
	return errors.As(err, &missing)
}

// asUnavailable treats a failed read as an unavailable store: if a row that caused a conflict
// a moment ago is gone, the insert has to be retried.
func asUnavailable(err error) error {
	if isUnavailable(err) {
		return err
	}
	return &platform.UnavailableError{Path: Table, Err: err}
}
