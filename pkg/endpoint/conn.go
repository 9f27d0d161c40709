// Package endpoint speaks HTTP to the endpoints of a pool. It keeps its own
// connections, so that it always knows whether a byte of a request may have
// left, and never reuses a connection whose answer was not read to its end.
package endpoint

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/keepalive"
)

// Check is asked again and again while an answer is awaited. An error ends the
// wait: the caller went away, or its deadline passed.
type Check func() error

// checkInterval is the time between two calls of a Check.
const checkInterval = 200 * time.Millisecond

// silence is how long a connection may be without a sign of life from the endpoint's
// machine. Callers of streams give up after 2 to 3.2 s without an event, so that an
// answer that comes later is of no use, and a cut that heals sooner ends none.
const silenceTimeout = 4 * time.Second

// maxIdleConns bounds the idle connections kept for one address.
const maxIdleConns = 64

// StalledError reports silence in the middle of an answer.
type StalledError struct {
	Address string
	Silence time.Duration
}

// Error names the address and the length of the silence.
func (e *StalledError) Error() string {
	return "endpoint " + e.Address + " was silent for " + e.Silence.String()
}

// DialError reports that no connection was made, so no byte has left.
type DialError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *DialError) Error() string {
	return "connecting to endpoint " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Err
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when its last answer had been read.
	idleSince time.Time
	// keepAlive is how long the endpoint keeps it idle; 0 means unknown.
	keepAlive time.Duration
}

// Client holds the connections to one address.
type Client struct {
	// Address is the endpoint's IP and port.
	Address string
	// ConnectTimeout bounds connecting.
	ConnectTimeout time.Duration
	// StallTimeout is the longest silence in the middle of an answer.
	StallTimeout time.Duration
	// HeaderBytes bounds the head of an answer.
	HeaderBytes int

	mu   sync.Mutex
	idle []*conn
	// usedAt is when a connection was last taken or given back.
	usedAt time.Time
	// retired clients keep no connection any more.
	retired bool
}

// dial opens a connection.
func (c *Client) dial() (*conn, error) {
	return c.dialContext(context.Background())
}

func (c *Client) dialContext(ctx context.Context) (*conn, error) {
	dialer := keepalive.Dialer(c.ConnectTimeout, silenceTimeout)
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, &DialError{Address: c.Address, Err: err}
	}
	return &conn{
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, max(4096, c.HeaderBytes)),
		writer: bufio.NewWriterSize(raw, 4096),
	}, nil
}

// take returns an idle connection that is still open, or a new one.
func (c *Client) acquire(forceNew bool) (*conn, error) {
	for !forceNew {
		idle := c.popIdle()
		if idle == nil {
			break
		}
		if idle.reader.Buffered() == 0 && IsOpen(idle.Conn) {
			return idle, nil
		}
		idle.Close()
	}
	return c.dial()
}

func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = time.Now()
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

// give keeps a connection whose answer was read to its end.
func (c *Client) release(open *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open.idleSince = time.Now()
	c.usedAt = open.idleSince
	if c.retired || len(c.idle) >= maxIdleConns {
		open.Close()
		return
	}
	c.idle = append(c.idle, open)
}

// Sweep closes the connections that were idle for too long: nothing else would,
// and each takes a descriptor here and at the endpoint.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[:0]
	for _, idle := range c.idle {
		if idle.isFresh(false) {
			kept = append(kept, idle)
			continue
		}
		idle.Close()
	}
	clear(c.idle[len(kept):])
	c.idle = kept
}

// Retire has a client that was not used for a while, and has no idle connection, keep none any
// more, so that it can be dropped: a box of a large fleet uses ever other endpoints. It reports
// whether it did; what is still under way goes on.
func (c *Client) Retire(unused time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usedAt.IsZero() {
		c.usedAt = time.Now()
	}
	if len(c.idle) == 0 && time.Since(c.usedAt) > unused {
		c.retired = true
	}
	return c.retired
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		idle.Close()
	}
	c.idle = nil
}

// Send writes the request and waits for the head of the answer. Fresh asks for
// a connection of its own, so that a stale one can not leave the outcome open.
// Sending is called just before the first byte may leave, sent once all has.
func (c *Client) Send(call *fasthttp.Request, forceNew bool, check Check, sending, sent func() error) (response *CheckedResponse, err error) {
	open, err := c.acquire(forceNew)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			open.Close()
			err = trace.Wrap(err, "calling endpoint %s", c.Address)
		}
	}()
	if err := sending(); err != nil {
		return nil, err
	}
	if err := open.write(call, c.StallTimeout); err != nil {
		return nil, err
	}
	if err := sent(); err != nil {
		return nil, err
	}
	response = &CheckedResponse{client: c, conn: open, check: check}
	response.Response.StreamBody = true
	response.Response.SkipBody = call.Header.IsHead()
	if err := response.waitReadable(false); err != nil {
		return nil, err
	}
	if err := response.Response.ReadLimitBody(open.reader, 0); err != nil {
		return nil, err
	}
	return response, nil
}

func (c *conn) write(call *fasthttp.Request, timeout time.Duration) error {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := call.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// isTimeout tells a passed read deadline from other failures.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
