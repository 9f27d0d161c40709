package endpoint

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsOpen reports whether the other side of a connection still holds it open, as far as this
// machine has been notified. It consumes no data and does not block.
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

// IsReusable reports whether an idle connection can carry another request, that is, whether it is
// open and has no unread data. On an idle connection, unread data belongs to a surplus response.
func IsReusable(c net.Conn) bool {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return reusable && err == nil
}

// AwaitClose waits until the other side of a connection has closed it or has sent data. It
// consumes nothing. A read deadline in the past ends the wait. It reports whether the
// connection was closed.
func AwaitClose(c net.Conn) (closed bool) {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	// An error means that this side ended the wait.
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

// closeWait is TCP_CLOSE_WAIT: the other side has closed the connection.
const closeWait = 8

// isClosing reports whether the other side has closed the connection although unread data
// remains, such as a TLS close_notify alert.
func isClosing(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == closeWait
}
