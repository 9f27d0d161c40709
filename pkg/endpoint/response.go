package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/answer"
)

// Call is one request to an endpoint.
type Call struct {
	Request *fasthttp.Request
	// NonRepeatable requests must not be sent twice. They only reuse connections that were
	// idle very briefly, since a stale one may fail without showing whether the request ran.
	NonRepeatable bool
	// Sending is called just before the first byte may be sent.
	Sending func() error
	// ID is the request's, which endpoints may name in their responses. Connections that have carried a
	// request with the same ID are not reused: a late copy of its response would be taken for this one's.
	ID string
	// Match tells whether a response belongs to this request. Responses to others are read to their
	// end and dropped: a surplus one may precede the expected one.
	Match func(head *fasthttp.ResponseHeader) Match
	// Written is called once nothing reads the request any more. This may be after Do returned
	// a response, but is always before Close of that response returns.
	Written func()
}

// Match is what the head of a response tells about the request that it belongs to.
type Match int

const (
	// MatchOther is that of a response to another request.
	MatchOther Match = iota
	// MatchNamed is that of a response that names the request.
	MatchNamed
	// MatchUnnamed is that of a response that names no request. Its connection is not reused: a late copy
	// of it would be taken for the response to the next request.
	MatchUnnamed
)

// NoResponseError reports that at least part of the request was sent and no response was received:
// the request may have run.
type NoResponseError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return "no answer from endpoint " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// ErrWithdrawn ends a request that is not needed any more. It says nothing about the endpoint.
var ErrWithdrawn = errors.New("the request is not needed any more")

// Response is an endpoint's response whose header was read. Read or ReadAll reads its body;
// Close must always be called.
type Response struct {
	// Head keeps the spelling of header names that the endpoint sent.
	Head fasthttp.ResponseHeader

	client *Client
	conn   *conn
	body   io.Reader
	// framing shows where the body ends. remaining counts the unread bytes of a body of known
	// length, and bytesRead those that were read.
	framing   Framing
	remaining int
	bytesRead int
	complete  bool
	// noReuse is set if the connection must not be used again.
	noReuse    bool
	closed     bool
	stopCancel func() bool
	// requestWrite may still be in progress after an early response.
	requestWrite *requestWrite
}

// maxSurplusResponses bounds the responses to other requests that are dropped on one
// connection.
const maxSurplusResponses = 3

// maxSurplusBytes bounds the body of such a response. It is the size of the longest answer that the gateway
// accepts.
const maxSurplusBytes = 8 << 20

// Do sends a request and waits for the header of its response. When the context ends, the
// connection is closed, which also cancels the request at the endpoint.
func (c *Client) Do(ctx context.Context, call *Call) (response *Response, err error) {
	open, reused, err := c.acquireContext(ctx, call)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { open.Close() })
	var write *requestWrite
	defer func() {
		if err == nil {
			return
		}
		stopCancel()
		open.Close()
		if write != nil {
			write.wait()
		}
		if cause := context.Cause(ctx); cause != nil {
			err = trace.NewAggregate(cause, err)
		}
	}()
	if err := call.Sending(); err != nil {
		return nil, err
	}
	open.carried.add(call.ID)
	// From here on, the writing goroutine owns the request.
	isHead := call.Request.Header.IsHead()
	write = open.startWrite(call)
	response, err = c.readResponse(open, call, isHead)
	if err != nil {
		if ctx.Err() != nil && reused && !errors.Is(context.Cause(ctx), ErrWithdrawn) {
			// No byte was received: other idle connections may be dead as well.
			c.Close()
		}
		return nil, &NoResponseError{Address: c.Address, Err: err}
	}
	response.stopCancel = stopCancel
	response.requestWrite = write
	response.noReuse = response.noReuse || !write.waitDone()
	return response, nil
}

// acquireContext returns an idle connection that may be used, or a new one, and whether it is
// reused.
func (c *Client) acquireContext(ctx context.Context, call *Call) (open *conn, reused bool, err error) {
	for {
		idle := c.popIdle()
		if idle == nil {
			open, err = c.dialContext(ctx)
			return open, false, err
		}
		if idle.isFresh(call.NonRepeatable) && !idle.carried.has(call.ID) && idle.reader.Buffered() == 0 && IsReusable(idle.Conn) {
			return idle, true, nil
		}
		idle.Close()
	}
}

const (
	// maxIdleTime bounds the time that a connection stays idle if the endpoint does not state
	// one. Endpoints drop idle connections, sometimes without closing them.
	maxIdleTime = 4 * time.Second
	// maxIdleTimeNonRepeatable is the same for a request that must not be sent twice.
	maxIdleTimeNonRepeatable = time.Second
)

// isFresh reports whether a connection was idle briefly enough to be used.
func (c *conn) isFresh(nonRepeatable bool) bool {
	maxIdle := maxIdleTime
	if nonRepeatable {
		maxIdle = maxIdleTimeNonRepeatable
	}
	if c.keepAlive > 0 {
		// The endpoint measures whole seconds by its own clock.
		maxIdle = min(maxIdle, c.keepAlive-500*time.Millisecond)
	}
	return time.Since(c.idleSince) < maxIdle
}

// requestWrite is a request that is written while its response is awaited: an endpoint may
// respond before it has read a long body.
type requestWrite struct {
	finished chan struct{}
	err      error
	group    errgroup.Group
}

// writeDoneTimeout is how long a response waits until its request is written. On a busy
// machine the writing goroutine may have sent all bytes without having been scheduled since.
// An early response to a long body comes far sooner than the rest of that body could be
// written.
const writeDoneTimeout = 20 * time.Millisecond

// waitDone waits briefly and reports whether the whole request was written.
func (w *requestWrite) waitDone() bool {
	select {
	case <-w.finished:
		return w.err == nil
	default:
	}
	timer := time.NewTimer(writeDoneTimeout)
	defer timer.Stop()
	select {
	case <-w.finished:
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// end ends the write after the connection's other direction ended, and returns the error with which the
// connection failed. The kernel reports a reset once: if the writer got it, the reader got an orderly end.
func (w *requestWrite) end(c *conn) error {
	if w.waitDone() {
		return nil
	}
	// A write that is still blocked has met no error, and nobody waits for the rest of the request.
	if err := c.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	w.wait()
	if isTimeout(w.err) {
		return nil
	}
	return w.err
}

// wait returns when nothing reads the request any more. The caller closes the connection
// before, unless the whole request was written.
func (w *requestWrite) wait() { <-w.finished }

func (c *conn) startWrite(call *Call) *requestWrite {
	w := &requestWrite{finished: make(chan struct{})}
	w.group.Go(func() error {
		defer close(w.finished)
		w.err = call.Request.Write(c.writer)
		if w.err == nil {
			w.err = c.writer.Flush()
		}
		if call.Written != nil {
			call.Written()
		}
		return nil
	})
	return w
}

func (c *Client) readResponse(open *conn, call *Call, isHead bool) (*Response, error) {
	for range maxSurplusResponses {
		response := &Response{client: c, conn: open}
		response.Head.DisableNormalizing()
		response.Head.SetNoDefaultContentType(true)
		if err := answer.ReadHead(open.reader, &response.Head); err != nil {
			return nil, asUnexpectedEOF(err)
		}
		if answer.IsInterim(response.Head.StatusCode()) {
			continue
		}
		response.setFraming(isHead)
		switch call.Match(&response.Head) {
		case MatchNamed:
			return response, nil
		case MatchUnnamed:
			response.noReuse = true
			return response, nil
		}
		if err := response.drop(); err != nil {
			return nil, err
		}
	}
	return nil, trace.BadParameter("the answers on this connection belong to other requests")
}

// drop reads a response to another request. It fails if no other response can follow, or only after a body
// that is too long.
func (r *Response) drop() error {
	if !r.IsFramed() {
		return trace.BadParameter("the answer belongs to another request and ends with its connection")
	}
	if r.remaining > maxSurplusBytes {
		return &TooLargeError{Limit: maxSurplusBytes}
	}
	_, err := io.CopyN(io.Discard, r, maxSurplusBytes+1)
	switch {
	case err == nil:
		return &TooLargeError{Limit: maxSurplusBytes}
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// setFraming determines how the end of the body is found.
func (r *Response) setFraming(isHead bool) {
	status := r.Head.StatusCode()
	length := r.Head.ContentLength()
	switch {
	case isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		r.framing = FramingNone
		r.body = strings.NewReader("")
	case length >= 0:
		r.framing = FramingLength
		r.remaining = length
		r.body = io.LimitReader(r.conn.reader, int64(length))
	case length == chunkedLength:
		r.framing = FramingChunked
		r.body = httputil.NewChunkedReader(r.conn.reader)
	default:
		r.framing = FramingClose
		r.noReuse = true
		r.body = r.conn.reader
	}
	r.noReuse = r.noReuse || r.Head.ConnectionClose()
}

// Read returns body bytes as soon as some are available. It returns io.EOF only at the end that the
// framing defines, or, if the body runs until the connection closes, once the endpoint has closed
// it in order and the request was not broken off.
func (r *Response) Read(p []byte) (n int, err error) {
	if r.complete {
		return 0, io.EOF
	}
	n, err = r.body.Read(p)
	r.remaining -= n
	r.bytesRead += n
	if err == nil {
		return n, nil
	}
	defer r.recordEnd()
	if !errors.Is(err, io.EOF) {
		return n, r.brokenOff(err)
	}
	switch {
	case r.framing == FramingChunked:
		if err := readTrailer(r.conn.reader); err != nil {
			return n, r.brokenOff(asUnexpectedEOF(err))
		}
	case r.framing == FramingLength && r.remaining > 0:
		return n, r.brokenOff(io.ErrUnexpectedEOF)
	case r.framing == FramingClose:
		if err := r.requestWrite.end(r.conn); err != nil {
			return n, r.brokenOff(err)
		}
	}
	r.complete = true
	return n, io.EOF
}

// recordEnd records for other responses that this one ended with its connection.
func (r *Response) recordEnd() {
	if !r.conn.hasEnded.Load() {
		return
	}
	now := time.Now()
	r.client.connections.recordEnd(endedResponse{
		number:       r.conn.number,
		at:           now,
		silence:      now.Sub(r.conn.lastReceived()),
		isUnfinished: !r.complete,
	})
}

// CutError returns the error for a body that was read to its end and whose content is incomplete. If
// it ended with its connection, the endpoint broke it off.
func (r *Response) CutError() error {
	if r.IsFramed() {
		return r.brokenOff(ErrIncomplete)
	}
	r.complete = false
	r.recordEnd()
	return r.brokenOff(io.ErrUnexpectedEOF)
}

func (r *Response) brokenOff(err error) error {
	return &BodyError{Framing: r.framing, Bytes: r.bytesRead, Err: err}
}

// readTrailer reads the lines after the last chunk, up to the empty one. They may be as long as a header.
func readTrailer(reader *bufio.Reader) error {
	for left := reader.Size(); left > 0; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		left -= len(line)
	}
	return trace.LimitExceeded("the trailer is too long")
}

// Framing returns how the end of the body is found.
func (r *Response) Framing() Framing { return r.framing }

// BytesRead returns the number of bytes of the body that were read.
func (r *Response) BytesRead() int { return r.bytesRead }

// IsFramed reports whether the header defines where the body ends.
func (r *Response) IsFramed() bool { return r.framing != FramingClose }

// ReadAll reads the rest of the body, up to a limit.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	return readAll(r, nil, limit)
}

// Discard reads the rest of a short body within a time, so that Close can keep the connection. Whatever does
// not end by then closes it.
func (r *Response) Discard(limit int, within time.Duration) error {
	if r.noReuse {
		return nil
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	if _, err := r.ReadAll(limit); err != nil {
		return err
	}
	return r.conn.SetReadDeadline(time.Time{})
}

// Close returns the connection to the idle ones if the body was read to its end. Otherwise it
// closes the connection, which also cancels the work at the endpoint.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	active := r.stopCancel()
	if !r.complete || r.noReuse || !active || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		r.requestWrite.wait()
		return
	}
	r.conn.keepAlive = parseKeepAlive(&r.Head)
	r.client.release(r.conn)
}

// parseKeepAlive returns how long the endpoint keeps an idle connection, or 0 if it does not
// state it.
func parseKeepAlive(head *fasthttp.ResponseHeader) time.Duration {
	_, after, found := strings.Cut(string(head.Peek(fasthttp.HeaderKeepAlive)), "timeout=")
	if !found {
		return 0
	}
	seconds, err := strconv.Atoi(strings.TrimSpace(strings.SplitN(after, ",", 2)[0]))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
