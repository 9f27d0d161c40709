package answer_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/answer"
)

// testTimeout bounds one call of the tests; machines may be busy.
const testTimeout = 20 * time.Second

// exchange lets the library's client make a call for each of the answers, and returns their statuses up to
// the first error.
func exchange(t *testing.T, answers ...string) (statuses []int, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group := errgroup.Group{}
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		buffer := make([]byte, 4096)
		for _, sent := range answers {
			if _, err := conn.Read(buffer); err != nil {
				return err
			}
			if _, err := io.WriteString(conn, sent); err != nil {
				return err
			}
		}
		return nil
	})
	defer func() {
		listener.Close()
		_ = group.Wait()
	}()
	client := &fasthttp.HostClient{
		Addr:                      listener.Addr().String(),
		MaxIdemponentCallAttempts: 1,
		Dial:                      func(address string) (net.Conn, error) { return answer.Dial(address, testTimeout) },
	}
	defer client.CloseIdleConnections()
	for range answers {
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("http://" + client.Addr + "/")
		if err := client.DoTimeout(request, response, testTimeout); err != nil {
			return statuses, err
		}
		So(string(response.Body()), ShouldEqual, body)
		statuses = append(statuses, response.StatusCode())
	}
	return statuses, nil
}

// TestConnOfClient guards against answers that the library's client believes although their head is malformed.
func TestConnOfClient(t *testing.T) {
	const whole = okLine + length + "\r\n" + body
	Convey("Answers on one connection are read, also behind interim ones", t, func() {
		statuses, err := exchange(t, whole, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+whole, whole)
		So(err, ShouldBeNil)
		So(statuses, ShouldResemble, []int{200, 200, 200})
	})
	Convey("A malformed one fails, also the second one and one behind an interim one", t, func() {
		const broken = "HTTP/1.1 000 OK\r\n" + length + "\r\n" + body
		for _, answers := range [][]string{{broken}, {whole, broken}, {"HTTP/1.1 100 Continue\r\n\r\n" + broken}} {
			statuses, err := exchange(t, answers...)
			var malformed *answer.HeadError
			So(errors.As(err, &malformed), ShouldBeTrue)
			So(statuses, ShouldHaveLength, len(answers)-1)
		}
	})
}
