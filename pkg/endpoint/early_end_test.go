package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// earlyEnd is how a connection goes on after an answer that was sent before its request was read.
type earlyEnd int

const (
	// resets sends a reset, and abandons closes the connection, whose unread bytes make the kernel send one.
	resets earlyEnd = iota
	abandons
	// readsOn ends the answer and then reads the request. drains reads the request first.
	readsOn
	drains
)

// longBody exceeds what the kernel takes of a request that is not read.
var longBody = []byte(strings.Repeat("x", 8<<20))

// answerEarly answers a request of which only the head was read.
func answerEarly(conn net.Conn, reader *bufio.Reader, sent string, pause time.Duration, end earlyEnd) error {
	tcp := conn.(*net.TCPConn)
	header := &fasthttp.RequestHeader{}
	if err := header.Read(reader); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, sent); err != nil {
		return err
	}
	time.Sleep(pause)
	switch end {
	case resets:
		return tcp.SetLinger(0)
	case readsOn:
		if err := tcp.CloseWrite(); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, reader)
		return err
	case drains:
		_, err := io.CopyN(io.Discard, reader, int64(header.ContentLength()))
		return err
	default:
		// Without unread bytes the connection would end in order.
		for range 1000 {
			if QueuesOf(tcp).Unread > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		return nil
	}
}

// exchangeEarly makes a call that answerEarly answers, and reads the body.
func exchangeEarly(t *testing.T, sent string, pause time.Duration, end earlyEnd) (body string, err error) {
	s := serve(t, func(conn net.Conn, reader *bufio.Reader) { _ = answerEarly(conn, reader, sent, pause, end) })
	defer s.close()
	client := s.client()
	defer client.Close()
	response, err := client.Do(context.Background(), callWith(longBody))
	if err != nil {
		return "", err
	}
	defer response.Close()
	read, err := response.ReadAll(1000)
	return string(read), err
}

// TestEarlyEnds guards against answers that end because the request's connection was reset, and are taken for
// complete: whichever of the request's writer and the answer's reader comes first gets the error, and the other
// one an orderly end.
func TestEarlyEnds(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\n\r\nhel"
	for name, end := range map[string]earlyEnd{"is reset": resets, "is closed with bytes unread": abandons} {
		Convey("A body without framing is cut whose connection "+name+" while the request is written", t, func() {
			for range 20 {
				_, err := exchangeEarly(t, begun, 0, end)
				So(err, ShouldNotBeNil)
				So(errors.Is(err, io.EOF), ShouldBeFalse)
			}
		})
	}
	for name, end := range map[string]earlyEnd{"reads the request afterwards": readsOn, "has read the request before": drains} {
		Convey("A body without framing is complete whose server ends it in order and "+name, t, func() {
			for range 20 {
				body, err := exchangeEarly(t, begun, 0, end)
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "hel")
			}
		})
	}
}

// TestDrawnEarlyEnds guards against the same for any framing, wherever the answer ends.
func TestDrawnEarlyEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		framing := rapid.SampledFrom([]string{"\r\n", "Content-Length: 5\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\n"}).Draw(rt, "framing")
		whole := framing + "hello"
		if strings.Contains(framing, "chunked") {
			whole += "\r\n0\r\n\r\n"
		}
		sent := rapid.IntRange(len(framing), len(whole)).Draw(rt, "sent")
		pause := time.Duration(rapid.IntRange(0, 4).Draw(rt, "pause")) * time.Millisecond
		end := rapid.SampledFrom([]earlyEnd{resets, abandons, readsOn, drains}).Draw(rt, "end")
		inOrder := end == readsOn || end == drains
		isFramed := framing != "\r\n"
		body, err := exchangeEarly(t, "HTTP/1.1 200 OK\r\n"+whole[:sent], pause, end)
		switch {
		case err == nil && isFramed && sent < len(whole), err == nil && !isFramed && !inOrder:
			rt.Fatalf("complete with %q", body)
		case err != nil && inOrder && (!isFramed || sent == len(whole)):
			rt.Fatalf("cut: %v", err)
		}
	})
}
