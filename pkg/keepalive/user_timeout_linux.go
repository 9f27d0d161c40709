package keepalive

import (
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// userTimeout has the kernel give a connection up when what was sent is not
// acknowledged for so long, as behind a cut.
func userTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(network, address string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return trace.NewAggregate(controlErr, err)
	}
}
