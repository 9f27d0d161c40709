package answer

import (
	"bufio"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Conn is a connection of an HTTP client that parses answers itself. It checks the head of each answer before
// the client gets more than a byte of it: a Read returns a *HeadError if it is malformed. The client has to read
// each answer to its end before it writes the next request, and to close the connection after an error.
type Conn struct {
	net.Conn

	reader *bufio.Reader
	// awaitsHead is set until the head of the answer to the last request was received.
	awaitsHead bool
	// readable is how many bytes may be read before the next head, or before err.
	readable int
	err      error
}

// Dial connects to an IP and port.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	raw, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw}, nil
}

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.awaitsHead = true
	return c.Conn.Write(p)
}

// Read reads a part of an answer.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.reader == nil {
		c.reader = bufio.NewReader(c.Conn)
	}
	if c.awaitsHead && c.readable == 0 && c.err == nil {
		c.checkNext()
	}
	switch {
	case c.readable > 0:
		n, err = c.reader.Read(p[:min(len(p), c.readable)])
		c.readable -= n
		return n, err
	case c.err != nil:
		return 0, c.err
	default:
		return c.reader.Read(p)
	}
}

// checkNext waits for the next head and checks it. Of one that is malformed or cut a byte can be read: the library
// takes an error before the first byte for an orderly end.
func (c *Conn) checkNext() {
	length, status, err := awaitHead(c.reader)
	if err != nil {
		c.err = err
		c.readable = min(1, c.reader.Buffered())
		return
	}
	c.readable, c.awaitsHead = length, IsInterim(status)
}
