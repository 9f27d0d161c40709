package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateCopy is an answer that a faulty server sends once more, in the place of the next one due.
type lateCopy struct {
	answer []byte
	status int
}

// server is a stand-in of a plain service's server.
type server struct {
	id, service, zone string
	slots, queue      int
	workTime          time.Duration
	record            *record
	// shedShare is the share of the requests that it sheds although it has room (srv_grey, how shed).
	shedShare atomic.Uint64
	// copyShare is the share of its answers that it sends once more later (garble, how extra late).
	copyShare atomic.Uint64

	listener net.Listener
	places   chan struct{}
	slotFree chan struct{}
	stamps   atomic.Int64

	// observer is told of each request that runs; nil is none.
	observer *observer
	// events is the number of events of each answer; 0 means an answer with a length.
	events int
	// streams is set if each answer is a stream whose events are made one after the other.
	streams bool
	// leaving is closed when the server begins to drain.
	leaving chan struct{}

	mu   sync.Mutex
	seq  int
	runs map[string]int
}

// perMille is the unit of shares.
const perMille = 1000

func drawn(share *atomic.Uint64) bool { return rand.Uint64N(perMille) < share.Load() }

func newServer(id, service, zone string, rec *record) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{id: id, service: service, zone: zone, slots: 6, queue: 24, workTime: 30 * time.Millisecond, record: rec, listener: listener, runs: map[string]int{}, leaving: make(chan struct{})}
	s.places = make(chan struct{}, s.slots+s.queue)
	s.slotFree = make(chan struct{}, s.slots)
	go s.accept()
	return s
}

// heartbeat is the time between two entries of a server in the store.
const heartbeat = 1200 * time.Millisecond

// join writes the server's entry into the store and keeps it there.
func (s *server) join(st *store) {
	s.write(st, "ready")
	go func() {
		for {
			select {
			case <-s.leaving:
				return
			case <-time.After(heartbeat):
				s.write(st, "ready")
			}
		}
	}()
}

func (s *server) write(st *store, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	st.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1",
		"slots": s.slots, "state": state, "cold_left_ms": 0, "seq": s.seq,
	})
}

// leave drains the server: it says so, serves on for drain_ms and a little longer, and ends.
func (s *server) leave(st *store) {
	close(s.leaving)
	s.write(st, "draining")
	go func() {
		time.Sleep(3500 * time.Millisecond)
		st.remove("servers", s.id)
		s.listener.Close()
	}()
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve serves one connection, one request at a time.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late *lateCopy
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Quaylead-Request-Id")
		if late != nil {
			s.record.line("server %s sends the answer %d once more, late, in the place of the answer to %s", s.id, late.status, id)
			if _, err := conn.Write(late.answer); err != nil {
				return
			}
			late = nil
		}
		if s.streams {
			if !s.stream(conn, request, id) {
				return
			}
			continue
		}
		answer, status := s.answer(request, id)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if drawn(&s.copyShare) {
			late = &lateCopy{answer: answer, status: status}
		}
	}
}

// answer runs or declines a request. The answers are those that `fleetbench wire` prints.
func (s *server) answer(request *http.Request, id string) (answer []byte, status int) {
	if expected := request.Header.Get("X-Quaylead-Expect-Instance"); expected != "" && expected != s.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nX-Quaylead-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id), http.StatusMisdirectedRequest
	}
	shed := []byte("HTTP/1.1 503 Service Unavailable\r\nX-Quaylead-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	if drawn(&s.shedShare) {
		return shed, http.StatusServiceUnavailable
	}
	select {
	case s.places <- struct{}{}:
	default:
		return shed, http.StatusServiceUnavailable
	}
	defer func() { <-s.places }()
	s.slotFree <- struct{}{}
	defer func() { <-s.slotFree }()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if s.observer == nil {
		s.record.line("server %s runs %s", s.id, id)
	} else {
		s.record.line("server %s runs %s, %s", s.id, id, s.observer.observe(request))
	}
	time.Sleep(s.workTime/2 + rand.N(s.workTime))
	if s.events > 0 {
		return s.eventStream(id), http.StatusOK
	}
	body := "done " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Quaylead-Request-Id: %s\r\nX-Quaylead-Response-Stamp: %s.%d\r\nContent-Length: %d\r\n\r\n%s", id, s.id, s.stamps.Add(1), len(body), body), http.StatusOK
}

// runCount returns how often the server ran a request.
func (s *server) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// eventStream returns the answer of a model server.
func (s *server) eventStream(id string) []byte {
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Quaylead-Request-Id: %s\r\nX-Quaylead-Response-Stamp: %s.%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, s.id, s.stamps.Add(1))
	for i := range s.events {
		event := fmt.Sprintf("id: %d\ndata: token\n\n", i+1)
		answer = fmt.Appendf(answer, "%x\r\n%s\r\n", len(event), event)
	}
	return append(answer, "0\r\n\r\n"...)
}
