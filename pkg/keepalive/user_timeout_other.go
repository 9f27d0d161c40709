//go:build !linux

package keepalive

import (
	"syscall"
	"time"
)

// userTimeout is only available on Linux; elsewhere only the probes detect a dead peer.
func userTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}
