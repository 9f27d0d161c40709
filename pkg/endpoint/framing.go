package endpoint

import (
	"errors"
	"strconv"
)

// Framing is how the end of a response's body is found (RFC 9112, section 6.3).
type Framing string

const (
	// FramingNone is that of responses without a body: to HEAD, and of status 204 or 304.
	FramingNone Framing = "None"
	// FramingLength and FramingChunked show where the body ends.
	FramingLength  Framing = "Length"
	FramingChunked Framing = "Chunked"
	// FramingClose is that of a body that ends with its connection. Such a body looks complete even
	// if its endpoint crashed.
	FramingClose Framing = "Close"
)

// ErrIncomplete reports a body that ends where its framing says, but whose content is incomplete. Its
// endpoint has not crashed: it sent the end of the body.
var ErrIncomplete = errors.New("the endpoint ended the body in the middle of its content")

// BodyError reports that a response's body broke off.
type BodyError struct {
	Framing Framing
	// Bytes is the number of bytes of the body that were read before.
	Bytes int
	Err   error
}

// Error returns a message with the framing and the cause.
func (e *BodyError) Error() string {
	return "body with framing " + string(e.Framing) + " broke off after " + strconv.Itoa(e.Bytes) + " bytes: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }
