package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/memory"
)

// callerMemory keeps account of what this box keeps for its callers, by customer: the bodies of
// requests, answers, and what the kernel has not delivered yet. It exists only where
// Settings.MaxMemory is set.
type callerMemory struct {
	gateway *Gateway
	budget  memory.Budget
	// unanswered is what endpoints were sent and have not answered.
	unanswered memory.Unanswered

	mu sync.Mutex
	// conns are the open connections of callers.
	conns map[*callerConn]struct{}
	// crowdCheckedAt is when connections without a request were last looked for.
	crowdCheckedAt time.Time
}

const (
	// budgetMemoryShare is the fraction of MaxMemory that is shared by customers. Beside it come
	// the connections of callers (callersMemoryShare), and the fleet's tables and the runtime, 30 to
	// 50 MB of the smallest box's 144.
	budgetMemoryShare = 0.2
	// requestBytes is what a request takes beside its body: its headers and the state of its call.
	requestBytes = 4 << 10
	// unreadCheckInterval is the time between two checks for answers that are not read.
	unreadCheckInterval = 250 * time.Millisecond
	// closedCheckInterval is the time between two checks of whether connections are left.
	closedCheckInterval = 20 * time.Millisecond
	// minUnreadTime is how long a caller must have read nothing before its answer may be cut. It
	// is far longer than a round trip, a lost packet included.
	minUnreadTime = time.Second
)

// newCallerMemory returns the account of a box; nil if its memory is not bounded.
func newCallerMemory(g *Gateway) *callerMemory {
	if g.Settings.MaxMemory <= 0 {
		return nil
	}
	return &callerMemory{
		gateway: g,
		budget:  memory.Budget{Size: int64(float64(g.Settings.MaxMemory) * budgetMemoryShare)},
		conns:   map[*callerConn]struct{}{},
	}
}

// attach sets the hooks of the server for callers. The server serves only connections that were
// accepted by a listener of this account.
func (m *callerMemory) attach(server *fasthttp.Server) {
	if m == nil {
		return
	}
	server.ConnState = m.trackConnection
}

// kernelBuffer returns the bound of what the kernel keeps of a connection of a caller, and of one to
// an endpoint; 0 if it is not bounded. An answer that is not read then waits at its endpoint.
func (m *callerMemory) kernelBuffer() int {
	if m == nil {
		return 0
	}
	return kernelBuffer
}

// run looks for answers that are not read, until the context ends.
func (m *callerMemory) run(ctx context.Context) error {
	if m == nil {
		return nil
	}
	interval.Every(ctx, unreadCheckInterval, func() { m.check(time.Now()) })
	return nil
}

// check measures what the kernel keeps for each caller, and cuts answers while the budget is nearly
// used.
func (m *callerMemory) check(now time.Time) {
	byID := map[uint64]*callerConn{}
	var unread []memory.Unread
	for _, conn := range m.openConns() {
		answer := conn.measure(now)
		if answer.Bytes > 0 && now.Sub(answer.Since) >= minUnreadTime {
			answer.ID = uint64(len(unread))
			unread = append(unread, answer)
			byID[answer.ID] = conn
		}
	}
	for _, cut := range m.budget.ChooseCuts(unread) {
		m.cut(byID[cut.ID], cut, now)
	}
	m.gateway.Metrics.kept.Set(m.budget.Used())
}

// cut gives up an answer that is not read. Its caller's connection is reset.
func (m *callerMemory) cut(conn *callerConn, answer memory.Unread, now time.Time) {
	m.gateway.Metrics.CutUnread(answer.Customer)
	m.gateway.Logs.For(logflags.Caller).Info("unread answer cut",
		zap.String("Request", conn.currentRequest()),
		zap.String("Customer", answer.Customer),
		zap.Int64("Bytes", answer.Bytes),
		zap.Duration("Unread", now.Sub(answer.Since)),
		zap.Int64("CustomerKept", m.budget.UsedBy(answer.Customer)),
		zap.Int64("Kept", m.budget.Used()),
		zap.Int64("Budget", m.budget.Size))
	conn.reset()
}

// awaitClosed waits until all connections are closed, or the context ends. The server does not wait for
// those of which it has written the last answer, but one on which a refused body still arrives is closed
// later: the end of the process would reset it, and its caller may lose the refusal.
func (m *callerMemory) awaitClosed(ctx context.Context) {
	if m == nil {
		return
	}
	for len(m.openConns()) > 0 && interval.Wait(ctx, closedCheckInterval) == nil {
	}
}

func (m *callerMemory) openConns() (conns []*callerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for conn := range m.conns {
		conns = append(conns, conn)
	}
	return conns
}
