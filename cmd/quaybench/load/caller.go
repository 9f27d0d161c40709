package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// send sends one request and reads its response to the end.
func (r *Runner) send(ctx context.Context, arrival Arrival) (record Record) {
	record = Record{Arrival: arrival, Sent: time.Now()}
	defer func() { record.End = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	request, err := r.newRequest(ctx, &arrival)
	if err != nil {
		record.Error = err.Error()
		return record
	}
	response, err := r.client.Do(request)
	if err != nil {
		record.Error = err.Error()
		return record
	}
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.RunStatus = response.Header.Get("Quaylead-Run")
	echoed := response.Header.Get("X-Request-Id")
	record.Crossed = echoed != "" && echoed != arrival.ID
	switch {
	case response.StatusCode != http.StatusOK:
		record.readRefusal(response.Body)
	case arrival.Source.Plain:
		record.readPlain(response.Body)
	default:
		record.readStream(response.Body)
	}
	return record
}

func (r *Runner) newRequest(ctx context.Context, arrival *Arrival) (*http.Request, error) {
	url := r.URLs[arrival.Router]
	source := arrival.Source
	path, body := r.Path, fmt.Appendf(nil, "{\"Booking\":%q}", arrival.Key)
	if !source.Plain {
		path, body = "/v1/chat/completions", r.encodeModelBody(arrival)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+r.Key(source.Customer))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", arrival.ID)
	if source.Class != "" {
		request.Header.Set("Quaylead-Class", source.Class)
	}
	if arrival.Timeout > 0 {
		request.Header.Set("Quaylead-Timeout", arrival.Timeout.String())
	}
	if arrival.Key != "" {
		request.Header.Set("Idempotency-Key", arrival.Key)
	}
	return request, nil
}

type modelBody struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Messages  []message         `json:"messages"`
	Metadata  map[string]string `json:"metadata"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// bytesPerToken is the number of bytes that the stand-in counts as one token of
// a prompt.
const bytesPerToken = 4

// encodeModelBody returns a request body with a prompt of the wanted length. The
// stand-in reads the length of its output from the metadata, which the router
// does not read.
func (r *Runner) encodeModelBody(arrival *Arrival) []byte {
	text := arrival.ID + strings.Repeat(" ask", max(0, arrival.Input-len(arrival.ID)/bytesPerToken-8))
	body := modelBody{
		Model:    r.Model,
		Stream:   true,
		Messages: []message{{Role: "user", Content: text}},
		Metadata: map[string]string{"output_tokens": fmt.Sprint(arrival.Output)},
	}
	if factor := arrival.Source.HintFactor; factor > 0 {
		body.MaxTokens = max(arrival.Output, int(factor*float64(arrival.Output)))
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return encoded
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads server-sent events and checks that each holds the next token
// of this request.
func (r *Record) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	done := false
	last := time.Time{}
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event streamEvent
		if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
			r.Error = "event without a token: " + data
			continue
		}
		r.Tokens++
		now := time.Now()
		if r.First.IsZero() {
			r.First = now
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
		if event.Choices[0].Delta.Content != fmt.Sprintf("%s:%d ", r.ID, r.Tokens) {
			r.Crossed = true
		}
	}
	if err := lines.Err(); err != nil {
		r.Error = err.Error()
		return
	}
	r.CleanEOF = true
	r.Complete = done && r.Tokens == r.Output && !r.Crossed
}

// plainResponse is the response body of a stand-in for a plain service.
type plainResponse struct {
	Request string
	Key     string
	Runs    int
}

func (r *Record) readPlain(body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.CleanEOF = true
	var response plainResponse
	if err := json.Unmarshal(content, &response); err != nil {
		r.Error = err.Error()
		return
	}
	r.Runs = response.Runs
	r.First = time.Now()
	if r.Key == "" {
		r.Crossed = r.Crossed || response.Request != r.ID
	} else {
		r.Crossed = r.Crossed || response.Key != r.Key
	}
	r.Complete = !r.Crossed
}

type refusalBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (r *Record) readRefusal(body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		r.Error = err.Error()
		return
	}
	var refusal refusalBody
	if json.Unmarshal(content, &refusal) == nil {
		r.Code = refusal.Error.Code
	}
}
