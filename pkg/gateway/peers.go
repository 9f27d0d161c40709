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

// recordListedBoxes records the boxes that the store lists. A box that is missing from the list
// is not considered lost: only its peers determine that.
func (g *Gateway) recordListedBoxes(boxes []registry.Box) {
	for _, found := range boxes {
		g.fleet.AddListed(peer.Sender{Box: found.Name, Zone: found.Zone, PeerAddress: found.PeerAddress, Cores: found.Cores})
	}
	g.wakeContacts()
}

// liveBoxes returns the other boxes that are alive.
func (g *Gateway) liveBoxes() (boxes []registry.Box) {
	g.fleet.EachLive(func(row *peer.Row) {
		boxes = append(boxes, registry.Box{Name: row.Box, Zone: row.Zone, PeerAddress: row.PeerAddress, Cores: row.Cores})
	})
	return boxes
}

// announceState reports to the other boxes at once whether this box is configured and whether it
// is stopping.
func (g *Gateway) announceState() {
	g.fleet.SetStatus(g.registry.Catalog() != nil, g.stopping.Load())
	g.exchange.SendNow()
}

// announceStoreState reports to the other boxes whether this box has lost the store.
func (g *Gateway) announceStoreState(lost bool) {
	g.fleet.SetStoreLost(lost)
	g.exchange.SendSoon()
}

const (
	// contactsInterval is the mean time between two selections of contacts if no change of the
	// fleet wakes maintainContacts.
	contactsInterval = 200 * time.Millisecond
	// minContactsInterval is the minimum time between two selections: while a fleet starts,
	// changes arrive every few milliseconds.
	minContactsInterval = 30 * time.Millisecond
)

// wakeContacts makes maintainContacts select the contacts again soon.
func (g *Gateway) wakeContacts() {
	select {
	case g.contactsWake <- struct{}{}:
	default:
	}
}

// maintainContacts keeps sessions to the boxes that the fleet's graph selects and to the
// dispatchers, until the context ends.
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

// dispatchers returns the boxes that dispatch for the groups of engines and those that would
// take over from them, to which sessions should exist before they are needed. It includes the
// boxes that this one notifies of the origins of streams, and those from which it fetches the tallies of
// a roll-out.
func (g *Gateway) dispatchers() (boxes []string) {
	for _, group := range g.schedulers() {
		boxes = append(boxes, group.wantedSessions(sessionsPerGroup)...)
	}
	boxes = append(boxes, g.continuations.linkedBoxes()...)
	return append(boxes, g.rollouts.proversToAsk()...)
}

// sessionsPerGroup is the number of top-ranked boxes of a group of engines to which sessions are
// kept.
const sessionsPerGroup = 2

// State returns the state of this box that is reported to its peers.
func (g *Gateway) State() peer.State {
	return peer.State{
		Leaving:   g.stopping.Load(),
		Revision:  g.catalogVersion(),
		Knowledge: g.registry.Knowledge(),
		Directory: g.registry.NewestVersion(),
		Orders:    g.registry.OrdersVersion(),
		Rollouts:  g.rollouts.verdicts(),
		Releases:  g.continuations.currentSummary(),
	}
}

func (g *Gateway) catalogVersion() uint64 {
	if catalog := g.registry.Catalog(); catalog != nil {
		return catalog.Version
	}
	return 0
}

// Snapshot returns the configuration in force, for peers.
func (g *Gateway) Snapshot() (revision uint64, content []byte) {
	return g.registry.Content()
}

// Orders returns the operator's orders in force, for peers.
func (g *Gateway) Orders() *route.Orders { return g.registry.Orders() }

// Directory returns the changes of the endpoints since a version, for peers. Knowledge is set
// only in the last part.
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

// encodeEndpoint encodes an entry. An entry in its grace period is also marked as gone, because
// boxes of earlier releases do not read LapsesIn and would use the endpoint for ever.
func encodeEndpoint(entry *registry.Entry, now time.Time) *peerpb.Endpoint {
	graceLeft := time.Duration(0)
	if !entry.GraceEnd.IsZero() {
		graceLeft = max(time.Microsecond, entry.GraceEnd.Sub(now))
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
		Gone:     entry.Gone || graceLeft > 0,
		Held:     entry.Held,
		Born:     entry.Born,
		ColdFor:  max(0, entry.ColdUntil.Sub(now)).Microseconds(),
		LapsesIn: graceLeft.Microseconds(),
	}
}

// decodeEntry is the inverse of encodeEndpoint.
func decodeEntry(message *peerpb.Endpoint, now time.Time) registry.Entry {
	graceEnd := time.Time{}
	if message.LapsesIn > 0 {
		graceEnd = now.Add(time.Duration(message.LapsesIn) * time.Microsecond)
	}
	return registry.Entry{
		Version:  epoch.Version(message.Version),
		Gone:     message.Gone && graceEnd.IsZero(),
		GraceEnd: graceEnd,
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

// HandleUpdate applies an update from a peer. first is set for the first one of a stream.
func (g *Gateway) HandleUpdate(from peer.Sender, state peer.State, first bool) {
	if g.fleet.HandleUpdate(from, state) {
		g.exchange.SendSoon()
		g.wakeContacts()
	}
	if first {
		g.Logs.For(logflags.Peer).Info("peer heard", zap.String("Peer", from.Box), zap.Uint64("Incarnation", from.Incarnation))
		g.exchange.Redial(from.Box)
	}
	if g.ledger.Merge(state.Ends, from.Box, time.Now()) {
		g.exchange.SendNow()
	}
	if state.Releases.Version != 0 && g.continuations.releases.Merge(state.Releases, time.Now()) {
		g.exchange.SendSoon()
	}
	if g.rollouts.applyVerdicts(state.Rollouts, time.Now()) {
		g.exchange.SendNow()
	}
	// A new departure changes the directory, and the change is reported to the other peers.
	g.registry.OfferDepartures(state.Departures, from.Box, time.Now())
	if state.Revision > g.catalogVersion() && g.catalogFetcher.addSource(from.Box, state.Revision) {
		g.work.Go(g.catalogFetcher.run)
	}
	if state.Orders > g.registry.OrdersVersion() && g.ordersFetcher.addSource(from.Box, uint64(state.Orders)) {
		g.work.Go(g.ordersFetcher.run)
	}
	learned, fetch := g.registry.ReceiveKnowledge(state.Knowledge, state.Directory)
	if fetch && g.directoryFetcher.addSource(from.Box, uint64(state.Knowledge.Known)) {
		g.work.Go(g.directoryFetcher.run)
	}
	if learned {
		g.exchange.SendNow()
	}
}

// knownVersion returns the version of the store up to which all endpoints are known.
func (g *Gateway) knownVersion() uint64 { return uint64(g.registry.Position()) }

// ordersVersion returns the version of the operator's orders in force.
func (g *Gateway) ordersVersion() uint64 { return uint64(g.registry.OrdersVersion()) }

// fetchCatalog fetches a newer configuration from a peer that reported it. Thus it spreads even
// while the store is unreachable.
func (g *Gateway) fetchCatalog(from string, version uint64) {
	snapshot, err := g.exchange.FetchSettingsFrom(from, version)
	if err != nil {
		g.Logs.For(logflags.Peer).Warn("configuration not taken from peer", zap.String("Peer", from), zap.Error(err))
		return
	}
	// The configuration is applied last: a box that has one serves requests, and must not do so
	// without the orders and the quarantine.
	g.offerOrders(snapshot.Orders, from)
	g.ledger.Merge(peer.DecodeEnds(snapshot.Ends), from, time.Now())
	g.registry.OfferDepartures(peer.DecodeDepartures(snapshot.Departures), from, time.Now())
	g.registry.OfferCatalog(snapshot.Content, from)
}

// fetchOrders fetches newer orders of the operator from a peer that reported them.
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

// fetchDirectory fetches the changes of the endpoints since the version known here.
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

// HandlePeerLost records that the session to a peer ended.
func (g *Gateway) HandlePeerLost(from peer.Sender) {
	g.fleet.HandlePeerLost(from)
	g.wakeContacts()
	g.Logs.For(logflags.Peer).Warn("peer lost", zap.String("Peer", from.Box), zap.Uint64("Incarnation", from.Incarnation))
}
