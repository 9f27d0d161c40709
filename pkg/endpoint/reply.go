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
	Sure bool
	// Sending is called just before the first byte may leave.
	Sending func() error
	// Belongs tells whether an answer is to this request. Others are read to
	// their end and left out: a surplus answer may come before the one due.
	Belongs func(head *fasthttp.ResponseHeader) bool
	// Written is called once nothing of the request is read any more, which may
	// be after Do returned an answer, and always before Close of it returns.
	Written func()
}

// NoAnswerError reports that the request was sent, at least in part, and no
// answer came: it may have run.
type NoAnswerError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *NoAnswerError) Error() string {
	return "no answer from endpoint " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Reply is an endpoint's answer whose head was read. Its body is read by Read;
// Close has to follow in every case.
type Reply struct {
	// Head is spelled as the endpoint sent it.
	Head fasthttp.ResponseHeader

	client *Client
	conn   *conn
	body   io.Reader
	// left counts the bytes that a body of known length still has; chunked and
	// untilClose are the other framings.
	left       int
	chunked    bool
	untilClose bool
	whole      bool
	// spent connections are not used again.
	spent  bool
	closed bool
	detach func() bool
	// writing of the request may go on after an early answer.
	writing *writing
}

// mostSurplus bounds the surplus answers that are left out on one connection.
const mostSurplus = 3

// Do sends a request and waits for the head of its answer. When the context
// ends, the connection is closed, which also tells the endpoint.
func (c *Client) Do(ctx context.Context, call *Call) (reply *Reply, err error) {
	open, kept, err := c.obtain(ctx, call.Sure)
	if err != nil {
		return nil, err
	}
	detach := context.AfterFunc(ctx, func() { open.Close() })
	var sent *writing
	defer func() {
		if err == nil {
			return
		}
		detach()
		open.Close()
		if sent != nil {
			sent.wait()
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
	sent = open.start(call)
	reply, err = c.readReply(open, call, isHead)
	if err != nil {
		if ctx.Err() != nil && kept {
			// Not a byte came. The idle ones may have gone silent with it.
			c.Close()
		}
		return nil, &NoAnswerError{Address: c.Address, Err: err}
	}
	reply.detach = detach
	reply.writing = sent
	reply.spent = reply.spent || !sent.doneSoon()
	return reply, nil
}

// obtain returns an idle connection that may be used, or a new one. Kept tells which.
func (c *Client) obtain(ctx context.Context, sure bool) (open *conn, kept bool, err error) {
	for {
		idle := c.pop()
		if idle == nil {
			open, err = c.dialContext(ctx)
			return open, false, err
		}
		if idle.fresh(sure) && idle.reader.Buffered() == 0 && IsQuiet(idle.Conn) {
			return idle, true, nil
		}
		idle.Close()
	}
}

const (
	// idleMost is the longest that an idle connection is kept where the endpoint
	// does not say; endpoints forget them, also without a word.
	idleMost = 4 * time.Second
	// idleSure is the same for a request that must not be sent twice.
	idleSure = time.Second
)

// fresh tells whether an idle connection is young enough to be used.
func (c *conn) fresh(sure bool) bool {
	most := idleMost
	if sure {
		most = idleSure
	}
	if c.keepAlive > 0 {
		// The endpoint counts in whole seconds, from its own clock.
		most = min(most, c.keepAlive-500*time.Millisecond)
	}
	return time.Since(c.idleSince) < most
}

// writing is a request being written while its answer is awaited: an endpoint
// may answer before it has read a long body.
type writing struct {
	finished chan struct{}
	err      error
	group    errgroup.Group
}

// writerSlack is how long an answer waits for the end of its request's writing.
// On a busy machine the writer may have written all, and not have been run since;
// an early answer, to a long body, comes far sooner than the rest of that.
const writerSlack = 20 * time.Millisecond

// doneSoon tells whether all was written.
func (w *writing) doneSoon() bool {
	select {
	case <-w.finished:
		return w.err == nil
	default:
	}
	timer := time.NewTimer(writerSlack)
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
func (w *writing) wait() { <-w.finished }

func (c *conn) start(call *Call) *writing {
	w := &writing{finished: make(chan struct{})}
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

func (c *Client) readReply(open *conn, call *Call, isHead bool) (*Reply, error) {
	for range mostSurplus {
		reply := &Reply{client: c, conn: open}
		reply.Head.DisableNormalizing()
		reply.Head.SetNoDefaultContentType(true)
		if err := expectAnswer(open.reader); err != nil {
			return nil, unexpected(err)
		}
		if err := reply.Head.Read(open.reader); err != nil {
			return nil, unexpected(err)
		}
		if reply.Head.StatusCode() == fasthttp.StatusContinue {
			continue
		}
		reply.frame(isHead)
		if call.Belongs == nil || call.Belongs(&reply.Head) {
			return reply, nil
		}
		if _, err := io.Copy(io.Discard, reply); err != nil {
			return nil, err
		}
	}
	return nil, trace.BadParameter("the answers on this connection belong to other requests")
}

// expectAnswer looks whether what comes begins like an answer, so that garbage
// is told at once.
func expectAnswer(from *bufio.Reader) error {
	const begin = "HTTP/1."
	got, err := from.Peek(len(begin))
	if err != nil {
		return err
	}
	if string(got) != begin {
		return trace.BadParameter("the bytes are no answer")
	}
	return nil
}

// frame finds out how long the body is.
func (r *Reply) frame(isHead bool) {
	status := r.Head.StatusCode()
	length := r.Head.ContentLength()
	switch {
	case isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		r.body = strings.NewReader("")
	case length >= 0:
		r.left = length
		r.body = io.LimitReader(r.conn.reader, int64(length))
	case length == chunkedLength:
		r.chunked = true
		r.body = httputil.NewChunkedReader(r.conn.reader)
	default:
		r.untilClose = true
		r.spent = true
		r.body = r.conn.reader
	}
	r.spent = r.spent || r.Head.ConnectionClose()
}

// Read reads a piece of the body as soon as there is one. It returns io.EOF
// only at the end that the framing promised, or, where it promised none, when
// the endpoint closed the connection in order.
func (r *Reply) Read(p []byte) (n int, err error) {
	if r.whole {
		return 0, io.EOF
	}
	n, err = r.body.Read(p)
	r.left -= n
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch {
	case r.chunked:
		if err := readTrailer(r.conn.reader); err != nil {
			return n, unexpected(err)
		}
	case !r.untilClose && r.left > 0:
		return n, io.ErrUnexpectedEOF
	}
	r.whole = true
	return n, io.EOF
}

// readTrailer reads the lines after the last chunk, up to the empty one.
func readTrailer(from *bufio.Reader) error {
	for {
		line, err := from.ReadSlice('\n')
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
func (r *Reply) Framed() bool { return !r.untilClose }

// Whole reads the rest of the body, up to a limit.
func (r *Reply) Whole(limit int) ([]byte, error) {
	return readAll(r, nil, limit)
}

// Close lets the connection go: back to the idle ones if the answer was read to
// its end, closed otherwise, which also cancels work at the endpoint.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	attached := r.detach()
	if !r.whole || r.spent || !attached || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		r.writing.wait()
		return
	}
	r.conn.keepAlive = keepAliveOf(&r.Head)
	r.client.give(r.conn)
}

// keepAliveOf is the time that the endpoint keeps an idle connection; 0 means
// that it does not say.
func keepAliveOf(head *fasthttp.ResponseHeader) time.Duration {
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
