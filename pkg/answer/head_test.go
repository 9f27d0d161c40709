package answer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/answer"
)

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	length = "Content-Length: 5\r\n"
	body   = "hello"
)

// readHead reads a head that is followed by a body, and returns what remains unread.
func readHead(source io.Reader) (head *fasthttp.ResponseHeader, rest string, err error) {
	reader := bufio.NewReader(source)
	head = &fasthttp.ResponseHeader{}
	head.DisableNormalizing()
	if err = answer.ReadHead(reader, head); err != nil {
		return head, "", err
	}
	remaining, err := io.ReadAll(reader)
	return head, string(remaining), err
}

// shouldBeRead checks that a head is read, however it arrives, and nothing of the body.
func shouldBeRead(sent string, status int) {
	for _, source := range []io.Reader{strings.NewReader(sent + body), iotest.OneByteReader(strings.NewReader(sent + body))} {
		head, rest, err := readHead(source)
		So(err, ShouldBeNil)
		So(head.StatusCode(), ShouldEqual, status)
		So(rest, ShouldEqual, body)
	}
}

// shouldBeMalformed checks that a head is refused, also before its end was received.
func shouldBeMalformed(sent string) {
	for _, source := range []io.Reader{strings.NewReader(sent + body), iotest.OneByteReader(strings.NewReader(sent + body))} {
		_, _, err := readHead(source)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, io.EOF), ShouldBeFalse)
	}
}

var brokenStatusLines = []string{
	"HTTP/1.1 000", "HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1  000 OK",
	"HTTP/1.1 001 OK", "HTTP/1.1 010 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
	"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2x0 OK",
	"HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1200 OK",
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK",
	"HTTP/1.1 101 Switching Protocols",
	"HTTP/2 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "ICY 200 OK", "garbage garbage",
}

// TestStatusLines guards against answers that are taken for successes, or passed on, although their status is
// none.
func TestStatusLines(t *testing.T) {
	for _, line := range brokenStatusLines {
		Convey(fmt.Sprintf("A head that begins with %q is malformed", line), t, func() {
			shouldBeMalformed(line + "\r\n" + length + "\r\n")
		})
	}
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200,
		"HTTP/1.1 200 All \tright \xc3\xa4": 200, "HTTP/1.1  200 OK": 200,
		"HTTP/1.1 100 Continue": 100, "HTTP/1.1 103 Early Hints": 103, "HTTP/1.1 299 Own": 299, "HTTP/1.1 599 Own": 599,
	} {
		Convey(fmt.Sprintf("A head that begins with %q is read", line), t, func() {
			shouldBeRead(line+"\r\n"+length+"\r\n", status)
		})
	}
}

// TestCutHeads guards against a head that is read although a part of it is missing.
func TestCutHeads(t *testing.T) {
	const head = okLine + "X-Own: a\r\n" + length + "\r\n"
	Convey("A head that ends early is an unexpected end, and no bytes are the end", t, func() {
		for sent := range len(head) {
			_, _, err := readHead(strings.NewReader(head[:sent]))
			if sent == 0 {
				So(err, ShouldEqual, io.EOF)
				continue
			}
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
		}
	})
	Convey("One that is longer than the buffer fails", t, func() {
		_, _, err := readHead(strings.NewReader(okLine + "X-Own: " + strings.Repeat("a", 1<<16) + "\r\n\r\n"))
		So(err, ShouldEqual, bufio.ErrBufferFull)
	})
}

// brokenLines are lines of a head that are no field.
var brokenLines = []string{
	"X Own: 1\r\n", "X-Own : 1\r\n", "X-Own\t: 1\r\n", " X-Own: 1\r\n", "\tX-Own: 1\r\n", ": 1\r\n", " : 1\r\n", "X-Own\r\n", " \r\n",
	"X\x00Own: 1\r\n", "X\x01Own: 1\r\n", "X\tOwn: 1\r\n", "X\nOwn: 1\r\n", "X\rOwn: 1\r\n", "X\x7fOwn: 1\r\n", "\nX-Own: 1\r\n", "\rX-Own: 1\r\n",
	"X\"Own: 1\r\n", "X(Own): 1\r\n", "X/Own: 1\r\n", "X\xc3\xa4: 1\r\n", "X-Own: 1\n", "X-Own: 1\r\r\n",
	"X-Own: a\x00\r\n", "X-Own: a\x01\r\n", "X-Own: a\rb\r\n", "X-Own: a\x7f\r\n",
	"Content Length: 5\r\n", "Content-Length : 5\r\n", " Content-Length: 5\r\n", "\nContent-Length: 5\r\n",
	"Transfer Encoding: chunked\r\n", "Transfer-Encoding : chunked\r\n", "\tTransfer-Encoding: chunked\r\n", "\nTransfer-Encoding: chunked\r\n",
	"Connection : close\r\n", "Content-Type : text/event-stream\r\n", "Set-Cookie : a=b\r\n", "Server : a\r\n",
}

// TestFieldNames guards against answers of which a line of the head is passed on, folded into another one or
// taken for the body, because the name of its field is none.
func TestFieldNames(t *testing.T) {
	for _, line := range brokenLines {
		Convey(fmt.Sprintf("A head with the line %q is malformed, wherever it stands", line), t, func() {
			shouldBeMalformed(okLine + line + "X-Other: 2\r\n\r\n")
			shouldBeMalformed(okLine + "X-Other: 2\r\n" + line + "\r\n")
			shouldBeMalformed(okLine + "X-Other: 2\r\n" + line + "X-More: 3\r\n\r\n")
		})
	}
	Convey("A head whose end is no empty line by CR LF is malformed", t, func() {
		shouldBeMalformed(okLine + "X-Own: 1\r\n\n")
		shouldBeMalformed("HTTP/1.1 200 OK\n\r\n")
		shouldBeMalformed("HTTP/1.1 200 OK\nX-Own: 1\n\n")
	})
	for _, line := range []string{"X-Own: 1\r\n", "X-Own:1\r\n", "X-Own:\r\n", "X-Own: \t1 \r\n", "x_own.~!#$%&'*+^`|0: \"a\"\tb:c\xc3\xa4\r\n", "X-Own: 1\r\nX-Own: 2\r\n"} {
		Convey(fmt.Sprintf("A head with the line %q is read", line), t, func() {
			shouldBeRead(okLine+line+length+"\r\n", fasthttp.StatusOK)
		})
	}
	Convey("A head without fields is read", t, func() { shouldBeRead(okLine+"\r\n", fasthttp.StatusOK) })
}

// TestTransferCodings guards against chunks that are taken for the body, because the answer's version has none.
func TestTransferCodings(t *testing.T) {
	for _, line := range []string{"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "TRANSFER-ENCODING: gzip\r\n"} {
		Convey("It is malformed unless its version is HTTP/1.1: "+line, t, func() {
			shouldBeMalformed("HTTP/1.0 200 OK\r\n" + line + "\r\n")
			shouldBeMalformed("HTTP/1.0 200 OK\r\n" + length + line + "\r\n")
			shouldBeMalformed("HTTP/1.2 200 OK\r\n" + line + "\r\n")
		})
	}
	Convey("One of HTTP/1.0 is read that has a length or a name that only begins so", t, func() {
		shouldBeRead("HTTP/1.0 200 OK\r\n"+length+"\r\n", fasthttp.StatusOK)
		shouldBeRead("HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\n\r\n", fasthttp.StatusOK)
		shouldBeRead(okLine+"Transfer-Encoding: chunked\r\n\r\n", fasthttp.StatusOK)
	})
}
