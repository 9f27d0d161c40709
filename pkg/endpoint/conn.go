// Package endpoint is an HTTP client for the endpoints of a pool. It manages its own
// connections so that it always knows whether a byte of a request may have been sent, and
// never reuses a connection whose response was not read to its end.
package endpoint

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/keepalive"
)

// Check is called repeatedly while a response is awaited. An error ends the wait: the caller
// disconnected or its deadline passed.
type Check func() error

// checkInterval is the time between two calls of a Check.
const checkInterval = 200 * time.Millisecond

// silenceTimeout is how long the endpoint's machine may leave data or keep-alive probes
// unacknowledged before the connection fails. Callers of streams give up after 2 to 3.2 s
// without an event, so a response that resumes later is useless, and a network partition that
// heals sooner ends no connection.
const silenceTimeout = 4 * time.Second

// maxIdleConns bounds the idle connections to one address.
const maxIdleConns = 64

// StalledError reports that no data was received for too long in the middle of a response.
type StalledError struct {
	Address string
	Silence time.Duration
}

// Error implements error.
func (e *StalledError) Error() string {
	return "endpoint " + e.Address + " was silent for " + e.Silence.String()
}

// DialError reports that no connection was made, so no byte was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
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
	// idleSince is when the last response on it had been read.
	idleSince time.Time
	// keepAlive is how long the endpoint keeps it open while idle; 0 means unknown.
	keepAlive time.Duration
	// carried has the latest requests that were sent on it.
	carried recentIDs

	client *Client
	// number tells it from the client's other connections.
	number int
	// received is the number of bytes read from it, and receivedAt when the last ones were, in nanoseconds since
	// processStart.
	received, receivedAt atomic.Int64
	// hasEnded is set once a read has shown that the endpoint closed or reset it, isClosed once this box has
	// closed it.
	hasEnded, isClosed atomic.Bool
}

// processStart is the time from which moments are counted that are read and written concurrently.
var processStart = time.Now()

// lastReceived returns when the last bytes were read.
func (c *conn) lastReceived() time.Time { return processStart.Add(time.Duration(c.receivedAt.Load())) }

// Read reads bytes and records what it shows about the endpoint.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.received.Add(int64(n))
		c.receivedAt.Store(int64(time.Since(processStart)))
	}
	if err != nil && !isTimeout(err) && !c.isClosed.Load() {
		c.hasEnded.Store(true)
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.isClosed.Store(true)
	c.client.connections.remove(c)
	return c.Conn.Close()
}

// Client manages the connections to one address.
type Client struct {
	// Address is the endpoint's IP and port.
	Address string
	// ConnectTimeout bounds connecting.
	ConnectTimeout time.Duration
	// StallTimeout is the longest time without data in the middle of a response.
	StallTimeout time.Duration
	// HeaderBytes bounds the header of a response.
	HeaderBytes int
	// KernelBuffer bounds what the kernel keeps of each connection, in bytes for each direction; 0
	// leaves it to the system.
	KernelBuffer int

	mu   sync.Mutex
	idle []*conn
	// usedAt is when a connection was last acquired or released.
	usedAt time.Time
	// retired is set by Retire; connections released later are closed.
	retired bool

	connections connections
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
	if err := c.boundKernelBuffers(raw); err != nil {
		raw.Close()
		return nil, &DialError{Address: c.Address, Err: err}
	}
	return c.newConn(raw), nil
}

func (c *Client) newConn(raw net.Conn) *conn {
	open := &conn{Conn: raw, client: c}
	open.reader = bufio.NewReaderSize(open, max(4096, c.HeaderBytes))
	open.writer = bufio.NewWriterSize(raw, 4096)
	c.connections.add(open)
	return open
}

func (c *Client) boundKernelBuffers(raw net.Conn) error {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || c.KernelBuffer == 0 {
		return nil
	}
	return trace.NewAggregate(tcp.SetReadBuffer(c.KernelBuffer), tcp.SetWriteBuffer(c.KernelBuffer))
}

// acquire returns an idle connection that is still open, or a new one. ForceNew skips the idle
// ones.
func (c *Client) acquire(forceNew bool) (*conn, error) {
	for !forceNew {
		idle := c.popIdle()
		if idle == nil {
			break
		}
		if idle.reader.Buffered() == 0 && IsReusable(idle.Conn) {
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

// release adds a connection whose response was read to its end to the idle ones.
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

// Sweep closes the connections that were idle for too long. Nothing else would close them, and
// each takes a file descriptor here and at the endpoint.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := c.idle[:0]
	for _, idle := range c.idle {
		if idle.isFresh(false) {
			fresh = append(fresh, idle)
			continue
		}
		idle.Close()
	}
	clear(c.idle[len(fresh):])
	c.idle = fresh
}

// Retire retires the client if it has no idle connections and was not used for the given time.
// A retired client keeps no connections, so that it can be dropped: the endpoints that a box
// of a large fleet uses change all the time. Requests in progress continue. Retire reports
// whether the client is retired.
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

// Send writes the request and waits for the header of the response. ForceNew opens a new
// connection, since a request on a stale one may fail without showing whether it ran. Sending
// is called just before the first byte may be sent, sent once all bytes were.
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
	if err := response.readHead(); err != nil {
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

// isTimeout reports whether the error is an expired read deadline.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
