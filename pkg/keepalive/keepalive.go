// Package keepalive makes connections that do not stay silent for good: a peer that
// lost power or was cut off sends no reset, and new connections may work all the
// while. The operating system then ends the connection with an error.
package keepalive

import (
	"context"
	"net"
	"time"
)

// probes are the questions that a silence holds, besides the time before the first.
const probeCount = 2

// config divides a silence among probes. The system counts in whole seconds and takes
// parts of one for a whole one.
func keepAliveConfig(silenceTimeout time.Duration) net.KeepAliveConfig {
	step := silenceTimeout / (probeCount + 1)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: probeCount}
}

// Dialer connects within a time. Its connections end after a silence: with data that
// is not acknowledged, or at rest.
func Dialer(connectTimeout, silenceTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAliveConfig(silenceTimeout),
		Control:         userTimeout(silenceTimeout),
	}
}

// Listen listens on a TCP address. Its connections end after a silence while they are
// at rest; what is not acknowledged is left to the deadlines of those who write.
func Listen(address string, silenceTimeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(silenceTimeout)}
	return config.Listen(context.Background(), "tcp", address)
}
