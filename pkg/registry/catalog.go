package registry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/interval"
)

// followCatalog puts changes of the declared state in force until the context ends.
func (r *Registry) followCatalog(ctx context.Context) error {
	retry := backoff{countOtherFollowers: r.CountOtherFollowers}
	since, known := epoch.Version(0), false
	orders := orderReader{log: r.Log}
	r.loadQuarantine(ctx)
	for r.awaitFollow(ctx, r.Catalog() != nil, nil) == nil {
		declared, err := r.readDeclared(ctx, since, known)
		r.recordCall(err)
		if err != nil {
			known = known && !isHistoryLost(err)
			r.Log.Warn("catalog not read", zap.Stringer("Since", since), zap.Error(err))
			if retry.wait(ctx) != nil {
				return nil
			}
			continue
		}
		if retry.failures > 0 {
			r.Log.Info("catalog is read again", zap.Int("Failures", retry.failures))
		}
		retry.reset()
		if declared.Version < since {
			r.Log.Info("catalog read from another version", zap.Stringer("Since", since), zap.Stringer("Version", declared.Version), zap.Bool("Whole", !known))
		}
		r.applyDeclared(declared, &orders, !known)
		since, known = declared.Version, true
	}
	return nil
}

func (r *Registry) readDeclared(ctx context.Context, since epoch.Version, known bool) (Declared, error) {
	if known {
		wait := min(max(minCatalogPollTimeout, catalogPollTimeoutPerBox*time.Duration(r.CountOtherFollowers())), maxCatalogPollTimeout)
		return r.Store.DeclaredSince(ctx, since, interval.Jittered(wait))
	}
	return r.Store.Declared(ctx)
}

// OfferCatalog puts a configuration in force if it is newer. A malformed one changes nothing.
func (r *Registry) OfferCatalog(content []byte, from string) {
	catalog, err := r.Store.DecodeCatalog(content)
	if err != nil {
		r.Log.Error("configuration not taken", zap.String("From", from), zap.Error(err))
		return
	}
	r.mu.Lock()
	current := r.catalog.Load()
	newer := current == nil || catalog.Version > current.Version
	if newer {
		r.content = content
		r.catalog.Store(catalog)
	}
	r.mu.Unlock()
	if !newer {
		return
	}
	r.Log.Info("configuration in force",
		zap.Uint64("Version", catalog.Version),
		zap.String("From", from),
		zap.Int("Routes", len(catalog.Routes)),
		zap.Int("Customers", len(catalog.Customers)))
	r.Changed()
}
