package gateway

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/ending"
	"github.com/quaylead/quaylead/pkg/endpoint"
)

// recordUnframedEnd records how a response without a length or chunks ended: with err, or without one
// at the end of its connection.
func (c *call) recordUnframedEnd(to *destination, response *endpoint.Response, err error) {
	if response.IsFramed() || c.ctx.Err() != nil {
		return
	}
	c.gateway.Metrics.UnframedEnded(err != nil)
	// Whether it is whole only its caller may find out, so that each one is logged.
	c.log().Info("response ended with its connection",
		zap.String("Request", c.ID),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", to.ID),
		zap.Bool("Leaving", to.Leaving),
		zap.Int("Bytes", response.BytesRead()),
		zap.Error(err))
}

// errUnprovenEnd ends a response without framing that may be whole: its endpoint ended with it, perhaps as planned.
// Another endpoint can tell, and it says nothing about this one.
var errUnprovenEnd = errors.New("the endpoint ended with its response, which may be incomplete")

// checkUnframedEnd returns the error of a response without framing that ended because its endpoint did. If nothing
// proves the end, the request goes to another endpoint where it may; else the response counts as whole.
func (c *call) checkUnframedEnd(to *destination, response *endpoint.Response, mayAskAgain bool) error {
	if response.IsFramed() || c.ctx.Err() != nil {
		return nil
	}
	observed, verdict := response.AwaitEnding(c.ctx, func() bool { return c.isLeaving(to) })
	c.log().Debug("end of a response observed",
		zap.String("Request", c.ID),
		zap.String("Endpoint", to.ID),
		zap.String("Verdict", string(verdict)),
		zap.Bool("Alive", observed.IsAlive),
		zap.Bool("Open", observed.IsOpen),
		zap.String("Address", string(observed.Address)),
		zap.Bool("Interrupted", observed.IsInterrupted),
		zap.Bool("Leaving", observed.IsLeaving))
	switch {
	case verdict == ending.Cut, observed.IsInterrupted && c.ctx.Err() != nil:
		return response.CutError()
	case verdict == ending.Unproven && mayAskAgain && c.ctx.Err() == nil && c.mayTryAgain() && c.gateway.budget.canTake(c.service.Name):
		return errUnprovenEnd
	default:
		return nil
	}
}

// isLeaving reports whether the end of an endpoint is planned: its entry says so, or is gone.
func (c *call) isLeaving(to *destination) bool {
	current, isListed := c.gateway.registry.Directory().Find(to.ID)
	return to.Leaving || !isListed || current.Leaving
}

// forwardUnframed sends a response that ended with the endpoint's connection, whose head is set
// already. It ends with the caller's connection too: this box does not know whether it is complete,
// and a length or a last chunk would say so.
func (c *call) forwardUnframed(body []byte) {
	err := c.writeUnframedHead(body)
	if err != nil {
		c.log().Info("response without framing not written", zap.String("Request", c.ID), zap.Error(err))
	}
	c.endUnframed(err)
}

// forwardUnframedStream does the same for a stream, event by event. One that is known to be cut ends with
// a reset.
func (c *call) forwardUnframedStream(events *stream) {
	cut := c.writeUnframedHead(nil)
	if cut == nil {
		// The connection's own ReadFrom would pass over the account of what is written.
		caller := struct{ io.Writer }{c.http.Conn()}
		_, cut = io.CopyBuffer(caller, events, make([]byte, unframedBufferBytes))
	}
	_ = events.Close()
	c.endUnframed(cut)
}

// unframedBufferBytes is the size of the buffer through which a stream without framing is forwarded.
const unframedBufferBytes = 4 << 10

// writeUnframedHead writes the head of a response and what follows it. The HTTP server frames all
// responses, so this one is written to the connection directly; earlier ones were flushed, as
// ReduceMemoryUsage is set.
func (c *call) writeUnframedHead(body []byte) error {
	const closeDelimited = -2
	header := &c.http.Response.Header
	header.SetContentLength(closeDelimited)
	conn := c.http.Conn()
	// The kernel closes the connections of a killed process, and must not do so in order.
	setReset(conn, true)
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	buffers := net.Buffers{header.Header(), body}
	_, err := buffers.WriteTo(conn)
	return err
}

// endUnframed closes the caller's connection in order, or resets it if the response is cut.
func (c *call) endUnframed(cut error) {
	conn := c.http.Conn()
	if cut == nil {
		setReset(conn, false)
	}
	c.http.HijackSetNoResponse(true)
	c.http.Hijack(func(net.Conn) {
		if cut == nil {
			dropUnread(conn)
		}
		_ = conn.Close()
		// The server does not report that a hijacked connection is closed.
		if c.gateway.memory != nil {
			c.gateway.memory.trackConnection(conn, fasthttp.StateClosed)
		}
	})
}

// setReset determines whether a connection ends with a reset when it is closed, or in order.
func setReset(conn net.Conn, reset bool) {
	lingering, ok := conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	const (
		dropUnsent    = 0
		deliverUnsent = -1
	)
	if reset {
		_ = lingering.SetLinger(dropUnsent)
		return
	}
	_ = lingering.SetLinger(deliverUnsent)
}

// dropUnread ends what is written to a connection, and reads and drops what its caller still sends: a
// connection that is closed with unread data is reset.
func dropUnread(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, conn, maxBodyBytes)
}
