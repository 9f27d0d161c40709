package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/memory"
)

// callerConn is a caller's connection whose memory is accounted for.
type callerConn struct {
	*net.TCPConn
	memory *callerMemory
	// draining is set if a refusal was written before the request's body was read.
	draining atomic.Bool
	// cut is set once the connection was reset because its caller did not read.
	cut atomic.Bool
	// uncounted is the number of bytes written since what the kernel keeps was last measured.
	uncounted atomic.Int64
	// writeFailed is set once a write has failed: what the kernel keeps is then dropped.
	writeFailed atomic.Bool

	mu sync.Mutex
	// customer and request are the customer and the ID of the last request.
	customer, request string
	// kept is what is reserved for the request and its answer, until the next one.
	kept int64
	// queued is what the kernel keeps of answers and of further requests, as last measured, and
	// unacknowledged is the part of it that belongs to answers.
	queued, unacknowledged int64
	// acknowledged counts the bytes that the caller's machine had acknowledged, and progressAt is
	// when it was last seen to acknowledge any, or had nothing to acknowledge.
	acknowledged uint64
	progressAt   time.Time
	// receivedAt is when bytes of the body that is being read last came; zero while none is read. givenUp is
	// set once such a body was given up, after which the connection serves no request.
	receivedAt time.Time
	givenUp    bool
	// idleSince is when the connection was accepted or its last request ended; zero during a request.
	idleSince time.Time
	// readAt is when the first bytes came since idleSince; zero if none did.
	readAt time.Time
	// shut is set once the connection was closed for a new one, after which it serves no request.
	shut   bool
	closed bool
}

const (
	// kernelBuffer bounds what the kernel keeps of a connection in each direction; it doubles the
	// number for its own overhead. Without a bound it keeps up to 4 MB for a caller that reads
	// nothing. It passes 10 MB a second at round trips of 6 ms.
	kernelBuffer = 64 << 10
	// drainTimeout bounds reading and dropping the body of a refused request. A connection that
	// is closed with unread data is reset, and its caller may lose the refusal.
	drainTimeout = time.Second
	// maxUncountedBytes is what the kernel may keep of a closed connection, or of answers on an
	// open one, without being measured, and deliveryCheckInterval the time between two looks at
	// what it keeps of one to be closed.
	maxUncountedBytes     = 4 << 10
	deliveryCheckInterval = 20 * time.Millisecond
)

// callerListener accepts connections whose memory is accounted for.
type callerListener struct {
	net.Listener
	memory *callerMemory
}

// listener returns a listener whose connections are accounted for.
func (m *callerMemory) listener(plain net.Listener) net.Listener {
	if m == nil {
		return plain
	}
	return callerListener{Listener: plain, memory: m}
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	now := time.Now()
	l.memory.closeWaiting(now)
	conn := &callerConn{TCPConn: tcp, memory: l.memory, progressAt: now, idleSince: now}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	l.memory.conns[conn] = struct{}{}
	return conn, nil
}

// connOf returns the accounted connection of a request; nil if there is none.
func connOf(http *fasthttp.RequestCtx) *callerConn {
	conn, _ := http.Conn().(*callerConn)
	return conn
}

// trackConnection releases what is reserved for a connection once its answer was written, or it was
// closed.
func (m *callerMemory) trackConnection(accepted net.Conn, state fasthttp.ConnState) {
	conn, ok := accepted.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateIdle:
		conn.setIdle(time.Now())
		conn.releaseAnswer()
		conn.countWritten()
	case fasthttp.StateClosed:
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
		conn.releaseAll()
	}
}

// Write writes to the connection. If its caller does not read, a later Close drops what the kernel
// keeps.
func (c *callerConn) Write(p []byte) (n int, err error) {
	n, err = c.TCPConn.Write(p)
	c.uncounted.Add(int64(n))
	if err != nil {
		c.writeFailed.Store(true)
		_ = c.SetLinger(0)
	}
	return n, err
}

// Close closes the connection. What its caller has not read is delivered for a bounded time.
func (c *callerConn) Close() error {
	if c.draining.Load() {
		dropUnread(c.TCPConn)
	}
	if !c.writeFailed.Load() {
		c.deliver()
	}
	if c.unacknowledgedBytes() > 0 {
		endpoint.BoundDelivery(c.TCPConn, writeTimeout)
	}
	return c.TCPConn.Close()
}

// deliver waits until the caller has read most of its answer. The kernel keeps the rest after the
// connection is closed, where it is no longer counted. What the caller sent and nobody read does not
// count: nothing reads it any more, and the kernel drops it. The server closes connections over its
// limit in its accept loop, which must not wait.
func (c *callerConn) deliver() {
	c.releaseAnswer()
	c.recount()
	g := c.memory.gateway
	for end := time.Now().Add(writeTimeout); c.unacknowledgedBytes() > maxUncountedBytes && time.Now().Before(end); {
		if g.stopping.Load() || interval.Wait(g.workContext, deliveryCheckInterval) != nil {
			return
		}
		c.recount()
	}
}

// reset closes the connection and drops what its caller has not read. The caller sees that its
// answer was cut.
func (c *callerConn) reset() {
	c.cut.Store(true)
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// begin starts a request of a customer, for which it reserves bytes. It reports whether the connection is open and
// the customer had room.
func (c *callerConn) begin(customer string, bytes int64) bool {
	c.mu.Lock()
	if c.shut {
		c.mu.Unlock()
		return false
	}
	if customer != c.customer {
		c.memory.budget.Release(c.customer, c.kept+c.queued)
		c.memory.budget.Add(customer, c.kept+c.queued)
	}
	c.customer, c.request = customer, ""
	c.idleSince, c.readAt, c.receivedAt = time.Time{}, time.Time{}, time.Now()
	c.mu.Unlock()
	return c.keepBody(bytes)
}

// keep reserves bytes for the current request and reports whether its customer had room.
func (c *callerConn) keep(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.givenUp || !c.memory.budget.Reserve(c.customer, bytes) {
		return false
	}
	c.kept += bytes
	return true
}

// add reserves bytes for the current request whether its customer has room or not; a negative
// number releases bytes.
func (c *callerConn) add(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.memory.budget.Add(c.customer, bytes)
	c.kept += bytes
}

// releaseAnswer releases what is kept of an answer that was written; the kernel may still keep it.
func (c *callerConn) releaseAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.memory.budget.Release(c.customer, c.kept)
	c.kept = 0
}

// countWritten measures what the kernel keeps of answers once they are large enough. Measuring takes
// up to three system calls, which small answers, refusals above all, are not worth.
func (c *callerConn) countWritten() {
	if c.uncounted.Load() > maxUncountedBytes {
		c.recount()
	}
}

// countQueues updates what the kernel keeps for the connection. The lock is held.
func (c *callerConn) countQueues() endpoint.Queues {
	c.uncounted.Store(0)
	queues := endpoint.QueuesOf(c.TCPConn)
	queued := queues.Unacknowledged + queues.Unread
	c.memory.budget.Add(c.customer, queued-c.queued)
	c.queued, c.unacknowledged = queued, queues.Unacknowledged
	return queues
}

func (c *callerConn) recount() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.countQueues()
	}
}

func (c *callerConn) unacknowledgedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unacknowledged
}

func (c *callerConn) releaseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.budget.Release(c.customer, c.kept+c.queued)
	c.kept, c.queued, c.unacknowledged, c.closed = 0, 0, 0, true
}

// measure updates what the kernel keeps for the connection, and returns the answer that the caller
// has not read to its end; if there is none, it has no bytes.
func (c *callerConn) measure(now time.Time) (answer memory.Unread) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || (c.kept == 0 && c.queued == 0) {
		c.progressAt = now
		return answer
	}
	queues := c.countQueues()
	if queues.Unacknowledged == 0 {
		c.progressAt = now
		return answer
	}
	if queues.Acknowledged > c.acknowledged {
		c.acknowledged, c.progressAt = queues.Acknowledged, now
	}
	return memory.Unread{Customer: c.customer, Bytes: c.kept + c.queued, Since: c.progressAt}
}

// isCut reports whether the connection was reset because its caller did not read.
func (c *callerConn) isCut() bool { return c != nil && c.cut.Load() }

// name sets the ID of the current request, for the log.
func (c *callerConn) name(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

func (c *callerConn) currentRequest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request
}
