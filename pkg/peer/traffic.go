package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes between boxes.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
	// Updates, Snapshots, Dispatch and Handovers are what was sent of each kind of
	// message, without framing: news, fetched settings and endpoints, asks and
	// verdicts, and what a box that takes over is told.
	Updates, Snapshots, Dispatch, Handovers atomic.Int64
}

// countedConn counts the bytes of a session, with the library's framing.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
