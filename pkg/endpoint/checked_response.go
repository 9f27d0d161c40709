package endpoint

import (
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/answer"
)

// TooLargeError reports that a response body exceeds the limit for bodies held in memory.
type TooLargeError struct {
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "the endpoint's answer is larger than the limit"
}

// CheckedResponse is an endpoint's response whose header was read, and whose reads call a
// Check while they wait. Read or ReadAll reads its body; Close must always be called.
type CheckedResponse struct {
	// Response holds status and header; its body must not be used directly. Once the body was read, its
	// header has the trailer section too.
	Response fasthttp.Response
	// Head is the header as it was before the body.
	Head fasthttp.ResponseHeader
	// NoReuse makes Close close the connection.
	NoReuse bool

	client *Client
	conn   *conn
	check  Check
	// bytesRead counts the bytes of the body that were read.
	bytesRead int
	// complete is set once the body was read to the end that its framing defines.
	complete bool
	closed   bool
}

// maxInterimResponses bounds the interim responses before the one to the request.
const maxInterimResponses = 100

// readHead reads the header and determines where the body ends.
func (r *CheckedResponse) readHead() error {
	header := &r.Response.Header
	for range 1 + maxInterimResponses {
		if err := answer.ReadHead(r.conn.reader, header); err != nil {
			return asUnexpectedEOF(err)
		}
		status := header.StatusCode()
		if answer.IsInterim(status) {
			continue
		}
		header.CopyTo(&r.Head)
		if r.Response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			return nil
		}
		return r.Response.ReadBody(r.conn.reader, 0)
	}
	return trace.LimitExceeded("more than %d interim responses", maxInterimResponses)
}

// chunkedLength is the content length by which fasthttp marks a chunked body.
const chunkedLength = -1

// Length returns the content length of the body, or -1 if the header does not state it.
func (r *CheckedResponse) Length() int {
	if r.Response.BodyStream() == nil {
		return 0
	}
	return max(-1, r.Response.Header.ContentLength())
}

// IsEmpty reports whether there is no body to read.
func (r *CheckedResponse) IsEmpty() bool {
	return r.Length() == 0
}

// Read returns body bytes as soon as some are available. It returns io.EOF only at the end
// that the framing defines; a body that ends earlier gives io.ErrUnexpectedEOF.
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

// hasMore reports whether more of the body has to be read from the connection. A body of known
// length ends without another read.
func (r *CheckedResponse) hasMore() bool {
	return !r.complete && r.Response.Header.ContentLength() != r.bytesRead
}

// isComplete reports whether the body was read to the end that its framing defines. A body
// that runs until the connection closes has no such end, so it is never complete.
func (r *CheckedResponse) isComplete() bool {
	length := r.Response.Header.ContentLength()
	return length == chunkedLength || length == r.bytesRead
}

// waitReadable waits for the next byte from the endpoint and calls the check while it waits. If
// bounded, as it is in the middle of a response, it fails after StallTimeout without a byte.
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

// ReadAll reads the rest of the body into memory, up to a limit.
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

// Close returns the connection to the idle ones if the body was read to its end. Otherwise it
// closes the connection, which also cancels the work at the endpoint.
func (r *CheckedResponse) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if !r.complete && r.Response.BodyStream() != nil {
		return r.conn.Close()
	}
	if r.NoReuse || r.Response.ConnectionClose() || r.conn.reader.Buffered() > 0 {
		return r.conn.Close()
	}
	if err := r.conn.SetDeadline(time.Time{}); err != nil {
		return r.conn.Close()
	}
	r.client.release(r.conn)
	return nil
}
