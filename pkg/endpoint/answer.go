package endpoint

import (
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// TooLargeError reports an answer that is larger than may be held whole.
type TooLargeError struct {
	Limit int
}

// Error names the limit.
func (e *TooLargeError) Error() string {
	return "the endpoint's answer is larger than the limit"
}

// Answer is an endpoint's answer whose head was read. Its body is read by Read
// or Whole; Close has to follow in every case.
type Answer struct {
	// Response holds status and headers; its body is not to be used directly.
	Response fasthttp.Response

	client *Client
	conn   *conn
	check  Check
	// read counts the bytes of the body that were read.
	read int
	// whole is set once the body was read to the end that its framing promised.
	whole  bool
	closed bool
}

// chunkedLength is how the library marks a chunked body.
const chunkedLength = -1

// Length is the promised length of the body, or -1 when it is chunked.
func (a *Answer) Length() int {
	if a.Response.BodyStream() == nil {
		return 0
	}
	return max(-1, a.Response.Header.ContentLength())
}

// Empty tells that there is no body to read.
func (a *Answer) Empty() bool {
	return a.Length() == 0
}

// Read reads a piece of the body as soon as there is one. It returns io.EOF
// only at the end that the framing promised; a body that ends before gives
// io.ErrUnexpectedEOF.
func (a *Answer) Read(p []byte) (n int, err error) {
	stream := a.Response.BodyStream()
	if stream == nil {
		a.whole = true
		return 0, io.EOF
	}
	if a.conn.reader.Buffered() == 0 && a.unread() {
		if err := a.await(true); err != nil {
			return 0, err
		}
	}
	n, err = stream.Read(p)
	a.read += n
	if err == io.EOF && !a.framed() {
		return n, io.ErrUnexpectedEOF
	}
	a.whole = err == io.EOF
	return n, err
}

// unread tells whether more of the body has to come from the connection. A
// body whose length is known ends without another byte.
func (a *Answer) unread() bool {
	return !a.whole && a.Response.Header.ContentLength() != a.read
}

// framed tells whether the body came to the end that it promised. A body that
// runs until the connection closes promises none, so it never does.
func (a *Answer) framed() bool {
	length := a.Response.Header.ContentLength()
	return length == chunkedLength || length == a.read
}

// await waits for the next byte of the endpoint, asking the check meanwhile. In
// the middle of an answer the silence is bounded.
func (a *Answer) await(bounded bool) error {
	began := time.Now()
	for {
		if err := a.conn.SetReadDeadline(time.Now().Add(checkInterval)); err != nil {
			return err
		}
		_, err := a.conn.reader.Peek(1)
		if err == nil {
			return a.conn.SetReadDeadline(time.Now().Add(a.client.StallTimeout))
		}
		if !isTimeout(err) {
			return unexpected(err)
		}
		if err := a.check(); err != nil {
			return err
		}
		if silence := time.Since(began); bounded && silence > a.client.StallTimeout {
			return &StalledError{Address: a.client.Address, Silence: silence}
		}
	}
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Whole reads the rest of the body into memory, up to a limit.
func (a *Answer) Whole(limit int) (body []byte, err error) {
	defer func() { err = trace.Wrap(err, "reading the answer") }()
	if length := a.Length(); length > 0 {
		body = make([]byte, 0, min(length, limit)+1)
	}
	body, err = readAll(a, body, limit)
	return body, err
}

func readAll(from io.Reader, into []byte, limit int) ([]byte, error) {
	for {
		if len(into) == cap(into) {
			into = append(into, 0)[:len(into)]
		}
		n, err := from.Read(into[len(into):cap(into)])
		into = into[:len(into)+n]
		if len(into) > limit {
			return nil, &TooLargeError{Limit: limit}
		}
		if err == io.EOF {
			return into, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Close lets the connection go: back to the idle ones if the answer was read
// to its end, closed otherwise, which also cancels work at the endpoint.
func (a *Answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	if !a.whole && a.Response.BodyStream() != nil {
		return a.conn.Close()
	}
	if a.Response.ConnectionClose() || a.conn.reader.Buffered() > 0 {
		return a.conn.Close()
	}
	if err := a.conn.SetDeadline(time.Time{}); err != nil {
		return a.conn.Close()
	}
	a.client.give(a.conn)
	return nil
}
