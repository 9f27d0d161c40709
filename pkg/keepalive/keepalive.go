// Package keepalive makes TCP connections that detect a dead peer. A peer that lost power or
// was cut off from the network sends no reset, and new connections to it may work in the
// meantime. The operating system ends a silent connection with an error.
package keepalive

import (
	"context"
	"net"
	"time"
)

// probeCount is the number of probes sent within the timeout, after the initial idle time.
const probeCount = 2

// keepAliveConfig divides a timeout among the initial idle time and the probes. The system
// counts in whole seconds and rounds up.
func keepAliveConfig(silenceTimeout time.Duration) net.KeepAliveConfig {
	step := silenceTimeout / (probeCount + 1)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: probeCount}
}

// Dialer returns a dialer whose connections fail after silenceTimeout without a sign of the
// peer, whether sent data is unacknowledged or the connection is idle.
func Dialer(connectTimeout, silenceTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAliveConfig(silenceTimeout),
		Control:         userTimeout(silenceTimeout),
	}
}

// Listen listens on a TCP address. Accepted connections fail after silenceTimeout while idle;
// unacknowledged data is left to the write deadlines of their users. kernelBuffer bounds what the
// kernel keeps of each of them, in bytes for each direction; 0 leaves it to the system.
func Listen(address string, silenceTimeout time.Duration, kernelBuffer int) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(silenceTimeout), Control: kernelBuffers(kernelBuffer)}
	return config.Listen(context.Background(), "tcp", address)
}
