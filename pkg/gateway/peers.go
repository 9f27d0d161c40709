package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/registry"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/settings"
)

func addressKnown(endpoints map[string]route.Endpoint, address string) bool {
	for _, endpoint := range endpoints {
		if endpoint.Address == address {
			return true
		}
	}
	return false
}

// addPeers opens sessions to boxes that the store lists. A box that is missing
// from the list is not taken for gone: its session tells.
func (g *Gateway) addPeers(boxes []registry.Box) {
	g.mu.Lock()
	for _, found := range boxes {
		g.peers[found.Name] = settings.Peer{Address: found.PeerAddress, Zone: found.Zone}
	}
	peers := make(map[string]settings.Peer, len(g.peers))
	for name, known := range g.peers {
		peers[name] = known
	}
	g.mu.Unlock()
	g.exchange.SetPeers(peers)
}

// State tells peers what is in force here.
func (g *Gateway) State() peer.State {
	state := peer.State{Leaving: g.stopping.Load(), Looks: g.looks.Load()}
	if catalog := g.registry.Catalog(); catalog != nil {
		state.Revision = catalog.Version
	}
	if directory := g.registry.Directory(); directory != nil {
		state.Directory = directory.Version
	}
	return state
}

// looked tells peers that they need not look at the endpoints themselves.
func (g *Gateway) looked() {
	g.looks.Add(1)
	g.exchange.Wake()
}

// Snapshot gives peers the configuration in force.
func (g *Gateway) Snapshot() (revision uint64, content []byte) {
	return g.registry.Content()
}

// Directory gives peers what is known of the endpoints.
func (g *Gateway) Directory() *peerpb.Directory {
	directory := &peerpb.Directory{}
	for _, entry := range g.registry.Entries() {
		directory.Endpoints = append(directory.Endpoints, &peerpb.Endpoint{
			ID:      entry.ID,
			Version: entry.Version,
			Service: entry.Service,
			Address: entry.Address,
			Zone:    entry.Zone,
			Slots:   uint32(entry.Slots),
			Leaving: entry.Leaving,
			Gone:    entry.Gone,
		})
	}
	return directory
}

// Heard applies what a peer tells.
func (g *Gateway) Heard(from peer.Sender, news peer.State, first bool) {
	if g.members.Heard(from, news, first, time.Now()) {
		g.registry.HeardLook()
	}
	if first {
		g.Logs.For(logflags.Peer).Info("peer heard", zap.String("Peer", from.Box), zap.Uint64("Incarnation", from.Incarnation))
		g.addPeers([]registry.Box{{Name: from.Box, Zone: from.Zone, PeerAddress: from.PeerAddress}})
		g.exchange.Redial(from.Box)
	}
	if news.Revision > g.State().Revision {
		g.fetchCatalog(from.Box, news.Revision)
	}
	if news.Directory > g.State().Directory {
		g.fetchDirectory(from.Box)
	}
}

// fetchCatalog takes a higher version from the peer that told of it, so that a
// store that is out of reach does not stop its spread.
func (g *Gateway) fetchCatalog(from string, version uint64) {
	_, content, err := g.exchange.Fetch(from, version)
	if err != nil {
		g.Logs.For(logflags.Peer).Warn("configuration not taken from peer", zap.String("Peer", from), zap.Error(err))
		return
	}
	g.registry.OfferCatalog(content, from)
}

func (g *Gateway) fetchDirectory(from string) {
	directory, err := g.exchange.FetchDirectory(from)
	if err != nil {
		g.Logs.For(logflags.Peer).Warn("endpoints not taken from peer", zap.String("Peer", from), zap.Error(err))
		return
	}
	entries := make([]registry.Entry, 0, len(directory.Endpoints))
	for _, entry := range directory.Endpoints {
		entries = append(entries, registry.Entry{
			Version: entry.Version,
			Gone:    entry.Gone,
			Endpoint: route.Endpoint{
				ID:      entry.ID,
				Service: entry.Service,
				Address: entry.Address,
				Zone:    entry.Zone,
				Slots:   int(entry.Slots),
				Leaving: entry.Leaving,
			},
		})
	}
	g.registry.OfferEntries(entries, from)
}

// Silent notes that a peer's session ended.
func (g *Gateway) Silent(from peer.Sender) {
	g.members.Silent(from)
	g.Logs.For(logflags.Peer).Warn("peer lost", zap.String("Peer", from.Box), zap.Uint64("Incarnation", from.Incarnation))
}
