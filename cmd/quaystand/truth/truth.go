// Package truth records the ground truth of a stand-in, that is, what it ran and when, so
// that no measurement depends on what a router reports about itself.
package truth

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Kind is what happened to a request at a stand-in.
type Kind string

// The kinds of events.
const (
	// Received: the request was read.
	Received Kind = "received"
	// Refused: the request was not run, and the response stated it.
	Refused Kind = "refused"
	// Started: the request got a slot; from here on it counts as run.
	Started Kind = "started"
	// First: the first token was written.
	First Kind = "first"
	// Finished: the complete response was written.
	Finished Kind = "finished"
	// Cancelled: the caller disconnected before the end.
	Cancelled Kind = "cancelled"
	// Leaving and Joined: the endpoint stops accepting new work, or accepts it again.
	Leaving Kind = "leaving"
	Joined  Kind = "joined"
	// Accepted: settings were accepted by the platform.
	Accepted Kind = "accepted"
)

// Event is one line of the log.
type Event struct {
	At       time.Time
	Endpoint string
	Kind     Kind
	Request  string `json:",omitempty"`
	Customer string `json:",omitempty"`
	// Key is the idempotency key.
	Key      string `json:",omitempty"`
	Priority int    `json:",omitempty"`
	// Input and Output are numbers of tokens. Output counts those written so far.
	Input  int `json:",omitempty"`
	Output int `json:",omitempty"`
	// Revision is the revision of accepted settings.
	Revision uint64 `json:",omitempty"`
}

// Log appends events to a file. Each is written without a buffer, so that a killed process loses
// none.
type Log struct {
	// Endpoint is the name of the stand-in, which is written in every event.
	Endpoint string

	mu   sync.Mutex
	file *os.File
}

// Open opens the file of the log. With an empty path the log records nothing.
func (l *Log) Open(path string) (err error) {
	defer func() { err = trace.Wrap(err, "opening the log of ground truth") }()
	if path == "" {
		return nil
	}
	l.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

// Add writes an event with the current time.
func (l *Log) Add(event Event) {
	if l.file == nil {
		return
	}
	event.At = time.Now()
	event.Endpoint = l.Endpoint
	line, err := json.Marshal(event)
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}

// Read reads a log. Lines that are not valid JSON are skipped, as a killed process may leave an
// incomplete last line.
func Read(path string) (events []Event, err error) {
	defer func() { err = trace.Wrap(err, "reading ground truth from %s", path) }()
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var event Event
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		events = append(events, event)
	}
	return events, lines.Err()
}
