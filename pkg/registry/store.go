package registry

import (
	"context"
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// Entry is the store's row of one endpoint. If the row is malformed, only ID, Version and Problem
// are set.
type Entry struct {
	route.Endpoint
	// Version is the store's counter at the entry's last change.
	Version epoch.Version
	// ColdFor is how much longer the endpoint is cold, as of the read.
	ColdFor time.Duration
	// Gone is set in entries that were removed.
	Gone bool
	// Held is set in entries that are Gone by state from before a restore of the store, though the
	// restored copy lists them. The hold ends after restoreHoldDelay or when the store has a later
	// change of the entry.
	Held bool
	// GraceEnd is until when the endpoint of an entry is used that was removed during an outage;
	// Version is that of the removal. It is zero in entries that are listed or Gone.
	GraceEnd time.Time
	Problem  error
}

// Box is the row that a box writes about itself so that the others find it.
type Box struct {
	Name        string
	Zone        string
	PeerAddress string
	// Cores is the processor time that the box has; 0 means unknown.
	Cores float64
}

// ListedBox is a row of the store about a box. If the row is malformed, only Name, Version and
// Problem are set.
type ListedBox struct {
	Box
	// Version is the store's counter at the row's last change.
	Version epoch.Version
	Problem error
}

// Declared is the state that the operator has written, or the changes of it.
type Declared struct {
	// Version is the version of the store at the read.
	Version epoch.Version
	// Content is the accepted configuration; nil means none or no change.
	Content []byte
	// Evacuations are the orders to evacuate availability zones.
	Evacuations []Evacuation
	// Rollouts are the orders to move services to another version.
	Rollouts []DeclaredRollout
}

// DeclaredRollout is an order to move a service to another version of its endpoints, or its
// withdrawal. One with a Problem is ignored.
type DeclaredRollout struct {
	rollout.Order
	Withdrawn bool
	Problem   error
}

// RolloutStatus is the row from which the operator reads the progress of an order.
type RolloutStatus struct {
	Service, Target string
	Verdict         rollout.Verdict
	// Version is the store's counter at the row's last change; 0 means that there is no row.
	Version epoch.Version
}

// Evacuation is an order to send nothing to an availability zone, or its withdrawal. One with a
// Problem is ignored.
type Evacuation struct {
	Zone string
	// Version is the store's counter at the order's last change.
	Version   epoch.Version
	Withdrawn bool
	Problem   error
}

// Store is the part of the platform that the registry needs. All versions are of the store's
// single counter.
type Store interface {
	// Declared reads all that the operator has written.
	Declared(ctx context.Context) (Declared, error)
	// DeclaredSince waits up to the given time for a change after the version.
	DeclaredSince(ctx context.Context, version epoch.Version, wait time.Duration) (Declared, error)
	// DecodeCatalog decodes a configuration.
	DecodeCatalog(content []byte) (*route.Catalog, error)
	// Endpoints reads all entries.
	Endpoints(ctx context.Context) (entries []Entry, version epoch.Version, err error)
	// EndpointsSince reads the changes after the version since, without waiting. The version
	// returned is that of the store at the read.
	EndpointsSince(ctx context.Context, since epoch.Version) (entries []Entry, version epoch.Version, err error)
	// Announce writes the rows of boxes.
	Announce(ctx context.Context, boxes ...Box) error
	// AnnounceNew writes the row of a box, and reports whether it had none before.
	AnnounceNew(ctx context.Context, box Box) (isNew bool, err error)
	// Boxes reads the rows of all boxes. If limit is over 0, it reads at most that many, with few
	// calls: the first ones, and those from the given name on.
	Boxes(ctx context.Context, from string, limit int) ([]ListedBox, error)
	// ReadQuarantine reads the requests under which endpoints ended.
	ReadQuarantine(ctx context.Context) ([]QuarantinedRequest, error)
	// WriteQuarantine writes some of these requests; those without ends are removed.
	WriteQuarantine(ctx context.Context, rows []quarantine.StoredRequest) error
	// RolloutStatus reads the row of a service.
	RolloutStatus(ctx context.Context, service string) (RolloutStatus, error)
	// WriteRolloutStatus writes the row if its version is still the one given, and reports whether
	// it was.
	WriteRolloutStatus(ctx context.Context, status RolloutStatus) (written bool, err error)
	// Close cancels the calls in progress.
	Close()
}
