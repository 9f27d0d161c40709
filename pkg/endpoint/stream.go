package endpoint

import (
	"bytes"
	"encoding/json"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// EventStream reads an engine's stream of server-sent events, event by event.
// It counts tokens, takes the usage event out unless the caller asked for it,
// and takes for whole only a stream that ends with its end mark.
type EventStream struct {
	// Source is the body of the engine's answer.
	Source io.Reader
	// KeepUsage passes the usage event on.
	KeepUsage bool
	// Count is called with the number of tokens that each Read passes on.
	Count func(tokens int)

	// Usage is the cost the engine stated, and Known whether it did.
	Usage      Usage
	UsageKnown bool

	// buffer holds what was read: buffer[:ready] may be passed on, the rest is
	// the beginning of an event.
	buffer []byte
	ready  int
	done   bool
	err    error
}

var (
	eventEnd   = []byte("\n\n")
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Prime waits until there is a first event to pass on. An error before that
// leaves nothing delivered, so the request may go to another endpoint.
func (s *EventStream) Prime() error {
	for s.ready == 0 && s.err == nil {
		s.fill()
	}
	if s.ready > 0 {
		return nil
	}
	return s.err
}

// Read passes on whole events as they come. It returns io.EOF only after the
// end mark, io.ErrUnexpectedEOF when the stream ended without it.
func (s *EventStream) Read(p []byte) (int, error) {
	for s.ready == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.fill()
	}
	n := copy(p, s.buffer[:s.ready])
	rest := copy(s.buffer, s.buffer[n:])
	s.buffer = s.buffer[:rest]
	s.ready -= n
	return n, nil
}

// fill reads once from the source and looks at the events that became whole.
func (s *EventStream) fill() {
	if len(s.buffer) > maxEventBytes {
		s.err = &TooLargeError{Limit: maxEventBytes}
		return
	}
	const minSpace = 4096
	if cap(s.buffer)-len(s.buffer) < minSpace {
		grown := make([]byte, len(s.buffer), 2*cap(s.buffer)+minSpace)
		copy(grown, s.buffer)
		s.buffer = grown
	}
	n, err := s.Source.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if tokens := s.scan(); tokens > 0 && s.Count != nil {
		s.Count(tokens)
	}
	if err == nil {
		return
	}
	s.err = err
	if err == io.EOF && (!s.done || s.ready < len(s.buffer)) {
		s.err = io.ErrUnexpectedEOF
	}
}

// scan looks at the events that are whole and returns their tokens.
func (s *EventStream) scan() (tokens int) {
	for {
		length := bytes.Index(s.buffer[s.ready:], eventEnd)
		if length < 0 {
			return tokens
		}
		length += len(eventEnd)
		event := s.buffer[s.ready : s.ready+length]
		keep, isToken := s.handleEvent(event)
		if isToken {
			tokens++
		}
		if keep {
			s.ready += length
			continue
		}
		rest := copy(event, s.buffer[s.ready+length:])
		s.buffer = s.buffer[:s.ready+rest]
	}
}

func (s *EventStream) handleEvent(event []byte) (keep, isToken bool) {
	data, found := bytes.CutPrefix(event, dataPrefix)
	if !found {
		return true, false
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
		s.done = true
		return true, false
	}
	if !hasUsage(data) {
		return true, true
	}
	return s.handleUsage(data)
}

// lookUsage reads an event with usage. Engines send it alone, without choices,
// or with the last token.
func (s *EventStream) handleUsage(data []byte) (keep, isToken bool) {
	var last struct {
		Usage   *Usage            `json:"usage"`
		Choices []json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(data, &last) != nil || last.Usage == nil {
		return true, true
	}
	s.Usage = *last.Usage
	s.UsageKnown = true
	if len(last.Choices) > 0 {
		return true, true
	}
	return s.KeepUsage, false
}
