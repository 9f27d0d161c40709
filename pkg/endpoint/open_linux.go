package endpoint

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsOpen tells whether the other side of a connection still holds it open, as
// far as this box has heard. It reads nothing and does not block.
func IsOpen(c net.Conn) bool {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	open := true
	err = raw.Control(func(fd uintptr) {
		open = isOpenFD(int(fd))
	})
	return open && err == nil
}

// IsQuiet tells whether a connection is open and nothing is left to read on it.
// On a connection without a request, anything to read is a surplus.
func IsQuiet(c net.Conn) bool {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return quiet && err == nil
}

// AwaitClose waits until the other side of a connection has closed it, or has
// sent something. It reads nothing. A read deadline in the past ends the wait.
// It reports whether the connection was closed.
func AwaitClose(c net.Conn) (closed bool) {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	// An error means that the wait was ended from this side.
	_ = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EAGAIN || err == syscall.EINTR {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	return closed
}

func isOpenFD(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		return true
	}
	return err == nil && n > 0 && !isClosing(fd)
}

// closeWait is the state of a connection whose other side has closed it.
const closeWait = 8

// closing tells whether the other side has closed although something is left to
// read, such as the last word of TLS.
func isClosing(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == closeWait
}
