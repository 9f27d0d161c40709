// Package revision accepts settings, each revision once, and stores their history in
// the platform's stores. A snapshot is an immutable object; one conditional write
// moves the head row from one revision to the next.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/settings"
)

// The tables and rows that hold settings.
const (
	HeadTable    = "settings"
	HeadKey      = "head"
	HistoryTable = "settings-history"
)

// Head describes the accepted settings, or an earlier revision in the history.
type Head struct {
	// Revision counts acceptances from 1; 0 means that nothing was accepted yet.
	Revision uint64
	// Hash is the SHA-256 of the snapshot, in hex, and names its object.
	Hash    string
	Author  string
	Message string
	At      time.Time
	// Nonce identifies this acceptance, so that it can be recognised when the
	// store's response was lost.
	Nonce string
}

// ConflictError reports that another acceptance came first.
type ConflictError struct {
	// Expected is the revision that the proposal was based on.
	Expected uint64
	// Found is the head that was accepted instead.
	Found Head
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but revision %d by %s is accepted",
		e.Expected, e.Found.Revision, e.Found.Author)
}

// UnknownOutcomeError reports that the store did not confirm whether it accepted.
type UnknownOutcomeError struct {
	Revision uint64
	Err      error
}

// Error names the revision that may or may not be accepted.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("not known whether revision %d is accepted: %v", e.Revision, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// Store is the part of the platform's stores that a Repository uses.
type Store interface {
	Get(table, key string) (platform.Row, error)
	Transact(writes []platform.Write) error
	PutObject(key string, value []byte) error
	GetObject(key string) ([]byte, error)
}

// Repository accesses the accepted settings in the platform's stores.
type Repository struct {
	Store Store
}

// Head returns the head of the accepted settings and the version of its row. Before
// the first acceptance both are empty.
func (r Repository) Head() (head Head, version string, err error) {
	defer func() { err = trace.Wrap(err, "reading the head of settings") }()
	row, err := r.Store.Get(HeadTable, HeadKey)
	if isNotFound(err) {
		return Head{}, "", nil
	}
	if err != nil {
		return Head{}, "", err
	}
	err = json.Unmarshal(row.Value, &head)
	return head, row.Version, err
}

// Entry returns a revision's entry in the history.
func (r Repository) Entry(number uint64) (head Head, err error) {
	defer func() { err = trace.Wrap(err, "reading settings revision %d", number) }()
	row, err := r.Store.Get(HistoryTable, historyKey(number))
	if err != nil {
		return Head{}, err
	}
	err = json.Unmarshal(row.Value, &head)
	return head, err
}

// Snapshot returns a head's snapshot, verified against its hash.
func (r Repository) Snapshot(head Head) (snapshot []byte, err error) {
	defer func() { err = trace.Wrap(err, "reading the snapshot of revision %d", head.Revision) }()
	snapshot, err = r.Store.GetObject(objectKey(head.Hash))
	if err != nil {
		return nil, err
	}
	if found := snapshotHash(snapshot); found != head.Hash {
		return nil, trace.CompareFailed("the snapshot has hash %s, not %s", found, head.Hash)
	}
	return snapshot, nil
}

// Proposal is settings to be accepted on top of a known revision.
type Proposal struct {
	Fleet *settings.Fleet
	// Expect is the revision that the proposal is based on.
	Expect  uint64
	Author  string
	Message string
	// Nonce is a value that no other proposal has.
	Nonce string
	// Deadline bounds the attempts to determine the outcome when the store is
	// failing.
	Deadline time.Time
}

// retryDelay is the time between two attempts at a failing store.
const retryDelay = 200 * time.Millisecond

// Accept makes a proposal the accepted settings. The error is a *ConflictError
// when another acceptance came first, and an *UnknownOutcomeError when the
// store did not confirm whether it accepted.
func (r Repository) Accept(proposal Proposal) (head Head, err error) {
	defer func() { err = trace.Wrap(err, "accepting settings") }()
	snapshot, err := settings.EncodeSnapshot(proposal.Fleet)
	if err != nil {
		return Head{}, err
	}
	head = Head{
		Revision: proposal.Expect + 1,
		Hash:     snapshotHash(snapshot),
		Author:   proposal.Author,
		Message:  proposal.Message,
		At:       time.Now().UTC(),
		Nonce:    proposal.Nonce,
	}
	current, version, err := r.Head()
	if err != nil {
		return Head{}, err
	}
	if current.Revision != proposal.Expect {
		return Head{}, &ConflictError{Expected: proposal.Expect, Found: current}
	}
	if err := r.storeSnapshot(head.Hash, snapshot, proposal.Deadline); err != nil {
		return Head{}, err
	}
	return head, r.commitHead(head, version, proposal.Deadline)
}

// storeSnapshot stores a snapshot. Its key is its hash, so storing it again is
// harmless, and a write whose response was lost is detected by reading.
func (r Repository) storeSnapshot(hash string, snapshot []byte, deadline time.Time) error {
	for {
		err := r.Store.PutObject(objectKey(hash), snapshot)
		if err == nil {
			return nil
		}
		found, readErr := r.Store.GetObject(objectKey(hash))
		if readErr == nil && snapshotHash(found) == hash {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(retryDelay)
	}
}

// commitHead writes the head and its history entry in one transaction. The same
// writes may be sent again when a response is lost: the condition on the head's
// version lets them take effect once.
func (r Repository) commitHead(head Head, version string, deadline time.Time) error {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	writes := []platform.Write{
		{Table: HeadTable, Key: HeadKey, Value: value, IfAbsent: version == "", IfVersion: version},
		{Table: HistoryTable, Key: historyKey(head.Revision), Value: value, IfAbsent: true},
	}
	for {
		err := r.Store.Transact(writes)
		if err == nil {
			return nil
		}
		known, outcome := r.resolveOutcome(head)
		if known {
			return outcome
		}
		if time.Now().After(deadline) {
			return &UnknownOutcomeError{Revision: head.Revision, Err: err}
		}
		time.Sleep(retryDelay)
	}
}

// resolveOutcome determines by reading which acceptance has the revision. A nil error
// means that it is this one.
func (r Repository) resolveOutcome(head Head) (known bool, err error) {
	entry, err := r.Entry(head.Revision)
	if err != nil {
		return false, nil
	}
	if entry.Nonce == head.Nonce {
		return true, nil
	}
	return true, &ConflictError{Expected: head.Revision - 1, Found: entry}
}

func isNotFound(err error) bool {
	var notFound *platform.NotFoundError
	return errors.As(err, &notFound)
}

func snapshotHash(snapshot []byte) string {
	sum := sha256.Sum256(snapshot)
	return hex.EncodeToString(sum[:])
}

func objectKey(hash string) string {
	return "settings-" + hash
}

func historyKey(number uint64) string {
	return fmt.Sprintf("%012d", number)
}
