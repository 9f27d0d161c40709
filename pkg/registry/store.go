package registry

import (
	"context"
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// Entry is what the store says of one endpoint. Problem is set, and nothing
// else but the ID and Version, when it can not be read.
type Entry struct {
	route.Endpoint
	// Version is the store's counter at the entry's last change.
	Version epoch.Version
	// ColdFor is how much longer the endpoint is cold, as of the reading.
	ColdFor time.Duration
	// Gone entries were removed.
	Gone bool
	// Held entries are Gone by what was known before the store was restored from a copy that
	// lists them. They count again after a while, unless the store has news of them.
	Held bool
	// LapsesAt is until when the endpoint of an entry is used that was removed in an outage; the
	// Version is that of its removal. Zero in entries that are listed, and in those that are Gone.
	GraceEnd time.Time
	Problem  error
}

// Box is what a box writes of itself, for the others to find it.
type Box struct {
	Name        string
	Zone        string
	PeerAddress string
	// Cores is the processor time that it has; 0 means unknown.
	Cores float64
}

// ListedBox is a row of the store about a box. Problem is set, and nothing else but the
// name and Version, when it can not be read.
type ListedBox struct {
	Box
	// Version is the store's counter at the row's last change.
	Version epoch.Version
	Problem error
}

// Declared is what the operator has written, or what changed of it.
type Declared struct {
	// Version is the store's at the reading.
	Version epoch.Version
	// Content is the accepted configuration; nil means none, or no change.
	Content []byte
	// Evacuations are the orders for availability zones.
	Evacuations []Evacuation
	// Rollouts are the orders to move services to another version.
	Rollouts []DeclaredRollout
}

// DeclaredRollout is an order to move a service to another version of its endpoints, or its
// withdrawal. One with a Problem moves nothing.
type DeclaredRollout struct {
	rollout.Order
	Withdrawn bool
	Problem   error
}

// RolloutStatus is the row in which the operator reads how far an order is.
type RolloutStatus struct {
	Service, Target string
	Verdict         rollout.Verdict
	// Version is the store's counter at the row's last change; 0 means that there is none.
	Version epoch.Version
}

// Evacuation is an order that nothing be sent to a zone, or its withdrawal. One with a
// Problem names no zone.
type Evacuation struct {
	Zone string
	// Version is the store's counter at the order's last change.
	Version   epoch.Version
	Withdrawn bool
	Problem   error
}

// Store is the part of the platform that the registry needs. Versions are of
// the store's one counter.
type Store interface {
	// Declared reads all that the operator has written.
	Declared(ctx context.Context) (Declared, error)
	// DeclaredSince waits for a change after the version.
	DeclaredSince(ctx context.Context, version epoch.Version, wait time.Duration) (Declared, error)
	// DecodeCatalog reads a configuration's content.
	DecodeCatalog(content []byte) (*route.Catalog, error)
	// Endpoints reads all entries.
	Endpoints(ctx context.Context) (entries []Entry, version epoch.Version, err error)
	// EndpointsSince reads what changed since the version, without waiting.
	EndpointsSince(ctx context.Context, version epoch.Version) (entries []Entry, now epoch.Version, err error)
	// Announce writes the entries of boxes.
	Announce(ctx context.Context, boxes ...Box) error
	// Boxes reads the entries of all boxes, or where most is over 0 of that many, such as are
	// found with little: some, and those from a name on.
	Boxes(ctx context.Context, from string, limit int) ([]ListedBox, error)
	// KeptRequests reads the requests under which endpoints ended.
	ReadQuarantine(ctx context.Context) ([]QuarantinedRequest, error)
	// KeepRequests writes some of them; those without ends are removed.
	WriteQuarantine(ctx context.Context, rows []quarantine.StoredRequest) error
	// RolloutStatus reads the row about a service.
	RolloutStatus(ctx context.Context, service string) (RolloutStatus, error)
	// WriteRolloutStatus writes it if it is still of the version given, and reports whether
	// it was.
	WriteRolloutStatus(ctx context.Context, status RolloutStatus) (written bool, err error)
	// Close ends the calls that are under way.
	Close()
}
