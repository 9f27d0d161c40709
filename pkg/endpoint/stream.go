package endpoint

import (
	"bytes"
	"encoding/json"
	"io"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// EventStream reads an engine's stream of server-sent events. It counts tokens, removes the
// usage event unless the caller asked for it, and treats a stream as complete only if it ends
// with the [DONE] event.
type EventStream struct {
	// Source is the body of the engine's response.
	Source io.Reader
	// KeepUsage leaves the usage event in the stream.
	KeepUsage bool
	// Count is called with the number of tokens received, as they are read from Source.
	Count func(tokens int)

	// Usage is the usage that the engine stated, if UsageKnown.
	Usage      Usage
	UsageKnown bool

	// buffer holds the data read so far: buffer[:ready] is complete events that may be
	// returned, the rest is the start of an event.
	buffer []byte
	ready  int
	done   bool
	err    error
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Prime waits until a first event can be read. If it fails, nothing was delivered, so the
// request may be sent to another endpoint.
func (s *EventStream) Prime() error {
	for s.ready == 0 && s.err == nil {
		s.fill()
	}
	if s.ready > 0 {
		return nil
	}
	return s.err
}

// Read returns complete events as they arrive. It returns io.EOF only after the [DONE] event,
// and io.ErrUnexpectedEOF if the stream ended without it.
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

// fill reads once from the source and handles the events that became complete.
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

// scan handles the complete events in the buffer and returns the number of their tokens.
func (s *EventStream) scan() (tokens int) {
	for {
		length := EventLength(s.buffer[s.ready:])
		if length < 0 {
			return tokens
		}
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
	data, found := bytes.CutPrefix(bytes.TrimLeft(event, lineEnds), dataPrefix)
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

// handleUsage reads an event with usage. Engines send usage in an event of its own without
// choices, or with the last token.
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
