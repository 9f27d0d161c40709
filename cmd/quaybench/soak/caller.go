package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/answer"
	"github.com/quaylead/quaylead/platform/standin"
)

// outcome is what a caller observed of one request.
type outcome struct {
	id, path string
	kind     standin.RouteKind
	customer int
	box      *box
	// incarnation is that of the box when the request was sent.
	incarnation int
	sent, ended time.Time
	// notRead is for how long the caller did not read the response at first.
	notRead time.Duration
	// status is 0 if no head was received.
	status int
	// responseID is the request ID in the response; empty if it has none.
	responseID string
	// server is the server that began the response; empty if none did.
	server string
	body   string
	// isFramed is set if a length or chunks show where the body of a stream ends.
	isFramed bool
	// err is set if the response was cut or none was received.
	err error
	// probedVersion is the configuration version whose own route was requested; 0 for
	// other requests.
	probedVersion int
	// resumes and after are set for a request that takes up a stream: the request that began it,
	// and the last event received. sharedPrefix is the prefix of its prompt.
	resumes      string
	after        int
	sharedPrefix int
}

// routeNames are the names of the routes of the four kinds.
var routeNames = map[standin.RouteKind]string{
	standin.Stream:          "brief",
	standin.ResumableStream: "plan",
	standin.Booking:         "book",
	standin.Lookup:          "look",
}

var routeKinds = []standin.RouteKind{standin.Stream, standin.ResumableStream, standin.Booking, standin.Lookup}

const (
	host = "shop.example"
	// sharedPrefixes is the number of different prefixes that prompts begin with.
	sharedPrefixes = 20
	// callerDeadline is the deadline that callers send with a request.
	callerDeadline = 8 * time.Second
	// streamEvents is the number of events of a complete stream.
	streamEvents = 15
	// chunkedLength is the content length of a chunked body; that of one without framing is less.
	chunkedLength = -1
	// callerTimeout bounds the time that a caller waits for a response.
	callerTimeout = 9 * time.Second
	// maxCallerPause bounds the time between two requests of one caller.
	maxCallerPause = 120 * time.Millisecond
	// minConnectionRequests is the minimum number of requests that a caller sends on a
	// connection, unless the box closes it earlier.
	minConnectionRequests = 10
	// notReadingFraction is the fraction of requests whose caller reads nothing for a while, and
	// maxNotReading bounds that time.
	notReadingFraction = 0.05
	maxNotReading      = 3 * time.Second
)

// caller sends one request after another. It does not give up its connection when the box
// begins to stop; it waits for the box to close it.
type caller struct {
	world  *world
	number int
	rng    *rand.Rand
	sent   int

	box       *box
	conn      net.Conn
	reader    *bufio.Reader
	remaining int
	// interrupted is the stream to take up next; nil if there is none.
	interrupted *interruptedStream
}

func newCaller(w *world, number int) *caller {
	return &caller{world: w, number: number, rng: rand.New(rand.NewPCG(w.soak.Seed, uint64(2+number)))}
}

func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			continue
		}
		c.world.recordOutcome(c.call())
		c.remaining--
		if c.remaining <= 0 {
			c.disconnect()
		}
		time.Sleep(time.Duration(c.rng.Float64() * float64(maxCallerPause)))
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// connect connects to a random box. Unlike the platform's balancer it also picks boxes that
// are not ready.
func (c *caller) connect() bool {
	c.box = c.world.boxes[c.rng.IntN(len(c.world.boxes))]
	conn, err := answer.Dial(c.box.callerAddress, time.Second)
	if err != nil {
		time.Sleep(maxCallerPause)
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.remaining = minConnectionRequests + c.rng.IntN(4*minConnectionRequests)
	return true
}

// call sends one request and reads its response.
func (c *caller) call() (got outcome) {
	c.sent++
	got = outcome{
		id:       fmt.Sprintf("%08x%08x", c.number+1, c.sent),
		kind:     routeKinds[c.rng.IntN(len(routeKinds))],
		customer: c.number % 2,
		box:      c.box,
	}
	if c.interrupted != nil {
		got.kind = standin.ResumableStream
		got.resumes, got.after, got.sharedPrefix = c.interrupted.began, c.interrupted.after, c.interrupted.sharedPrefix
	}
	got.path = "/" + routeNames[got.kind] + "/1"
	if got.kind == standin.Lookup && c.rng.IntN(4) == 0 {
		got.probedVersion = c.world.newestVersion()
		got.path = fmt.Sprintf("/probe-%d/1", got.probedVersion)
	}
	request := c.buildRequest(&got)
	defer fasthttp.ReleaseRequest(request)
	got.incarnation, got.sent = c.box.incarnation(), time.Now()
	got.err = c.exchange(request, &got)
	got.ended = time.Now()
	c.recordInterruption(&got)
	if got.err != nil {
		c.disconnect()
	}
	return got
}

func (c *caller) buildRequest(got *outcome) *fasthttp.Request {
	call := standin.CallerRequest{
		ID:       got.id,
		Host:     host,
		Path:     got.path,
		Key:      fmt.Sprintf("key-%d", got.customer),
		Deadline: callerDeadline,
	}
	if got.sharedPrefix == 0 && (got.kind == standin.Stream || got.kind == standin.ResumableStream) {
		got.sharedPrefix = 1000000 + c.rng.IntN(sharedPrefixes)
	}
	call.SharedPrefix, call.Resumes, call.After = got.sharedPrefix, got.resumes, got.after
	return call.Build()
}

func (c *caller) exchange(request *fasthttp.Request, got *outcome) error {
	if err := c.conn.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return err
	}
	if _, err := request.WriteTo(c.conn); err != nil {
		return err
	}
	got.notRead = c.drawNotReading()
	time.Sleep(got.notRead)
	switch got.kind {
	case standin.Stream:
		return c.readEvents(got, 0)
	case standin.ResumableStream:
		maxEvents := 0
		if c.rng.Float64() < hangUpFraction {
			maxEvents = 1 + c.rng.IntN(streamEvents/2)
		}
		return c.readEvents(got, maxEvents)
	}
	response := &fasthttp.Response{}
	err := response.Read(c.reader)
	got.responseID, got.server = standin.RequestIDOf(response), standin.ServerOf(response)
	if err == nil || got.responseID != "" {
		// Without a head, StatusCode returns 200.
		got.status = response.StatusCode()
	}
	got.body = string(response.Body())
	if err == nil && response.ConnectionClose() {
		c.disconnect()
	}
	return err
}

// drawNotReading draws for how long the caller does not read its answer; mostly 0.
func (c *caller) drawNotReading() time.Duration {
	draw, length := c.rng.Float64(), c.rng.Float64()
	if draw >= notReadingFraction {
		return 0
	}
	return time.Duration(length * float64(maxNotReading))
}

// newestVersion returns the version of the newest configuration.
func (w *world) newestVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *world) recordOutcome(got outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, got)
}

func (w *world) countOutcomes() (requests, completed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.outcomes {
		if w.outcomes[i].err == nil && w.outcomes[i].status == fasthttp.StatusOK {
			completed++
		}
	}
	return len(w.outcomes), completed
}
