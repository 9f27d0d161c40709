package engine

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/cmd/quaystand/truth"
)

// answer writes one request's tokens, each at its time. It is read by the
// server, and closed by it when the caller went away.
type answer struct {
	engine *Engine
	job    *job
	usage  bool
	model  string
	next   time.Time
	open   func() bool

	written int
	pending []byte
	ended   bool
	closed  bool
}

// Read waits for the next token and gives its event.
func (a *answer) Read(p []byte) (int, error) {
	if len(a.pending) == 0 {
		if a.ended {
			return 0, io.EOF
		}
		if err := a.step(); err != nil {
			return 0, err
		}
	}
	n := copy(p, a.pending)
	a.pending = a.pending[n:]
	return n, nil
}

// step makes the next event: a token, or the end.
func (a *answer) step() error {
	if a.written == a.job.output {
		a.pending = a.ending()
		a.ended = true
		return nil
	}
	if err := a.await(); err != nil {
		return err
	}
	a.written++
	if a.written == 1 {
		a.engine.Truth.Add(a.job.event(truth.First, 1))
	}
	a.pending = fmt.Appendf(nil,
		"data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		a.job.id, a.model, token(a.job.id, a.written))
	a.next = a.next.Add(a.engine.tokenTime())
	return nil
}

// await sleeps until the next token's time, and ends when the caller is gone.
func (a *answer) await() error {
	for {
		left := time.Until(a.next)
		if left <= 0 {
			return nil
		}
		time.Sleep(min(left, goneCheck))
		if left > goneCheck && !a.open() {
			return io.ErrClosedPipe
		}
	}
}

// token is the text of a request's nth token. It tells whose answer it is, so
// that a crossed or incomplete answer shows.
func token(id string, n int) string {
	return fmt.Sprintf("%s:%d ", id, n)
}

func (a *answer) ending() []byte {
	var end strings.Builder
	if a.usage {
		fmt.Fprintf(&end,
			"data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[],\"usage\":%s}\n\n",
			a.job.id, a.model, a.usageText())
	}
	end.WriteString("data: [DONE]\n\n")
	return []byte(end.String())
}

func (a *answer) usageText() string {
	return fmt.Sprintf("{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}",
		a.job.input, a.written, a.job.input+a.written)
}

// Close ends the request, whole or cancelled.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	kind := truth.Cancelled
	if a.ended {
		kind = truth.Finished
	}
	a.engine.Truth.Add(a.job.event(kind, a.written))
	a.engine.leave(a.job)
	return nil
}

// serveWhole writes the answer in one piece.
func (a *answer) serveWhole(ctx *fasthttp.RequestCtx) {
	defer a.Close()
	var text strings.Builder
	for a.written < a.job.output {
		if a.await() != nil {
			ctx.SetConnectionClose()
			return
		}
		a.written++
		if a.written == 1 {
			a.engine.Truth.Add(a.job.event(truth.First, 1))
		}
		text.WriteString(token(a.job.id, a.written))
		a.next = a.next.Add(a.engine.tokenTime())
	}
	a.ended = true
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx,
		"{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":\"stop\"}],\"usage\":%s}",
		a.job.id, a.model, text.String(), a.usageText())
}
