//go:build !linux

package endpoint

import "net"

// IsOpen returns true: the state is only available on Linux. Elsewhere a write to a closed
// connection fails.
func IsOpen(c net.Conn) bool {
	return true
}

// IsReusable returns true: unread data is only detected on Linux. Elsewhere the request ID of a
// response shows that it is a surplus one.
func IsReusable(net.Conn) bool { return true }

// AwaitClose returns false: a close is only detected on Linux. Elsewhere a failed write shows
// that the caller disconnected.
func AwaitClose(net.Conn) bool { return false }
