// Package loss reads the logs of boxes and reports which requests were not served as
// their callers wanted, and why.
package loss

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a box's log.
type Line struct {
	// Box is the box that wrote the line; empty if it is not known.
	Box  string
	Time time.Time
	// Text is the line from its time on.
	Text string
	// Fields are the fields by name. If a name is repeated, its first value counts.
	Fields map[string]string
}

// timeField is the first field of each line; the box did not write what precedes it.
const timeField = "Time="

var errNoTime = errors.New("the line has no time")

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Read calls handle with each line of a log. It returns the number of malformed lines.
func Read(in io.Reader, box string, handle func(Line)) (malformed int, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		line, err := parse(lines.Text())
		if err != nil {
			malformed++
			continue
		}
		line.Box = box
		handle(line)
	}
	return malformed, lines.Err()
}

func parse(text string) (line Line, err error) {
	start := strings.Index(text, timeField)
	if start < 0 {
		return line, errNoTime
	}
	line = Line{Text: text[start:], Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(line.Text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			if name := string(decoder.Key()); line.Fields[name] == "" {
				line.Fields[name] = string(decoder.Value())
			}
		}
	}
	if decoder.Err() != nil {
		return line, decoder.Err()
	}
	line.Time, err = time.Parse(time.RFC3339Nano, line.Fields["Time"])
	return line, err
}

// duration returns a field as a duration; 0 if it is missing or malformed.
func (l *Line) duration(field string) time.Duration {
	length, err := time.ParseDuration(l.Fields[field])
	if err != nil {
		return 0
	}
	return length
}
