//go:build !linux

package endpoint

import "net"

// IsOpen can not tell on this system, and takes every connection for open; a
// closed one is then found by writing to it.
func IsOpen(c net.Conn) bool {
	return true
}
