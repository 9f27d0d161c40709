package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWithdrawnRequestKeepsConnections guards against idle connections to a sound endpoint being closed
// because one request to it was not needed any more.
func TestWithdrawnRequestKeepsConnections(t *testing.T) {
	for _, end := range []struct {
		cause error
		kept  int
	}{
		{errors.New("the deadline passed"), 0},
		{fmt.Errorf("another endpoint answered: %w", ErrWithdrawn), 2},
	} {
		Convey("Idle connections after a request that ended because "+end.cause.Error(), t, func() {
			s := serve(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() })
			c := s.client()
			var opened []*conn
			for range 3 {
				open, err := c.dial()
				So(err, ShouldBeNil)
				opened = append(opened, open)
			}
			for _, open := range opened {
				c.release(open)
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			call := callWith(nil)
			call.Sending = func() error {
				cancel(end.cause)
				return nil
			}
			_, err := c.Do(ctx, call)
			So(errors.Is(err, end.cause), ShouldBeTrue)
			So(c.idle, ShouldHaveLength, end.kept)
			for _, open := range opened {
				open.Close()
			}
			s.close()
		})
	}
}
