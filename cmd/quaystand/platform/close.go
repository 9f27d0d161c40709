package platform

import "net"

// closeConn ends a connection without an answer.
func closeConn(c net.Conn) {
	c.Close()
}
