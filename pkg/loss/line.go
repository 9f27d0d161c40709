// Package loss reads boxes' logs and tells which requests were not served as their
// callers wanted, and why.
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
	// Box is where it was written, as far as is known.
	Box  string
	Time time.Time
	// Text is the line as it was found.
	Text string
	// Fields are by name; of a name that is there twice, the first.
	Fields map[string]string
}

// timeField is the first of each line; what stands before it is not the box's.
const timeField = "Time="

var errNoTime = errors.New("the line has no time")

// mostLine bounds the length of a line.
const maxLineBytes = 1 << 20

// Read calls take with each line of a log. It counts the lines that are none.
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

// duration is a field's; 0 where it is none.
func (l *Line) duration(field string) time.Duration {
	length, err := time.ParseDuration(l.Fields[field])
	if err != nil {
		return 0
	}
	return length
}
