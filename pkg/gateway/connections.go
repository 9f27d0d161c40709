package gateway

import (
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/logflags"
)

const (
	// scarceConnections is the fraction of the connections for callers in use from which on each
	// response asks its caller to close the connection. Callers that retry on new connections and
	// keep the old ones would otherwise take all of them, and no new caller could connect.
	scarceConnections = 0.75
	// fullConnections is the fraction in use from which on this box is not ready, because it could
	// hardly accept another caller.
	fullConnections = 0.95
	// crowdedConnections is the fraction in use from which on connections without a request are closed for
	// new ones. It is less than fullConnections: connections that send nothing must not take a box out of
	// service.
	crowdedConnections = 0.9
	// closedAtOnce is the fraction of the connections for callers of which that many are closed at a time.
	closedAtOnce = 0.05
	// minWaitingTime is how long a connection must have been without a request before it is closed for a
	// new one. Heads of requests arrive far sooner.
	minWaitingTime = time.Second
	// crowdCheckInterval is the least time between two looks for connections to close.
	crowdCheckInterval = 100 * time.Millisecond
)

// usedConnections returns the fraction of the connections for callers that are open.
func (g *Gateway) usedConnections() float64 {
	return float64(g.callers.GetOpenConnectionsCount()) / float64(max(1, g.Settings.maxCallers()))
}

// closeWaiting closes the connections that have been without a request for longest, if nearly all connections
// for callers are in use.
func (m *callerMemory) closeWaiting(now time.Time) {
	if chosen := m.chooseWaiting(now); len(chosen) > 0 {
		closed := closeChosen(chosen)
		m.gateway.Logs.For(logflags.Caller).Info("waiting connections closed for new ones",
			zap.Int("Chosen", len(chosen)),
			zap.Int("Closed", closed),
			zap.Duration("Took", time.Since(now)))
	}
}

// closeChosen closes those of the connections that still have no request, and returns how many these were.
func closeChosen(chosen []*callerConn) (closed int) {
	for _, conn := range chosen {
		if conn.closeIfWaiting() {
			closed++
		}
	}
	return closed
}

// closeIfWaiting closes the connection unless a request has come since it was chosen, of which the box may have
// read nothing yet.
func (c *callerConn) closeIfWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, isWaiting := c.waiting()
	if !isWaiting || time.Since(since) < minWaitingTime || endpoint.QueuesOf(c.TCPConn).Unread > 0 {
		return false
	}
	c.shut = true
	_ = c.TCPConn.Close()
	return true
}

// isShut reports whether the box has closed the connection, so that its caller gets no answer.
func (c *callerConn) isShut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

// chooseWaiting returns the connections to close for new ones.
func (m *callerMemory) chooseWaiting(now time.Time) (chosen []*callerConn) {
	maxCallers := float64(m.gateway.Settings.maxCallers())
	m.mu.Lock()
	isDue := float64(len(m.conns)) >= crowdedConnections*maxCallers && now.Sub(m.crowdCheckedAt) >= crowdCheckInterval
	if isDue {
		m.crowdCheckedAt = now
	}
	m.mu.Unlock()
	if !isDue {
		return nil
	}
	type waiting struct {
		conn  *callerConn
		since time.Time
	}
	var all []waiting
	for _, conn := range m.openConns() {
		if since, isWaiting := conn.waitingSince(); isWaiting && now.Sub(since) >= minWaitingTime {
			all = append(all, waiting{conn, since})
		}
	}
	slices.SortFunc(all, func(a, b waiting) int { return a.since.Compare(b.since) })
	for _, one := range all[:min(len(all), 1+int(closedAtOnce*maxCallers))] {
		chosen = append(chosen, one.conn)
	}
	return chosen
}

// waitingSince returns since when the connection has been without a request whose head was read, or since when the
// head arrives.
func (c *callerConn) waitingSince() (since time.Time, isWaiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting()
}

// waiting is waitingSince with the lock held.
func (c *callerConn) waiting() (since time.Time, isWaiting bool) {
	since = c.idleSince
	if !c.readAt.IsZero() {
		since = c.readAt
	}
	return since, !c.closed && !c.shut && !c.idleSince.IsZero()
}

// Read reads from the connection. What is read as the connection is closed for a new one is dropped.
func (c *callerConn) Read(p []byte) (n int, err error) {
	n, err = c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	if n > 0 && c.readAt.IsZero() && !c.idleSince.IsZero() {
		c.readAt = time.Now()
	}
	return n, err
}

// setIdle records that the connection has no request from now on.
func (c *callerConn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.readAt = now, time.Time{}
}
