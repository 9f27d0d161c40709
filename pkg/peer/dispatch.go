package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// DispatchStream carries messages between a router and the dispatcher of a group of engines.
// Sending never blocks, receiving does.
type DispatchStream struct {
	stream  net.Conn
	reader  *bufio.Reader
	outbox  outbox
	timeout time.Duration
	// traffic counts the bytes sent.
	traffic *Traffic
}

// maxOutboxLength bounds the messages that wait to be sent. A peer that falls this far behind
// is treated as unusable.
const maxOutboxLength = 4096

// outbox queues messages to be sent. It allocates memory only while messages wait: a box has
// hundreds of streams, most of them idle.
type outbox struct {
	mu      sync.Mutex
	waiting []proto.Message
	// ready signals that messages wait. Capacity 1.
	ready chan struct{}
}

// put queues a message. It reports false if too many messages wait.
func (o *outbox) put(message proto.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= maxOutboxLength {
		return false
	}
	o.waiting = append(o.waiting, message)
	signal(o.ready)
	return true
}

// take removes and returns all queued messages.
func (o *outbox) take() (messages []proto.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages, o.waiting = o.waiting, nil
	return messages
}

// NewDispatchStream returns a stream on a connection.
func NewDispatchStream(stream net.Conn, timeout time.Duration) *DispatchStream {
	return newDispatchStream(stream, bufio.NewReader(stream), timeout, &Traffic{})
}

func newDispatchStream(stream net.Conn, reader *bufio.Reader, timeout time.Duration, traffic *Traffic) *DispatchStream {
	return &DispatchStream{
		traffic: traffic,
		stream:  stream,
		reader:  reader,
		outbox:  outbox{ready: make(chan struct{}, 1)},
		timeout: timeout,
	}
}

// Send queues a message. It reports false if the outbox is full; the caller must then close the
// stream.
func (s *DispatchStream) Send(message proto.Message) bool {
	return s.outbox.put(message)
}

// Receive reads the next message.
func (s *DispatchStream) Receive(message proto.Message) error {
	return receive(s.reader, message)
}

// Close closes both directions.
func (s *DispatchStream) Close() error {
	return s.stream.Close()
}

// Write sends the queued messages, several at a time, until the context ends or writing fails. It then
// closes the stream, so that nobody waits for an answer to what was not sent.
func (s *DispatchStream) Write(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = trace.NewAggregate(trace.Wrap(err, "writing to a dispatch stream"), s.Close())
		}
	}()
	writer := bufio.NewWriter(s.stream)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.outbox.ready:
			if err := s.writeQueued(writer); err != nil {
				return err
			}
		}
	}
}

func (s *DispatchStream) writeQueued(writer *bufio.Writer) error {
	if err := s.stream.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return err
	}
	for messages := s.outbox.take(); len(messages) > 0; messages = s.outbox.take() {
		for _, message := range messages {
			size, err := protodelim.MarshalTo(writer, message)
			if err != nil {
				return err
			}
			s.count(message, int64(size))
		}
	}
	return writer.Flush()
}

func (s *DispatchStream) count(message proto.Message, size int64) {
	if call, ok := message.(*peerpb.Call); ok && call.GetKept() != nil {
		s.traffic.Handovers.Add(size)
		return
	}
	s.traffic.Dispatch.Add(size)
}

// OpenDispatch opens a stream to the box that is the dispatcher of a group of engines.
func (e *Exchange) OpenDispatch(box, group string) (stream *DispatchStream, err error) {
	defer func() { err = trace.Wrap(err, "opening a dispatch stream to %s", box) }()
	session := e.session(box)
	if session == nil {
		return nil, trace.NotFound("no session to the peer")
	}
	raw, err := session.Open()
	if err != nil {
		return nil, err
	}
	opening := &peerpb.Opening{Purpose: &peerpb.Opening_DispatchHello{
		DispatchHello: &peerpb.DispatchHello{Router: e.hello(), Service: group},
	}}
	if err := send(raw, opening, e.Box.Exchange.Lapse.Duration, &e.Traffic.Dispatch); err != nil {
		raw.Close()
		return nil, err
	}
	return newDispatchStream(raw, bufio.NewReader(raw), e.Box.Exchange.Lapse.Duration, &e.Traffic), nil
}

// serveDispatch serves the stream of one router.
func (e *Exchange) serveDispatch(raw net.Conn, reader *bufio.Reader, hello *peerpb.DispatchHello) error {
	if e.Dispatch == nil || hello.Router == nil {
		return trace.BadParameter("this box does not dispatch")
	}
	if err := raw.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	stream := newDispatchStream(raw, reader, e.Box.Exchange.Lapse.Duration, &e.Traffic)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return stream.Write(ctx) })
	group.Go(func() error {
		// The writer ends with the server, also if the server returns no error.
		defer cancel()
		defer stream.Close()
		return e.Dispatch.ServeDispatch(decodeSender(hello.Router), hello.Service, stream)
	})
	return group.Wait()
}
