package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/registry"
	"github.com/quaylead/quaylead/pkg/route"
)

// listed notes boxes that the store lists. A box that is missing from the list is not
// taken for gone: the fleet tells.
func (g *Gateway) recordListedBoxes(boxes []registry.Box) {
	for _, found := range boxes {
		g.fleet.AddListed(peer.Sender{Box: found.Name, Zone: found.Zone, PeerAddress: found.PeerAddress, Cores: found.Cores})
	}
	g.wakeContacts()
}

// live are the other boxes that are alive.
func (g *Gateway) liveBoxes() (boxes []registry.Box) {
	g.fleet.EachLive(func(row *peer.Row) {
		boxes = append(boxes, registry.Box{Name: row.Box, Zone: row.Zone, PeerAddress: row.PeerAddress, Cores: row.Cores})
	})
	return boxes
}

// tellOwn has other boxes told at once what is in force here.
func (g *Gateway) announceState() {
	g.fleet.SetStatus(g.registry.Catalog() != nil, g.stopping.Load())
	g.exchange.SendNow()
}

// noteStore tells the others whether this box reaches the store.
func (g *Gateway) announceStoreState(lost bool) {
	g.fleet.SetStoreLost(lost)
	g.exchange.SendSoon()
}

const (
	// contactsInterval is the mean time between two choices of contacts, without news.
	contactsInterval = 200 * time.Millisecond
	// contactsLeast is the least time between two: while a fleet starts, news comes
	// every few milliseconds.
	minContactsInterval = 30 * time.Millisecond
)

// chooseContacts has the contacts chosen anew soon.
func (g *Gateway) wakeContacts() {
	select {
	case g.contactsWake <- struct{}{}:
	default:
	}
}

// keepContacts keeps sessions to the boxes that the fleet's graph asks for, and to
// those that dispatch, until the context ends.
func (g *Gateway) maintainContacts(ctx context.Context) error {
	for {
		contacts := g.fleet.Contacts(time.Now(), g.dispatchers(), g.exchange.Connected())
		g.exchange.SetContacts(contacts)
		if g.fleet.Refresh(time.Now()) {
			g.exchange.SendSoon()
		}
		if interval.Wait(ctx, max(minContactsInterval, g.fleet.RowsDelay()/2)) != nil {
			return nil
		}
		if interval.WaitOr(ctx, interval.Jittered(contactsInterval), g.contactsWake) != nil {
			return nil
		}
	}
}

// dispatchers are the boxes that dispatch for the groups of engines, and those that
// take over from them: a session to these stands before it is needed.
func (g *Gateway) dispatchers() (boxes []string) {
	for _, group := range g.schedulers() {
		boxes = append(boxes, group.wantedSessions(readyDispatchers)...)
	}
	return append(boxes, g.rollouts.proversToAsk()...)
}

// dispatchersReady is the number of boxes, of those that rank first for a group of
// engines, to which a session is kept.
const readyDispatchers = 2

// State tells peers what is in force here.
func (g *Gateway) State() peer.State {
	return peer.State{
		Leaving:   g.stopping.Load(),
		Revision:  g.catalogVersion(),
		Knowledge: g.registry.Knowledge(),
		Directory: g.registry.NewestVersion(),
		Orders:    g.registry.OrdersVersion(),
		Rollouts:  g.rollouts.verdicts(),
	}
}

func (g *Gateway) catalogVersion() uint64 {
	if catalog := g.registry.Catalog(); catalog != nil {
		return catalog.Version
	}
	return 0
}

// Snapshot gives peers the configuration in force.
func (g *Gateway) Snapshot() (revision uint64, content []byte) {
	return g.registry.Content()
}

// Orders gives peers the operator's orders in force.
func (g *Gateway) Orders() *route.Orders { return g.registry.Orders() }

// Directory gives peers what changed of the endpoints after a version.
func (g *Gateway) Directory(since uint64) *peerpb.Directory {
	entries, then, more := g.registry.EntriesSince(epoch.Version(since))
	directory := &peerpb.Directory{More: more}
	if !more {
		directory.Knowledge = peer.EncodeKnowledge(then)
	}
	now := time.Now()
	for _, entry := range entries {
		directory.Endpoints = append(directory.Endpoints, encodeEndpoint(entry, now))
	}
	return directory
}

func encodeEndpoint(entry *registry.Entry, now time.Time) *peerpb.Endpoint {
	lapsesIn := time.Duration(0)
	if !entry.GraceEnd.IsZero() {
		lapsesIn = max(time.Microsecond, entry.GraceEnd.Sub(now))
	}
	return &peerpb.Endpoint{
		ID:       entry.ID,
		Version:  uint64(entry.Version),
		Service:  entry.Service,
		Address:  entry.Address,
		Zone:     entry.Zone,
		Slots:    uint32(entry.Slots),
		Release:  entry.Release,
		Leaving:  entry.Leaving,
		Gone:     entry.Gone || lapsesIn > 0,
		Held:     entry.Held,
		Born:     entry.Born,
		ColdFor:  max(0, entry.ColdUntil.Sub(now)).Microseconds(),
		LapsesIn: lapsesIn.Microseconds(),
	}
}

// entryOf is the reverse of endpointMessage.
func decodeEntry(message *peerpb.Endpoint, now time.Time) registry.Entry {
	lapsesAt := time.Time{}
	if message.LapsesIn > 0 {
		lapsesAt = now.Add(time.Duration(message.LapsesIn) * time.Microsecond)
	}
	return registry.Entry{
		Version:  epoch.Version(message.Version),
		Gone:     message.Gone && lapsesAt.IsZero(),
		GraceEnd: lapsesAt,
		Held:     message.Held,
		ColdFor:  time.Duration(message.ColdFor) * time.Microsecond,
		Endpoint: route.Endpoint{
			ID:      message.ID,
			Service: message.Service,
			Address: message.Address,
			Zone:    message.Zone,
			Slots:   int(message.Slots),
			Release: message.Release,
			Facts:   lifecycle.Facts{Born: message.Born, Leaving: message.Leaving},
		},
	}
}

// Heard applies what a peer tells.
func (g *Gateway) HandleUpdate(from peer.Sender, news peer.State, first bool) {
	if g.fleet.HandleUpdate(from, news) {
		g.exchange.SendSoon()
		g.wakeContacts()
	}
	if first {
		g.Logs.For(logflags.Peer).Info("peer heard", zap.String("Peer", from.Box), zap.Uint64("Incarnation", from.Incarnation))
		g.exchange.Redial(from.Box)
	}
	if g.ledger.Merge(news.Ends, from.Box, time.Now()) {
		g.exchange.SendNow()
	}
	if g.rollouts.applyVerdicts(news.Rollouts, time.Now()) {
		g.exchange.SendNow()
	}
	// What is news here is told on by the change of the directory.
	g.registry.OfferDepartures(news.Departures, from.Box, time.Now())
	if news.Revision > g.catalogVersion() && g.catalogs.addSource(from.Box, news.Revision) {
		g.work.Go(g.catalogs.run)
	}
	if news.Orders > g.registry.OrdersVersion() && g.orders.addSource(from.Box, uint64(news.Orders)) {
		g.work.Go(g.orders.run)
	}
	learnt, ask := g.registry.ReceiveKnowledge(news.Knowledge, news.Directory)
	if ask && g.directories.addSource(from.Box, uint64(news.Knowledge.Known)) {
		g.work.Go(g.directories.run)
	}
	if learnt {
		g.exchange.SendNow()
	}
}

// knownVersion is the version of the store up to which all endpoints are known.
func (g *Gateway) knownVersion() uint64 { return uint64(g.registry.Position()) }

// ordersVersion is that of the operator's orders in force.
func (g *Gateway) ordersVersion() uint64 { return uint64(g.registry.OrdersVersion()) }

// fetchCatalog takes a higher version from a peer that told of it, so that a store
// that is out of reach does not stop its spread.
func (g *Gateway) fetchCatalog(from string, version uint64) {
	snapshot, err := g.exchange.FetchSettingsFrom(from, version)
	if err != nil {
		g.Logs.For(logflags.Peer).Warn("configuration not taken from peer", zap.String("Peer", from), zap.Error(err))
		return
	}
	// The orders and what is quarantined go first: a box that has a configuration serves.
	g.offerOrders(snapshot.Orders, from)
	g.ledger.Merge(peer.DecodeEnds(snapshot.Ends), from, time.Now())
	g.registry.OfferDepartures(peer.DecodeDepartures(snapshot.Departures), from, time.Now())
	g.registry.OfferCatalog(snapshot.Content, from)
}

// fetchOrders takes later orders of the operator from a peer that told of them.
func (g *Gateway) fetchOrders(from string, _ uint64) {
	orders, err := g.exchange.FetchOrders(from)
	if err != nil {
		g.Logs.For(logflags.Peer).Warn("orders not taken from peer", zap.String("Peer", from), zap.Error(err))
		return
	}
	g.offerOrders(orders, from)
}

func (g *Gateway) offerOrders(orders *peerpb.Orders, from string) {
	if orders != nil {
		g.registry.OfferOrders(peer.DecodeOrders(orders, time.Now()), from)
	}
}

// fetchDirectory takes what changed of the endpoints since what is known here.
func (g *Gateway) fetchDirectory(from string, _ uint64) {
	directory, err := g.exchange.FetchDirectory(from, g.knownVersion())
	if err != nil {
		g.Logs.For(logflags.Peer).Warn("endpoints not taken from peer", zap.String("Peer", from), zap.Error(err))
		return
	}
	g.registry.OfferEntries(decodeEntries(directory), peer.DecodeKnowledge(directory.Knowledge), from)
	g.exchange.SendNow()
}

func decodeEntries(directory *peerpb.Directory) []registry.Entry {
	now := time.Now()
	entries := make([]registry.Entry, 0, len(directory.Endpoints))
	for _, message := range directory.Endpoints {
		entries = append(entries, decodeEntry(message, now))
	}
	return entries
}

// Silent notes that a peer's session ended.
func (g *Gateway) HandlePeerLost(from peer.Sender) {
	g.fleet.HandlePeerLost(from)
	g.wakeContacts()
	g.Logs.For(logflags.Peer).Warn("peer lost", zap.String("Peer", from.Box), zap.Uint64("Incarnation", from.Incarnation))
}
