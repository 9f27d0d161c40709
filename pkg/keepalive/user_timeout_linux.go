package keepalive

import (
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// userTimeout makes the kernel end a connection whose sent data is not acknowledged for so
// long, for example because the network is partitioned.
func userTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(network, address string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return trace.NewAggregate(controlErr, err)
	}
}
