//go:build !linux

package peer

import (
	"syscall"
	"time"
)

// userTimeout is only known on Linux; elsewhere the peer's silence is noticed by
// the missing heartbeats alone.
func userTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}
