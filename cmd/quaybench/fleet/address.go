package fleet

import (
	"net"
	"os"
	"sync"

	"github.com/gravitational/trace"
)

// given are the addresses that were handed out in this process. The kernel may
// choose a port again before the process that it is meant for has started.
var issuedAddresses sync.Map

// FreeAddress lets the kernel choose a free port. It is chosen on a loopback
// address that only this harness uses: on 127.0.0.1 the port of an outgoing
// connection could take it before the process that it is meant for starts.
func FreeAddress() (address string, err error) {
	defer func() { err = trace.Wrap(err, "choosing a port") }()
	pid := os.Getpid()
	host := net.IPv4(127, byte(1+pid>>8&0x7f), byte(pid), 1)
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
		if err != nil {
			return "", err
		}
		address = listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", err
		}
		if _, taken := issuedAddresses.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}
