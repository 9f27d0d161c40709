// Package answer reads the heads of HTTP answers. Unlike the HTTP library it rejects heads that are malformed,
// which recipients parse in different ways: such an answer must reach no caller.
package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// HeadError reports bytes that are no head of an answer.
type HeadError struct {
	Reason string
	// Line is what was read of the line at fault, up to maxQuotedBytes.
	Line string
}

// maxQuotedBytes bounds how much of a line goes into an error.
const maxQuotedBytes = 80

// Error returns a message with the reason and the line.
func (e *HeadError) Error() string {
	return "the head of the answer has " + e.Reason + ": " + strconv.Quote(e.Line)
}

func newHeadError(reason string, line []byte) error {
	return &HeadError{Reason: reason, Line: string(line[:min(len(line), maxQuotedBytes)])}
}

// IsInterim reports whether an answer with this status precedes the one to the request.
func IsInterim(status int) bool { return status < fasthttp.StatusOK }

// ReadHead reads the head of one answer, which has to fit into the reader's buffer. It returns a *HeadError
// as soon as a line is malformed, and io.EOF only if nothing was received.
func ReadHead(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	length, _, err := awaitHead(reader)
	if err != nil {
		return err
	}
	buffered := reader.Buffered()
	if err := header.Read(reader); err != nil {
		return err
	}
	if buffered-reader.Buffered() != length {
		// The body would begin elsewhere than was checked.
		return newHeadError("an uncertain end", nil)
	}
	return nil
}

// awaitHead waits until the reader has buffered a whole head, checks it, and returns its length and status.
// It consumes nothing.
func awaitHead(reader *bufio.Reader) (length, status int, err error) {
	if err := checkStart(reader); err != nil {
		return 0, 0, err
	}
	line, err := peekLine(reader, 0)
	if err != nil {
		return 0, 0, err
	}
	if status, err = parseStatusLine(line); err != nil {
		return 0, 0, err
	}
	mayBeCoded := bytes.HasPrefix(line, []byte(codedVersion))
	for {
		length += len(line)
		if line, err = peekLine(reader, length); err != nil {
			return 0, 0, err
		}
		if string(line) == lineEnd {
			return length + len(line), status, nil
		}
		if err := checkField(line); err != nil {
			return 0, 0, err
		}
		if !mayBeCoded && hasName(line, fasthttp.HeaderTransferEncoding) {
			return 0, 0, newHeadError("a transfer coding without HTTP/1.1", line)
		}
	}
}

// codedVersion begins the answers that may have a transfer coding (RFC 9112, section 6.1). In others the library
// ignores it, and the body would be the chunks as they stand.
const codedVersion = "HTTP/1.1 "

// lineEnd ends a line. Where a line ends otherwise, recipients differ in what they read.
const lineEnd = "\r\n"

const versionPrefix = "HTTP/1."

// checkStart checks that the data begins like an answer, so that bytes without line ends fail at once.
func checkStart(reader *bufio.Reader) error {
	got, err := reader.Peek(len(versionPrefix))
	switch {
	case string(got) == versionPrefix[:len(got)]:
		return asUnexpectedEOF(err, len(got))
	default:
		return newHeadError("no HTTP version", got)
	}
}

// peekLine returns the line at an offset of the unread data, with its end.
func peekLine(reader *bufio.Reader, offset int) (line []byte, err error) {
	for {
		unread, _ := reader.Peek(reader.Buffered())
		if end := bytes.IndexByte(unread[offset:], '\n'); end >= 0 {
			return unread[offset : offset+end+1], nil
		}
		if _, err := reader.Peek(len(unread) + 1); err != nil {
			return nil, asUnexpectedEOF(err, len(unread))
		}
	}
}

func asUnexpectedEOF(err error, received int) error {
	if received > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

const (
	statusDigits = 3
	// minStatus and maxStatus bound the status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the status of a status line (RFC 9112, section 4). The phrase may be missing.
func parseStatusLine(line []byte) (status int, err error) {
	content, ended := bytes.CutSuffix(line, []byte(lineEnd))
	_, rest, _ := bytes.Cut(content, []byte{' '})
	rest = bytes.TrimLeft(rest, " ")
	code, phrase, _ := bytes.Cut(rest, []byte{' '})
	if len(code) != statusDigits {
		return 0, newHeadError("no status of three digits", line)
	}
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0, newHeadError("no status of three digits", line)
		}
		status = status*10 + int(digit-'0')
	}
	switch {
	case !ended:
		return 0, newHeadError("a line without CR LF", line)
	case status < minStatus || status > maxStatus:
		return 0, newHeadError("a status outside 100 to 599", line)
	case status == fasthttp.StatusSwitchingProtocols:
		return 0, newHeadError("a switch of protocols that nobody requested", line)
	case bytes.ContainsFunc(phrase, isControl):
		return 0, newHeadError("a control byte in its status line", line)
	}
	return status, nil
}

// isControl reports whether a character is a control byte other than the tab (RFC 9112, section 4).
func isControl(char rune) bool { return (char < ' ' && char != '\t') || char == 0x7f }

// checkField checks the name and the end of a field line (RFC 9112, section 5); the library checks the value. A
// router may remove a blank before the colon, and unfold lines that begin with one. Both are rejected, because
// recipients differ in which field such a line is, and so in where the body ends.
func checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte{':'})
	switch {
	case !bytes.HasSuffix(line, []byte(lineEnd)):
		return newHeadError("a line without CR LF", line)
	case !found || !isToken(name):
		return newHeadError("a field without a valid name", line)
	}
	return nil
}

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		if !isTokenByte(b) {
			return false
		}
	}
	return len(name) > 0
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

// hasName reports whether a field line has a name, in any case.
func hasName(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(string(line[:len(name)]), name)
}
