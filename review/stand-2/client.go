package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// caller is a client's connection that is kept for many requests.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// result is what a client has seen of one request.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// framed is set if the answer said where it ends.
	framed bool
	// err is nil if the answer ended in order.
	err error
	// sent and ended are when it was sent and when its answer ended.
	sent, ended time.Time
}

func (r *result) String() string {
	return fmt.Sprintf("id=%s status=%d stamp=%q framed=%v bytes=%d err=%v", r.id, r.status, r.header.Get("X-Quaylead-Response-Stamp"), r.framed, len(r.body), r.err)
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads its answer; head has the lines of the request without the last, empty one.
func (c *caller) do(id, head, body string, timeout time.Duration) (r *result) {
	r = &result{id: id, header: http.Header{}, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	if c.conn == nil {
		if c.conn, r.err = net.DialTimeout("tcp", c.address, time.Second); r.err != nil {
			c.conn = nil
			return r
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, r.err = io.WriteString(c.conn, head+"\r\n"+body); r.err != nil {
		c.close()
		return r
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.status, r.header = response.StatusCode, response.Header
	r.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	content, err := io.ReadAll(response.Body)
	r.body, r.err = string(content), err
	if err != nil || response.Close || !r.framed {
		c.close()
	}
	return r
}

// booking is the head of a request that must run at most once.
func booking(id, key, host, path string, deadline, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Quaylead-Request-Id: %s\r\nX-Quaylead-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", path, host, id, deadline, key, length)
}

// streaming is the head of a request for a stream.
func streaming(id, key, host, path string, deadline, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Quaylead-Request-Id: %s\r\nX-Quaylead-Model: m\r\nX-Quaylead-Token-Count: 500,200\r\nX-Quaylead-Prompt-Prefix: 5c1e07a2:300,%s:200\r\nX-Quaylead-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", path, host, id, id[len(id)-8:], deadline, key, length)
}
