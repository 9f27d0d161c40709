package engine

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/cmd/quaystand/truth"
)

// tokenStream is the response body of one request, which yields each token at its time. The HTTP
// server reads it, and closes it when the response ends or the caller has disconnected.
type tokenStream struct {
	engine       *Engine
	job          *job
	includeUsage bool
	model        string
	next         time.Time
	isCallerOpen func() bool

	written int
	pending []byte
	ended   bool
	closed  bool
}

// Read waits for the next token and returns its event.
func (s *tokenStream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if err := s.prepareNext(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// prepareNext prepares the next event: a token, or the end of the stream.
func (s *tokenStream) prepareNext() error {
	if s.written == s.job.output {
		s.pending = s.finalEvents()
		s.ended = true
		return nil
	}
	if err := s.awaitToken(); err != nil {
		return err
	}
	s.written++
	if s.written == 1 {
		s.engine.Truth.Add(s.job.event(truth.First, 1))
	}
	s.pending = fmt.Appendf(nil,
		"data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		s.job.id, s.model, token(s.job.id, s.written))
	s.next = s.next.Add(s.engine.tokenInterval())
	return nil
}

// awaitToken sleeps until the time of the next token. It returns an error if the caller has
// disconnected.
func (s *tokenStream) awaitToken() error {
	for {
		left := time.Until(s.next)
		if left <= 0 {
			return nil
		}
		time.Sleep(min(left, callerCheckInterval))
		if left > callerCheckInterval && !s.isCallerOpen() {
			return io.ErrClosedPipe
		}
	}
}

// token returns the text of a request's nth token. It contains the request's ID and the number,
// so that crossed and incomplete responses can be detected.
func token(id string, n int) string {
	return fmt.Sprintf("%s:%d ", id, n)
}

func (s *tokenStream) finalEvents() []byte {
	var end strings.Builder
	if s.includeUsage {
		fmt.Fprintf(&end,
			"data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[],\"usage\":%s}\n\n",
			s.job.id, s.model, s.usageJSON())
	}
	end.WriteString("data: [DONE]\n\n")
	return []byte(end.String())
}

func (s *tokenStream) usageJSON() string {
	return fmt.Sprintf("{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}",
		s.job.input, s.written, s.job.input+s.written)
}

// Close ends the request and records whether it was finished or cancelled.
func (s *tokenStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	kind := truth.Cancelled
	if s.ended {
		kind = truth.Finished
	}
	s.engine.Truth.Add(s.job.event(kind, s.written))
	s.engine.finish(s.job)
	return nil
}

// serveComplete writes the response in one piece, without streaming.
func (s *tokenStream) serveComplete(ctx *fasthttp.RequestCtx) {
	defer s.Close()
	var text strings.Builder
	for s.written < s.job.output {
		if s.awaitToken() != nil {
			ctx.SetConnectionClose()
			return
		}
		s.written++
		if s.written == 1 {
			s.engine.Truth.Add(s.job.event(truth.First, 1))
		}
		text.WriteString(token(s.job.id, s.written))
		s.next = s.next.Add(s.engine.tokenInterval())
	}
	s.ended = true
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx,
		"{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":\"stop\"}],\"usage\":%s}",
		s.job.id, s.model, text.String(), s.usageJSON())
}
