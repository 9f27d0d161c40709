package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/interval"
)

const (
	// smallAnswerBytes is the size of a buffer that is used without waiting for room. Most answers
	// fit, and the customer had room when the request came.
	smallAnswerBytes = 16 << 10
	// firstAnswerBytes is the first buffer for an answer of unknown size.
	firstAnswerBytes = 4 << 10
	// roomCheckInterval is the time between two attempts to reserve memory for an answer.
	roomCheckInterval = 20 * time.Millisecond
)

// readAnswer reads a response completely into memory that is reserved for the customer. Without
// room it stops reading, so that the endpoint waits, until the request ends. Nothing stays reserved
// for an answer that failed.
func (c *call) readAnswer(response *endpoint.Response) (body []byte, err error) {
	if connOf(c.http) == nil {
		return response.ReadAll(maxResponseBytes)
	}
	defer func() {
		if err != nil {
			c.release(body)
			body = nil
		}
	}()
	body, err = c.grow(nil, c.firstCapacity(response))
	for err == nil {
		if len(body) == cap(body) {
			if body, err = c.grow(body, 2*cap(body)); err != nil {
				return body, err
			}
		}
		var n int
		n, err = response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > maxResponseBytes {
			return body, &endpoint.TooLargeError{Limit: maxResponseBytes}
		}
	}
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	return body, err
}

// firstCapacity returns the size of the buffer for a response: one byte more than its length if that
// is known, so that its end is found without a larger buffer.
func (c *call) firstCapacity(response *endpoint.Response) int {
	length := response.Head.ContentLength()
	if length < 0 || c.http.IsHead() {
		return firstAnswerBytes
	}
	return min(length, maxResponseBytes) + 1
}

// grow returns a larger copy of a buffer, with memory reserved for the customer; the old one is
// released. It waits until there is room or the request ends.
func (c *call) grow(buffer []byte, capacity int) ([]byte, error) {
	if conn := connOf(c.http); conn != nil {
		if err := c.awaitRoom(conn, capacity); err != nil {
			return buffer, err
		}
		c.release(buffer)
	}
	grown := make([]byte, len(buffer), capacity)
	copy(grown, buffer)
	return grown, nil
}

// release returns the memory reserved for a buffer that is not sent to the caller.
func (c *call) release(buffer []byte) {
	if conn := connOf(c.http); conn != nil {
		conn.add(-int64(cap(buffer)))
	}
}

// awaitRoom reserves memory for a buffer.
func (c *call) awaitRoom(conn *callerConn, bytes int) error {
	if bytes <= smallAnswerBytes {
		conn.add(int64(bytes))
		return nil
	}
	if conn.keep(int64(bytes)) {
		return nil
	}
	if !conn.memory.budget.CanFit(int64(bytes)) {
		return &endpoint.TooLargeError{Limit: int(conn.memory.budget.Size / 2)}
	}
	// The endpoint is not at fault for the wait.
	c.hedger.delay(c.remaining())
	for !conn.keep(int64(bytes)) {
		if interval.Wait(c.ctx, roomCheckInterval) != nil {
			return context.Cause(c.ctx)
		}
	}
	return nil
}
