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
type CheckedResponse struct {
	// Response holds status and headers; its body is not to be used directly.
	Response fasthttp.Response

	client *Client
	conn   *conn
	check  Check
	// read counts the bytes of the body that were read.
	bytesRead int
	// whole is set once the body was read to the end that its framing promised.
	complete bool
	closed   bool
}

// chunkedLength is how the library marks a chunked body.
const chunkedLength = -1

// Length is the promised length of the body, or -1 when it is chunked.
func (r *CheckedResponse) Length() int {
	if r.Response.BodyStream() == nil {
		return 0
	}
	return max(-1, r.Response.Header.ContentLength())
}

// Empty tells that there is no body to read.
func (r *CheckedResponse) IsEmpty() bool {
	return r.Length() == 0
}

// Read reads a piece of the body as soon as there is one. It returns io.EOF
// only at the end that the framing promised; a body that ends before gives
// io.ErrUnexpectedEOF.
func (r *CheckedResponse) Read(p []byte) (n int, err error) {
	stream := r.Response.BodyStream()
	if stream == nil {
		r.complete = true
		return 0, io.EOF
	}
	if r.conn.reader.Buffered() == 0 && r.hasMore() {
		if err := r.waitReadable(true); err != nil {
			return 0, err
		}
	}
	n, err = stream.Read(p)
	r.bytesRead += n
	if err == io.EOF && !r.isComplete() {
		return n, io.ErrUnexpectedEOF
	}
	r.complete = err == io.EOF
	return n, err
}

// unread tells whether more of the body has to come from the connection. A
// body whose length is known ends without another byte.
func (r *CheckedResponse) hasMore() bool {
	return !r.complete && r.Response.Header.ContentLength() != r.bytesRead
}

// framed tells whether the body came to the end that it promised. A body that
// runs until the connection closes promises none, so it never does.
func (r *CheckedResponse) isComplete() bool {
	length := r.Response.Header.ContentLength()
	return length == chunkedLength || length == r.bytesRead
}

// await waits for the next byte of the endpoint, asking the check meanwhile. In
// the middle of an answer the silence is bounded.
func (r *CheckedResponse) waitReadable(bounded bool) error {
	began := time.Now()
	for {
		if err := r.conn.SetReadDeadline(time.Now().Add(checkInterval)); err != nil {
			return err
		}
		_, err := r.conn.reader.Peek(1)
		if err == nil {
			return r.conn.SetReadDeadline(time.Now().Add(r.client.StallTimeout))
		}
		if !isTimeout(err) {
			return asUnexpectedEOF(err)
		}
		if err := r.check(); err != nil {
			return err
		}
		if silence := time.Since(began); bounded && silence > r.client.StallTimeout {
			return &StalledError{Address: r.client.Address, Silence: silence}
		}
	}
}

func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Whole reads the rest of the body into memory, up to a limit.
func (r *CheckedResponse) ReadAll(limit int) (body []byte, err error) {
	defer func() { err = trace.Wrap(err, "reading the answer") }()
	if length := r.Length(); length > 0 {
		body = make([]byte, 0, min(length, limit)+1)
	}
	body, err = readAll(r, body, limit)
	return body, err
}

func readAll(reader io.Reader, buf []byte, limit int) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := reader.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if len(buf) > limit {
			return nil, &TooLargeError{Limit: limit}
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Close lets the connection go: back to the idle ones if the answer was read
// to its end, closed otherwise, which also cancels work at the endpoint.
func (r *CheckedResponse) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if !r.complete && r.Response.BodyStream() != nil {
		return r.conn.Close()
	}
	if r.Response.ConnectionClose() || r.conn.reader.Buffered() > 0 {
		return r.conn.Close()
	}
	if err := r.conn.SetDeadline(time.Time{}); err != nil {
		return r.conn.Close()
	}
	r.client.release(r.conn)
	return nil
}
