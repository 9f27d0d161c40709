package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/peer"
)

// originLink is the stream to a box that this one notifies of origins.
type originLink struct {
	box         string
	incarnation uint64
	// stream is nil until it is open, and waiting are the origins to send then; at most
	// maxWaitingOrigins.
	stream  *peer.OriginStream
	waiting []continuation.Origin
}

const (
	maxWaitingOrigins = 4096
	// originLinkTTL is how long an unused link is kept.
	originLinkTTL = 2 * time.Second
	// originLinkDelay is the time after which a link that failed is opened again. Boxes of earlier
	// builds end each at once.
	originLinkDelay = time.Second
)

// send queues an origin for a box. It reports whether the box will be notified; if it is not, or the
// link fails later, the origins of streams in progress are sent again. The lock is held.
func (k *continuations) send(box string, incarnation uint64, origin continuation.Origin, now time.Time) bool {
	link := k.links[box]
	switch {
	case now.Before(k.avoided[box]):
		return false
	case link == nil || link.incarnation != incarnation:
		link = &originLink{box: box, incarnation: incarnation, waiting: []continuation.Origin{origin}}
		if k.links == nil {
			k.links, k.avoided = map[string]*originLink{}, map[string]time.Time{}
		}
		k.links[box] = link
		k.gateway.work.Go(func() error {
			k.run(link)
			return nil
		})
		return true
	case link.stream != nil:
		return link.stream.Send(origin)
	case len(link.waiting) >= maxWaitingOrigins:
		return false
	}
	link.waiting = append(link.waiting, origin)
	return true
}

// run opens a link and sends on it until it is unused or fails.
func (k *continuations) run(link *originLink) {
	ctx, cancel := context.WithCancel(k.gateway.workContext)
	defer cancel()
	stream, err := k.open(ctx, link)
	if err == nil {
		k.gateway.work.Go(func() error {
			stream.AwaitClose()
			cancel()
			return nil
		})
		err = stream.Write(ctx, originLinkTTL)
	}
	k.drop(link, err)
}

// open opens the stream of a link, and first a session if there is none.
func (k *continuations) open(ctx context.Context, link *originLink) (stream *peer.OriginStream, err error) {
	g := k.gateway
	if err := g.connectTo(ctx, link.box); err != nil {
		return nil, err
	}
	if stream, err = g.exchange.OpenOrigins(link.box); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, origin := range link.waiting {
		stream.Send(origin)
	}
	link.stream, link.waiting = stream, nil
	return stream, nil
}

// drop removes a link. If it failed, what was sent on it may be lost.
func (k *continuations) drop(link *originLink, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.links[link.box] == link {
		delete(k.links, link.box)
	}
	if err == nil {
		return
	}
	k.log.Debug("origins of streams not told", zap.String("Peer", link.box), zap.Error(err))
	k.avoided[link.box] = time.Now().Add(originLinkDelay)
	for _, stream := range k.live {
		delete(stream.notified, link.incarnation)
	}
}

// linkedBoxes returns the boxes to which links exist, to which sessions are kept.
func (k *continuations) linkedBoxes() (boxes []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for box := range k.links {
		boxes = append(boxes, box)
	}
	return boxes
}

// connectTo opens a session to a box if there is none.
func (g *Gateway) connectTo(ctx context.Context, box string) error {
	if g.exchange.IsConnected(box) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, sessionOpenTimeout)
	defer cancel()
	if err := g.exchange.Connect(ctx, box, g.fleet.AddressOf(box)); err != nil {
		return err
	}
	g.wakeContacts()
	return nil
}
