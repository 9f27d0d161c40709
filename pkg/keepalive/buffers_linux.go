package keepalive

import (
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// kernelBuffers bounds what the kernel keeps of each accepted connection, in bytes for each
// direction. Connections inherit the bound from their listener.
func kernelBuffers(bytes int) func(network, address string, raw syscall.RawConn) error {
	if bytes == 0 {
		return nil
	}
	return func(network, address string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = trace.NewAggregate(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes))
		})
		return trace.NewAggregate(controlErr, err)
	}
}
