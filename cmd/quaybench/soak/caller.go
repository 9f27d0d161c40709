package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/platform/standin"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id, path string
	kind     standin.RouteKind
	customer int
	box      *box
	// life is the box's when the request was sent.
	life        int
	sent, ended time.Time
	status      int
	answered    string
	body        string
	// err is set when the answer was cut or none came.
	err error
	// probes is the version whose route was asked for; 0 for other requests.
	probes int
}

// names are the routes of the four kinds.
var names = map[standin.RouteKind]string{
	standin.Stream:          "brief",
	standin.ResumableStream: "plan",
	standin.Booking:         "book",
	standin.Lookup:          "look",
}

var kinds = []standin.RouteKind{standin.Stream, standin.ResumableStream, standin.Booking, standin.Lookup}

const (
	host = "shop.example"
	// sharedParts is how many long parts the prompts begin with.
	sharedParts = 20
	// callerDeadline is what callers say that they wait.
	callerDeadline = 8 * time.Second
	// streamEvents is the number of events of a whole stream.
	streamEvents = 15
	// callerPatience is the longest that a caller waits for an answer.
	callerPatience = 9 * time.Second
	// callerRest is the longest time between two requests of one caller.
	callerRest = 120 * time.Millisecond
	// requestsLeast is how often a caller uses a connection, at least, unless it
	// ends before.
	requestsLeast = 10
)

// caller sends one request after the other. It keeps its connection for as long
// as the box does, also when the box is stopping.
type caller struct {
	world  *world
	number int
	draw   *rand.Rand
	sent   int

	box    *box
	conn   net.Conn
	reader *bufio.Reader
	left   int
}

func newCaller(w *world, number int) *caller {
	return &caller{world: w, number: number, draw: rand.New(rand.NewPCG(w.soak.Seed, uint64(2+number)))}
}

func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			continue
		}
		c.world.note(c.call())
		c.left--
		if c.left <= 0 {
			c.hangUp()
		}
		time.Sleep(time.Duration(c.draw.Float64() * float64(callerRest)))
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// connect goes to a box by chance; the platform's balancer would leave out those
// that are not ready.
func (c *caller) connect() bool {
	c.box = c.world.boxes[c.draw.IntN(len(c.world.boxes))]
	conn, err := net.DialTimeout("tcp", c.box.callers, time.Second)
	if err != nil {
		time.Sleep(callerRest)
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.left = requestsLeast + c.draw.IntN(4*requestsLeast)
	return true
}

// call sends one request and reads its answer.
func (c *caller) call() (got outcome) {
	c.sent++
	got = outcome{
		id:       fmt.Sprintf("%08x%08x", c.number+1, c.sent),
		kind:     kinds[c.draw.IntN(len(kinds))],
		customer: c.number % 2,
		box:      c.box,
	}
	got.path = "/" + names[got.kind] + "/1"
	if got.kind == standin.Lookup && c.draw.IntN(4) == 0 {
		got.probes = c.world.newest()
		got.path = fmt.Sprintf("/probe-%d/1", got.probes)
	}
	request := c.compose(&got)
	defer fasthttp.ReleaseRequest(request)
	got.life, got.sent = c.box.life(), time.Now()
	got.err = c.exchange(request, &got)
	got.ended = time.Now()
	if got.err != nil {
		c.hangUp()
	}
	return got
}

func (c *caller) compose(got *outcome) *fasthttp.Request {
	ask := standin.Ask{
		ID:       got.id,
		Host:     host,
		Path:     got.path,
		Key:      fmt.Sprintf("key-%d", got.customer),
		Deadline: callerDeadline,
	}
	if got.kind == standin.Stream || got.kind == standin.ResumableStream {
		ask.Shared = 1000000 + c.draw.IntN(sharedParts)
	}
	return ask.Compose()
}

func (c *caller) exchange(request *fasthttp.Request, got *outcome) error {
	if err := c.conn.SetDeadline(time.Now().Add(callerPatience)); err != nil {
		return err
	}
	if _, err := request.WriteTo(c.conn); err != nil {
		return err
	}
	response := &fasthttp.Response{}
	err := response.Read(c.reader)
	got.status = response.StatusCode()
	got.answered = standin.AnsweredID(response)
	got.body = string(response.Body())
	if err == nil && response.ConnectionClose() {
		c.hangUp()
	}
	return err
}

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *world) note(got outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, got)
}

func (w *world) count() (requests, answered int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.outcomes {
		if w.outcomes[i].err == nil && w.outcomes[i].status == fasthttp.StatusOK {
			answered++
		}
	}
	return len(w.outcomes), answered
}
