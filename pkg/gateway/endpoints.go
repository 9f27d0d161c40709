package gateway

import (
	"context"
	"time"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/route"
)

// applyChanges applies a new catalog or directory to the pools.
func (g *Gateway) applyChanges() {
	g.announceState()
	g.rollouts.setOrders(g.registry.Orders())
	g.mu.Lock()
	defer g.mu.Unlock()
	catalog := g.registry.Catalog()
	if catalog == nil || g.registry.Directory() == nil {
		return
	}
	changes, directory := g.registry.TakeChanges()
	g.continuations.releases.Apply(changes, time.Now())
	g.continuations.releases.Start(time.Now())
	configChanged := catalog != g.catalog
	if configChanged {
		g.continuations.configure(catalog)
	}
	g.catalog = catalog
	for name, service := range catalog.Services {
		if service.Engine == nil {
			g.updatePlain(service, directory, changes, configChanged)
		}
		p, used := g.pools[name], service.Engine != nil || catalog.QueuesPlain(name)
		if p == nil && !used {
			continue
		}
		if p == nil {
			p = &pool{gateway: g, name: name, histories: newHistories(g.Settings.ShareWindow)}
			g.pools[name] = p
			p.start(service, catalog.Limits.TokensPerSecond, directory)
			continue
		}
		p.applyChanges(directory, changes)
		if configChanged {
			p.configure(service, catalog.Limits.TokensPerSecond, !used)
		}
	}
	g.attempts.cancelRestarted(directory)
	for i := range changes {
		g.closeConnections(&changes[i])
	}
}

// updatePlain updates the health of a plain service's endpoints that changed, or of all if the
// configuration changed.
func (g *Gateway) updatePlain(service route.Service, directory *route.Directory, changes []route.Change, configChanged bool) {
	bound := service.ColdStart.Bound(g.Settings.ColdFactor, g.Settings.ColdExtra)
	now := time.Now()
	initial := g.health.isEmpty()
	if configChanged {
		directory.Each(service.Name, func(e *route.Endpoint) bool {
			g.health.update(e, bound, initial, now)
			return true
		})
	}
	for i := range changes {
		switch before, after := changes[i].Before, changes[i].After; {
		case after != nil && after.Service == service.Name && !after.Leaving:
			g.health.update(after, bound, initial, now)
		case after == nil && before.Service == service.Name:
			g.health.remove(before.ID)
		}
	}
}

// closeConnections closes the idle connections to an endpoint that is gone or has restarted:
// what is sent on them would be lost. The caller holds the lock.
func (g *Gateway) closeConnections(change *route.Change) {
	before, after := change.Before, change.After
	if before == nil || (after != nil && after.Address == before.Address && !after.Supersedes(&before.Facts)) {
		return
	}
	if client := g.clients[before.Address]; client != nil {
		client.Close()
		delete(g.clients, before.Address)
	}
}

// pool returns the pool of a service; nil if its requests are not dispatched.
func (g *Gateway) pool(service string) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[service]
}

// client returns the client for an address.
func (g *Gateway) client(address string) *endpoint.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	client := g.clients[address]
	if client == nil {
		client = &endpoint.Client{
			Address:        address,
			ConnectTimeout: connectTimeout,
			HeaderBytes:    4 << 10,
			KernelBuffer:   g.memory.kernelBuffer(),
		}
		g.clients[address] = client
	}
	return client
}

const (
	// sweepInterval is the time between two sweeps for connections idle for too long.
	sweepInterval = 2 * time.Second
	// clientTTL is how long an endpoint must be unused before its client is dropped.
	clientTTL = 30 * time.Second
)

func (g *Gateway) sweepIdle(ctx context.Context) error {
	interval.Every(ctx, sweepInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for address, client := range g.clients {
			client.Sweep()
			if client.Retire(clientTTL) {
				delete(g.clients, address)
			}
		}
	})
	return nil
}
