package platform

import "net"

// closeConn closes a connection without a response.
func closeConn(c net.Conn) {
	c.Close()
}
