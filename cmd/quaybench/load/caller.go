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

// send makes one call and reads its answer to the end.
func (r *Runner) send(ctx context.Context, arrival Arrival) (record Record) {
	record = Record{Arrival: arrival, Sent: time.Now()}
	defer func() { record.End = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	call, err := r.compose(ctx, &arrival)
	if err != nil {
		record.Fault = err.Error()
		return record
	}
	answer, err := r.client.Do(call)
	if err != nil {
		record.Fault = err.Error()
		return record
	}
	defer answer.Body.Close()
	record.Status = answer.StatusCode
	record.Run = answer.Header.Get("Quaylead-Run")
	echoed := answer.Header.Get("X-Request-Id")
	record.Crossed = echoed != "" && echoed != arrival.ID
	switch {
	case answer.StatusCode != http.StatusOK:
		record.readRefusal(answer.Body)
	case arrival.Source.Plain:
		record.readPlain(answer.Body)
	default:
		record.readStream(answer.Body)
	}
	return record
}

func (r *Runner) compose(ctx context.Context, arrival *Arrival) (*http.Request, error) {
	url := r.URLs[arrival.Router]
	source := arrival.Source
	path, body := r.Path, fmt.Appendf(nil, "{\"Booking\":%q}", arrival.Key)
	if !source.Plain {
		path, body = "/v1/chat/completions", r.modelBody(arrival)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	call.Header.Set("Authorization", "Bearer "+r.Key(source.Customer))
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("X-Request-Id", arrival.ID)
	if source.Class != "" {
		call.Header.Set("Quaylead-Class", source.Class)
	}
	if arrival.Timeout > 0 {
		call.Header.Set("Quaylead-Timeout", arrival.Timeout.String())
	}
	if arrival.Key != "" {
		call.Header.Set("Idempotency-Key", arrival.Key)
	}
	return call, nil
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

// bytesPerToken is the length of a prompt's token at the stand-in.
const bytesPerToken = 4

// modelBody writes a prompt of the wanted length. The stand-in takes the true
// length of the answer from the metadata, which the router does not read.
func (r *Runner) modelBody(arrival *Arrival) []byte {
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

// readStream reads server-sent events and checks that every token belongs to
// this request and is the next one.
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
			r.Fault = "an event that is no token: " + data
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
		r.Fault = err.Error()
		return
	}
	r.Clean = true
	r.Whole = done && r.Tokens == r.Output && !r.Crossed
}

// plainAnswer is what the stand-in of a plain service answers.
type plainAnswer struct {
	Request string
	Key     string
	Runs    int
}

func (r *Record) readPlain(body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		r.Fault = err.Error()
		return
	}
	r.Clean = true
	var answer plainAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		r.Fault = err.Error()
		return
	}
	r.Runs = answer.Runs
	r.First = time.Now()
	if r.Key == "" {
		r.Crossed = r.Crossed || answer.Request != r.ID
	} else {
		r.Crossed = r.Crossed || answer.Key != r.Key
	}
	r.Whole = !r.Crossed
}

type refusalBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (r *Record) readRefusal(body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		r.Fault = err.Error()
		return
	}
	var refusal refusalBody
	if json.Unmarshal(content, &refusal) == nil {
		r.Code = refusal.Error.Code
	}
}
