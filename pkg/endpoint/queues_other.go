//go:build !linux

package endpoint

import (
	"net"
	"time"
)

// QueuesOf returns nothing: the numbers are only available on Linux. Elsewhere only the write
// timeout ends an answer that is not read.
func QueuesOf(*net.TCPConn) Queues { return Queues{} }

// BoundDelivery is only available on Linux.
func BoundDelivery(*net.TCPConn, time.Duration) {}
