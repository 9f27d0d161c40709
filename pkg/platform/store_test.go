package platform_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/answer"
	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/settings"
)

// TestBrokenStatusLinesAreNoSuccess guards against writes that are taken for done because of an answer whose
// status is none.
func TestBrokenStatusLinesAreNoSuccess(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 010 OK", "HTTP/1.1 200 O\x01K"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := errgroup.Group{}
		server.Go(func() error {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			defer conn.Close()
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				return err
			}
			_, err = io.WriteString(conn, line+"\r\nContent-Length: 0\r\n\r\n")
			return err
		})
		config := settings.DefaultBox().Platform
		config.Address = listener.Addr().String()
		config.Timeout = settings.Duration{Duration: 20 * time.Second}
		store := &platform.Store{Settings: config}
		Convey("A write fails that is answered with "+line, t, func() {
			_, err := store.Put("table", "key", []byte("{}"), platform.Any{})
			var unavailable *platform.UnavailableError
			So(errors.As(err, &unavailable), ShouldBeTrue)
			var malformed *answer.HeadError
			So(errors.As(err, &malformed), ShouldBeTrue)
		})
		listener.Close()
		if err := server.Wait(); err != nil {
			t.Error(err)
		}
	}
}
