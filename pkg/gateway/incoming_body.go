package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/memory"
	"github.com/quaylead/quaylead/pkg/request"
)

const (
	// prefetchedBodyBytes is how much of a body the HTTP server reads before it calls the handler.
	prefetchedBodyBytes = 1
	// firstBodyBytes is the first buffer for a body; most fit.
	firstBodyBytes = 16 << 10
	// minStalledTime is how long a body must have stood still before it may be given up for another one. It
	// is far longer than a round trip, a lost packet included.
	minStalledTime = time.Second
	// memoryRetryDelay is the minimum Retry-After of a request whose customer keeps too much of this
	// box's memory; a random time of up to the same length is added. Most answers are read within it.
	memoryRetryDelay = 500 * time.Millisecond
)

var (
	errBodyTooLarge = errors.New("the body is larger than the limit")
	errNoRoom       = errors.New("the customer keeps its share of this box's memory")
	errBodyStalled  = errors.New("the body stood still while memory ran short")
	errConnShut     = errors.New("the connection was closed for a new one before its request began")
)

// incomingBody is the body of a request while it is read. Its buffer grows with what has come; an announced
// length is reserved, but not allocated.
type incomingBody struct {
	conn   *callerConn
	stream io.Reader
	// limit bounds the body, in bytes.
	limit int
	// announced is the length that the header states; less than 0 for a body in chunks.
	announced int
	buffer    []byte
	// reserved is what is reserved for the buffer: its size or, if that is more, the announced one.
	reserved int
}

// receiveBody reads the body of the request into memory that is reserved for its customer. It returns the
// refusal of a request whose body is too large, does not come, or finds no room.
func (c *call) receiveBody() *request.Refusal {
	err := c.readBody()
	if err == nil {
		return nil
	}
	// The ID is parsed even if other headers are invalid.
	c.RequestInfo, _ = c.gateway.Translator.ParseRequest(&c.http.Request.Header)
	if conn := connOf(c.http); conn != nil {
		conn.releaseAnswer()
		conn.draining.Store(true)
	} else {
		c.dropBody()
	}
	return c.bodyRefusal(err)
}

// dropBody reads and drops what is left of a body, on a connection that does not do so when it is closed: closing
// it with unread data resets it, and its caller may lose the refusal.
func (c *call) dropBody() {
	body := c.http.RequestBodyStream()
	if body == nil || c.http.Conn().SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, body, maxBodyBytes)
}

// bodyRefusal returns the refusal of a request whose body was not read to its end.
func (c *call) bodyRefusal(err error) *request.Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return notRun(request.TooLarge, "the body is larger than "+strconv.Itoa(c.gateway.maxBody())+" bytes", 0)
	case errors.Is(err, errNoRoom), errors.Is(err, errBodyStalled):
		c.customer = c.gateway.customerOf(&c.http.Request.Header)
		c.gateway.Metrics.RefusedForMemory(c.customer)
		return notRun(request.Overloaded, err.Error(), memoryRetryDelay+rand.N(memoryRetryDelay))
	case errors.Is(err, errConnShut):
		return notRun(request.NotReady, err.Error(), otherBoxRetryDelay)
	default:
		c.log().Info("body not read", zap.String("Request", c.ID), zap.Error(err))
		return notRun(request.InvalidRequest, "the body is malformed or too slow", 0)
	}
}

func (c *call) readBody() (err error) {
	header := &c.http.Request.Header
	body := &incomingBody{
		conn:      connOf(c.http),
		stream:    c.http.RequestBodyStream(),
		limit:     c.gateway.maxBody(),
		announced: header.ContentLength(),
	}
	if body.announced > body.limit {
		return errBodyTooLarge
	}
	if body.conn != nil && !body.conn.begin(c.gateway.customerOf(header), requestBytes) {
		if body.conn.isShut() {
			return errConnShut
		}
		return errNoRoom
	}
	defer body.conn.received(0, true)
	if body.stream == nil || body.announced == 0 {
		return nil
	}
	if err := body.read(); err != nil {
		return err
	}
	c.http.Request.SetBodyRaw(body.buffer)
	return nil
}

// customerOf returns the customer of a request; requests whose customer is not known share one
// account.
func (g *Gateway) customerOf(header *fasthttp.RequestHeader) string {
	catalog := g.registry.Catalog()
	if catalog == nil {
		return ""
	}
	if customer := catalog.CustomerOf(g.Translator.ParseKey(header)); customer != nil {
		return customer.Name
	}
	return ""
}

// maxBody returns the bound of a request's body.
func (g *Gateway) maxBody() int {
	if catalog := g.registry.Catalog(); catalog != nil && catalog.Limits.BodyBytes > 0 {
		return catalog.Limits.BodyBytes
	}
	return maxBodyBytes
}

// read reads the body to its end.
func (b *incomingBody) read() error {
	if err := b.grow(min(max(b.announced, 0), firstBodyBytes)); err != nil {
		return err
	}
	for {
		if len(b.buffer) == cap(b.buffer) {
			if err := b.grow(b.nextSize()); err != nil {
				return err
			}
		}
		n, err := b.stream.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		switch {
		case !b.conn.received(n, err != nil):
			return errBodyStalled
		case len(b.buffer) > b.limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return b.checkLength()
		case err != nil:
			return err
		}
	}
}

// checkLength reports a body that ended before the length that its header states.
func (b *incomingBody) checkLength() error {
	if len(b.buffer) < b.announced {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// nextSize returns the size of the next buffer, by one byte larger than the body may be, so that its end is
// found without another one.
func (b *incomingBody) nextSize() int {
	longest := b.limit
	if b.announced >= 0 {
		longest = b.announced
	}
	return min(max(firstBodyBytes, 2*cap(b.buffer)), longest+1)
}

// grow replaces the buffer by a larger one, for which memory is reserved.
func (b *incomingBody) grow(size int) error {
	if reserved := max(size, b.announced); b.conn != nil && reserved > b.reserved {
		if !b.conn.keepBody(int64(reserved - b.reserved)) {
			return errNoRoom
		}
		b.reserved = reserved
	}
	grown := make([]byte, len(b.buffer), size)
	copy(grown, b.buffer)
	b.buffer = grown
	return nil
}

// keepBody reserves bytes for the body that is being read and reports whether its customer had room. Bodies of
// the same customer that have stood still for long are given up for it.
func (c *callerConn) keepBody(bytes int64) bool {
	if c.keep(bytes) {
		return true
	}
	return c.memory.giveUpStalled(c.customer, bytes) && c.keep(bytes)
}

// received records that bytes of a body have come, or that it has ended. It reports false if the body was given
// up for another one. A nil connection is not accounted for.
func (c *callerConn) received(bytes int, ended bool) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ended:
		c.receivedAt = time.Time{}
	case bytes > 0:
		c.receivedAt = time.Now()
	}
	return !c.givenUp
}

// stalled returns the body that is being read, if it belongs to a customer and has stood still.
func (c *callerConn) stalled(customer string, now time.Time) (body memory.Stalled, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.givenUp || c.receivedAt.IsZero() || c.customer != customer || now.Sub(c.receivedAt) < minStalledTime {
		return body, false
	}
	return memory.Stalled{Bytes: c.kept, Since: c.receivedAt}, true
}

// giveUpBody ends the reading of a body, whose memory is released at once.
func (c *callerConn) giveUpBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.receivedAt.IsZero() {
		return
	}
	c.givenUp = true
	c.memory.budget.Release(c.customer, c.kept)
	c.kept = 0
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// giveUpStalled gives up bodies of a customer that have stood still, so that it can reserve bytes. It reports
// whether it gave up any.
func (m *callerMemory) giveUpStalled(customer string, bytes int64) bool {
	now := time.Now()
	byID := map[uint64]*callerConn{}
	var stalled []memory.Stalled
	for _, conn := range m.openConns() {
		if body, found := conn.stalled(customer, now); found {
			body.ID = uint64(len(stalled))
			stalled = append(stalled, body)
			byID[body.ID] = conn
		}
	}
	chosen := memory.ChooseStalled(stalled, m.budget.Shortage(customer, bytes))
	for _, body := range chosen {
		byID[body.ID].giveUpBody()
	}
	return len(chosen) > 0
}
