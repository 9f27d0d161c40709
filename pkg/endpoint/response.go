package endpoint

import (
	"bufio"
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
)

// Call is one request on its way to an endpoint.
type Call struct {
	Request *fasthttp.Request
	// Sure asks for a connection that is surely alive, so that a stale one can
	// not leave the outcome open.
	NonRepeatable bool
	// Sending is called just before the first byte may leave.
	Sending func() error
	// Belongs tells whether an answer is to this request. Others are read to
	// their end and left out: a surplus answer may come before the one due.
	Matches func(head *fasthttp.ResponseHeader) bool
	// Written is called once nothing of the request is read any more, which may
	// be after Do returned an answer, and always before Close of it returns.
	Written func()
}

// NoAnswerError reports that the request was sent, at least in part, and no
// answer came: it may have run.
type NoResponseError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *NoResponseError) Error() string {
	return "no answer from endpoint " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// Reply is an endpoint's answer whose head was read. Its body is read by Read;
// Close has to follow in every case.
type Response struct {
	// Head is spelled as the endpoint sent it.
	Head fasthttp.ResponseHeader

	client *Client
	conn   *conn
	body   io.Reader
	// left counts the bytes that a body of known length still has; chunked and
	// untilClose are the other framings.
	remaining  int
	chunked    bool
	untilClose bool
	complete   bool
	// spent connections are not used again.
	noReuse    bool
	closed     bool
	stopCancel func() bool
	// writing of the request may go on after an early answer.
	requestWrite *requestWrite
}

// mostSurplus bounds the surplus answers that are left out on one connection.
const maxSurplusResponses = 3

// Do sends a request and waits for the head of its answer. When the context
// ends, the connection is closed, which also tells the endpoint.
func (c *Client) Do(ctx context.Context, call *Call) (response *Response, err error) {
	open, reused, err := c.acquireContext(ctx, call.NonRepeatable)
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
	// The request belongs to its writer from here on.
	isHead := call.Request.Header.IsHead()
	write = open.startWrite(call)
	response, err = c.readResponse(open, call, isHead)
	if err != nil {
		if ctx.Err() != nil && reused {
			// Not a byte came. The idle ones may have gone silent with it.
			c.Close()
		}
		return nil, &NoResponseError{Address: c.Address, Err: err}
	}
	response.stopCancel = stopCancel
	response.requestWrite = write
	response.noReuse = response.noReuse || !write.waitDone()
	return response, nil
}

// obtain returns an idle connection that may be used, or a new one. Kept tells which.
func (c *Client) acquireContext(ctx context.Context, nonRepeatable bool) (open *conn, reused bool, err error) {
	for {
		idle := c.popIdle()
		if idle == nil {
			open, err = c.dialContext(ctx)
			return open, false, err
		}
		if idle.isFresh(nonRepeatable) && idle.reader.Buffered() == 0 && IsQuiet(idle.Conn) {
			return idle, true, nil
		}
		idle.Close()
	}
}

const (
	// idleMost is the longest that an idle connection is kept where the endpoint
	// does not say; endpoints forget them, also without a word.
	maxIdleTime = 4 * time.Second
	// idleSure is the same for a request that must not be sent twice.
	maxIdleTimeNonRepeatable = time.Second
)

// fresh tells whether an idle connection is young enough to be used.
func (c *conn) isFresh(nonRepeatable bool) bool {
	maxIdle := maxIdleTime
	if nonRepeatable {
		maxIdle = maxIdleTimeNonRepeatable
	}
	if c.keepAlive > 0 {
		// The endpoint counts in whole seconds, from its own clock.
		maxIdle = min(maxIdle, c.keepAlive-500*time.Millisecond)
	}
	return time.Since(c.idleSince) < maxIdle
}

// writing is a request being written while its answer is awaited: an endpoint
// may answer before it has read a long body.
type requestWrite struct {
	finished chan struct{}
	err      error
	group    errgroup.Group
}

// writerSlack is how long an answer waits for the end of its request's writing.
// On a busy machine the writer may have written all, and not have been run since;
// an early answer, to a long body, comes far sooner than the rest of that.
const writeDoneTimeout = 20 * time.Millisecond

// doneSoon tells whether all was written.
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

// wait returns when the request is no longer read. The connection is closed
// before, unless all was written.
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
		if err := checkStatusLine(open.reader); err != nil {
			return nil, asUnexpectedEOF(err)
		}
		if err := response.Head.Read(open.reader); err != nil {
			return nil, asUnexpectedEOF(err)
		}
		if response.Head.StatusCode() == fasthttp.StatusContinue {
			continue
		}
		response.setFraming(isHead)
		if call.Matches == nil || call.Matches(&response.Head) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			return nil, err
		}
	}
	return nil, trace.BadParameter("the answers on this connection belong to other requests")
}

// expectAnswer looks whether what comes begins like an answer, so that garbage
// is told at once.
func checkStatusLine(reader *bufio.Reader) error {
	const prefix = "HTTP/1."
	got, err := reader.Peek(len(prefix))
	if err != nil {
		return err
	}
	if string(got) != prefix {
		return trace.BadParameter("the bytes are no answer")
	}
	return nil
}

// frame finds out how long the body is.
func (r *Response) setFraming(isHead bool) {
	status := r.Head.StatusCode()
	length := r.Head.ContentLength()
	switch {
	case isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		r.body = strings.NewReader("")
	case length >= 0:
		r.remaining = length
		r.body = io.LimitReader(r.conn.reader, int64(length))
	case length == chunkedLength:
		r.chunked = true
		r.body = httputil.NewChunkedReader(r.conn.reader)
	default:
		r.untilClose = true
		r.noReuse = true
		r.body = r.conn.reader
	}
	r.noReuse = r.noReuse || r.Head.ConnectionClose()
}

// Read reads a piece of the body as soon as there is one. It returns io.EOF
// only at the end that the framing promised, or, where it promised none, when
// the endpoint closed the connection in order.
func (r *Response) Read(p []byte) (n int, err error) {
	if r.complete {
		return 0, io.EOF
	}
	n, err = r.body.Read(p)
	r.remaining -= n
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch {
	case r.chunked:
		if err := readTrailer(r.conn.reader); err != nil {
			return n, asUnexpectedEOF(err)
		}
	case !r.untilClose && r.remaining > 0:
		return n, io.ErrUnexpectedEOF
	}
	r.complete = true
	return n, io.EOF
}

// readTrailer reads the lines after the last chunk, up to the empty one.
func readTrailer(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(strings.TrimRight(string(line), "\r\n")) == 0 {
			return nil
		}
	}
}

// Framed tells whether the answer says where it ends. One that ends with its connection ends
// alike where its endpoint does.
func (r *Response) IsFramed() bool { return !r.untilClose }

// Whole reads the rest of the body, up to a limit.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	return readAll(r, nil, limit)
}

// Close lets the connection go: back to the idle ones if the answer was read to
// its end, closed otherwise, which also cancels work at the endpoint.
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

// keepAliveOf is the time that the endpoint keeps an idle connection; 0 means
// that it does not say.
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
