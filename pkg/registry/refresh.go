package registry

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Renew reads the configuration, the orders and the endpoints once, whoever follows the
// store: what this box knows may be older than it seems.
func (r *Registry) Refresh(ctx context.Context) (err error) {
	defer func() { err = trace.Wrap(err, "reading again what the store holds") }()
	declared, err := r.Store.Declared(ctx)
	if err != nil {
		return err
	}
	since := r.Position()
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
	return nil
}
