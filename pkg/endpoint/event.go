package endpoint

import (
	"bytes"
	"slices"
	"strconv"
)

// lineEnds are the bytes that end a line of an event stream: CR, LF, or both in this order.
const lineEnds = "\r\n"

var blankLine = []byte("\n\n")

// EventLength returns the length of the first block of a stream of server-sent events, up to and
// including the blank line that ends it, or -1 if the data holds no whole block. Blank lines before
// a block belong to it.
func EventLength(data []byte) int {
	start := len(data) - len(bytes.TrimLeft(data, lineEnds))
	// Most streams use LF alone, which is found several times faster.
	if end := bytes.Index(data[start:], blankLine); end >= 0 {
		if bytes.IndexByte(data[start:start+end], '\r') < 0 {
			return start + end + len(blankLine)
		}
	} else if bytes.IndexByte(data[start:], '\r') < 0 {
		return -1
	}
	afterCR := false
	for at := start; ; {
		length := bytes.IndexAny(data[at:], lineEnds)
		if length < 0 {
			return -1
		}
		end := at + length + 1
		endsWithCR := data[end-1] == '\r'
		switch {
		case !endsWithCR:
		case end < len(data) && data[end] == '\n':
			end++
			endsWithCR = false
		case end == len(data) && !afterCR:
			// The LF of this line end may follow.
			return -1
		}
		if length == 0 && at > start {
			return end
		}
		at, afterCR = end, endsWithCR
	}
}

// IsInsideEvent reports whether the data after the last event of a stream is part of another one.
func IsInsideEvent(rest []byte) bool { return len(bytes.TrimLeft(rest, lineEnds)) > 0 }

// BlockKind is what a block of a stream of server-sent events is: the lines up to a blank one.
type BlockKind int

const (
	// BlockEvent is an event: it has data or an ID.
	BlockEvent BlockKind = iota
	// BlockFiller holds comments and other fields that cause no event.
	BlockFiller
	// BlockGarbage is no part of a stream of events.
	BlockGarbage
)

var (
	eventFields  = [][]byte{[]byte("data"), []byte("id")}
	fillerFields = [][]byte{[]byte("event"), []byte("retry"), nil}
)

// KindOf returns the kind of a block. Events may have fields of any name.
func KindOf(block []byte) BlockKind {
	kind := BlockFiller
	for line := range bytes.FieldsFuncSeq(block, func(r rune) bool { return r == '\r' || r == '\n' }) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		isField := func(field []byte) bool { return bytes.Equal(name, field) }
		switch {
		case slices.ContainsFunc(eventFields, isField):
			return BlockEvent
		case !slices.ContainsFunc(fillerFields, isField):
			kind = BlockGarbage
		}
	}
	return kind
}

var eventIDField = []byte("id:")

// EventID returns the ID of an event, the last one if it states several.
func EventID(event []byte) (id string, found bool) {
	for len(event) > 0 {
		line := event
		if end := bytes.IndexAny(event, lineEnds); end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, eventIDField); ok {
			id, found = string(bytes.TrimSpace(value)), true
		}
	}
	return id, found
}

// FollowsID reports whether an event's ID may follow that of the event before. IDs of a stream rise;
// those that are no numbers only have to differ. An empty one is none.
func FollowsID(id, previous string) bool {
	if id == "" {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	before, errBefore := strconv.ParseUint(previous, 10, 64)
	if err != nil || errBefore != nil {
		return id != previous
	}
	return number > before
}

// IsNumber reports whether an event's ID is a number.
func IsNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}
