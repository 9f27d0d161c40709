//go:build !linux

package keepalive

import "syscall"

// kernelBuffers is only available on Linux; elsewhere the system chooses the buffers.
func kernelBuffers(int) func(network, address string, raw syscall.RawConn) error {
	return nil
}
