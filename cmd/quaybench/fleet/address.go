package fleet

import (
	"net"
	"os"
	"sync"

	"github.com/gravitational/trace"
)

// issuedAddresses holds the addresses that FreeAddress returned in this
// process. The kernel may choose the same port again before the process that
// will listen on it has started.
var issuedAddresses sync.Map

// FreeAddress returns an address with a free port, chosen by the kernel. Its
// host is a loopback address derived from the process ID, so different
// harnesses use different ones. On 127.0.0.1 an outgoing connection could take
// the port before the process that will listen on it has started.
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
