package endpoint

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// QueuesOf returns what the kernel keeps for a connection now.
func QueuesOf(c *net.TCPConn) (queues Queues) {
	raw, err := c.SyscallConn()
	if err != nil {
		return queues
	}
	// An error, here and below, means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		queues.Unacknowledged = queueLength(int(fd), unix.SIOCOUTQ)
		queues.Unread = queueLength(int(fd), unix.SIOCINQ)
		if queues.Unacknowledged == 0 {
			return
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		if info.State == unix.BPF_TCP_CLOSE {
			// The kernel has dropped what it kept, but still reports its length.
			queues.Unacknowledged = 0
			return
		}
		queues.Acknowledged = info.Bytes_acked
	})
	return queues
}

func queueLength(fd int, queue uint) int64 {
	length, err := unix.IoctlGetInt(fd, queue)
	if err != nil {
		return 0
	}
	return int64(length)
}

// BoundDelivery bounds how long the kernel keeps data of a connection that is about to be closed,
// while the other side reads none of it.
func BoundDelivery(c *net.TCPConn, timeout time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
