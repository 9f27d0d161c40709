package registry

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Refresh reads the configuration, the orders and the endpoints once, even if this box does not
// follow the store: its state may be older than it seems.
func (r *Registry) Refresh(ctx context.Context) (err error) {
	defer func() { err = trace.Wrap(err, "refreshing the state of the store") }()
	declared, err := r.Store.Declared(ctx)
	if err != nil {
		return err
	}
	since, began := r.Position(), time.Now()
	entries, version, err := r.Store.EndpointsSince(ctx, since)
	full := isHistoryLost(err) || since == 0
	if full {
		entries, version, err = r.Store.Endpoints(ctx)
	}
	if err != nil {
		return err
	}
	r.applyDeclared(declared, &orderReader{log: r.Log}, true)
	r.applyRead(entries, since, version, full, time.Now())
	r.recordCurrent(began)
	return nil
}
