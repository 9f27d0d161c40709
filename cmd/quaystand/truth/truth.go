// Package truth keeps the ground truth of a stand-in: what it ran and when, so
// that no measure rests on what a router says of itself.
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
	// Refused: the request was not run, and the caller was told so.
	Refused Kind = "refused"
	// Started: the request got a slot; from here on it counts as run.
	Started Kind = "started"
	// First: the first token was written.
	First Kind = "first"
	// Finished: the whole answer was written.
	Finished Kind = "finished"
	// Cancelled: the caller went away before the end.
	Cancelled Kind = "cancelled"
	// Leaving and Joined: the endpoint takes no new work, or takes it again.
	Leaving Kind = "leaving"
	Joined  Kind = "joined"
	// Accepted: settings were accepted by the platform.
	Accepted Kind = "accepted"
)

// Event is one line of a log.
type Event struct {
	At       time.Time
	Endpoint string
	Kind     Kind
	Request  string `json:",omitempty"`
	Customer string `json:",omitempty"`
	// Key is the idempotency key.
	Key      string `json:",omitempty"`
	Priority int    `json:",omitempty"`
	// Input and Output are tokens; Output is what was written so far.
	Input  int `json:",omitempty"`
	Output int `json:",omitempty"`
	// Revision is that of accepted settings.
	Revision uint64 `json:",omitempty"`
}

// Log appends events to a file, each written through at once, so that a killed
// process loses none.
type Log struct {
	// Endpoint is put into every event.
	Endpoint string

	mu   sync.Mutex
	file *os.File
}

// Open opens the file of a log; an empty path keeps none.
func (l *Log) Open(path string) (err error) {
	defer func() { err = trace.Wrap(err, "opening the log of ground truth") }()
	if path == "" {
		return nil
	}
	l.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

// Add writes an event with the time of now.
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

// Read reads a log. An unfinished last line, left by a kill, is skipped.
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
