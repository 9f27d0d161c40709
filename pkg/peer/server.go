package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// accept serves the sessions that peers open.
func (e *Exchange) accept(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		group.Go(func() error {
			if err := e.serve(ctx, raw); err != nil {
				e.Log.Debug("session from peer ended", zap.Error(err))
			}
			return nil
		})
	}
}

// serve serves one peer's session until it ends.
func (e *Exchange) serve(ctx context.Context, raw net.Conn) error {
	defer raw.Close()
	if e.TLS != nil {
		raw = tls.Server(raw, e.TLS)
	}
	session, err := yamux.Server(&countingConn{Conn: raw, traffic: &e.Traffic}, e.sessionConfig())
	if err != nil {
		return err
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	group := errgroup.Group{}
	for {
		stream, err := session.Accept()
		if err != nil {
			session.Close()
			return trace.NewAggregate(err, group.Wait())
		}
		group.Go(func() error {
			defer stream.Close()
			return e.serveStream(stream, session)
		})
	}
}

// serveStream serves one stream according to its opening message.
func (e *Exchange) serveStream(stream net.Conn, session *yamux.Session) error {
	reader := bufio.NewReader(stream)
	if err := e.setReadDeadline(stream); err != nil {
		return err
	}
	opening := &peerpb.Opening{}
	if err := receive(reader, opening); err != nil {
		return err
	}
	switch purpose := opening.Purpose.(type) {
	case *peerpb.Opening_Hello:
		err := e.receiveUpdates(stream, reader, purpose.Hello)
		if !errors.Is(err, io.EOF) {
			session.Close()
		}
		return err
	case *peerpb.Opening_SnapshotRequest:
		return e.sendSnapshot(stream, purpose.SnapshotRequest)
	case *peerpb.Opening_DispatchHello:
		return e.serveDispatch(stream, reader, purpose.DispatchHello)
	case *peerpb.Opening_OriginsHello:
		return e.receiveOrigins(stream, reader)
	}
	return trace.BadParameter("the opening message of a stream has no purpose")
}

func (e *Exchange) sendSnapshot(stream net.Conn, request *peerpb.SnapshotRequest) (err error) {
	response := &peerpb.Snapshot{}
	switch {
	case request.Directory && e.Directory == nil:
		return trace.BadParameter("this box provides no endpoints")
	case request.Directory:
		response.Content, err = proto.Marshal(e.Directory.Directory(request.Since))
	case request.Rollout != "" && e.Rollouts == nil:
		return trace.BadParameter("this box keeps no roll-out tallies")
	case request.Rollout != "":
		response.Tally = e.Rollouts.RolloutTally(request.Rollout)
	case request.Origin != nil && e.Origins == nil:
		return trace.BadParameter("this box keeps no origins of streams")
	case request.Origin != nil:
		response.Origin = encodeOriginAnswer(e.Origins.FindOrigin(continuation.Key(request.Origin.Key), request.Origin.Service))
	case request.Orders:
		response.Orders = e.orders()
	default:
		// The orders are read after the settings, so that they are not older than these.
		response.Revision, response.Content = e.States.Snapshot()
		response.Orders = e.orders()
		if e.Ends != nil {
			response.Ends = EncodeEnds(e.Ends.MostSevere(time.Now()))
		}
		if e.Departures != nil {
			departures, _ := e.Departures.Departures(0, "", time.Now())
			response.Departures = EncodeDepartures(departures)
		}
	}
	if err != nil {
		return err
	}
	return send(stream, response, e.Box.Exchange.Lapse.Duration, &e.Traffic.Snapshots)
}

// orders returns the orders in force here, or nil if they are not known.
func (e *Exchange) orders() *peerpb.Orders {
	if e.Orders == nil {
		return nil
	}
	orders := e.Orders.Orders()
	if orders == nil {
		return nil
	}
	return encodeOrders(orders, time.Now())
}

func decodeSender(hello *peerpb.Hello) Sender {
	return Sender{
		Box:             hello.Box,
		Zone:            hello.Zone,
		Incarnation:     hello.Incarnation,
		OperatorAddress: hello.OperatorAddress,
		PeerAddress:     hello.PeerAddress,
		Cores:           float64(hello.Cores) / coreUnits,
	}
}

// receiveUpdates passes a peer's updates to the Handler until the peer ends the stream or sends
// nothing for too long. In the latter case the caller closes the session, and the peer starts
// again with its whole state. A session on which the peer has ended its updates stays open, as
// it may still be used for requests.
func (e *Exchange) receiveUpdates(stream net.Conn, reader *bufio.Reader, hello *peerpb.Hello) error {
	from := decodeSender(hello)
	if from.Incarnation == e.Incarnation {
		return nil
	}
	e.adjustStreamCount(from, 1)
	defer e.adjustStreamCount(from, -1)
	decoder := decoder{}
	for first := true; ; first = false {
		if err := e.setReadDeadline(stream); err != nil {
			return err
		}
		update := &peerpb.Update{}
		if err := receive(reader, update); err != nil {
			return err
		}
		state, err := decoder.decode(update)
		if err != nil {
			return err
		}
		e.Handler.HandleUpdate(from, state, first)
	}
}

// adjustStreamCount changes the number of open update streams of a sender and calls
// HandlePeerLost when the last one ends. The lock is held during the call, so that the first
// update of a stream opened at the same time is handled after the loss and is not undone by it.
func (e *Exchange) adjustStreamCount(from Sender, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[from.Incarnation] += change
	if e.streams[from.Incarnation] == 0 {
		delete(e.streams, from.Incarnation)
		e.Handler.HandlePeerLost(from)
	}
}

// setReadDeadline bounds the wait for the peer's next message.
func (e *Exchange) setReadDeadline(stream net.Conn) error {
	return stream.SetReadDeadline(time.Now().Add(e.Box.Exchange.Lapse.Duration))
}
