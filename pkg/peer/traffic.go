package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent and received between boxes.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
	// Updates, Snapshots, Dispatch and Handovers count the bytes sent by kind of message,
	// without the framing of yamux: updates; fetched settings, orders and endpoints; requests
	// to a dispatcher and its decisions; the cached parts that a new dispatcher is sent; and the
	// origins of streams, without requests for them.
	Updates, Snapshots, Dispatch, Handovers, Origins atomic.Int64
}

// countingConn counts the bytes of a session, including the framing of yamux.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
