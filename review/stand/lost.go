package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents and eventInterval are the length of each stream and the time between two events.
	streamEvents  = 40
	eventInterval = 100 * time.Millisecond
	// preemptShare is the share of streams, in thousandths, that their server preempts once for
	// preemptTime.
	preemptShare = 60
	preemptTime  = 1800 * time.Millisecond
	// maxGap is the pause after which a client gives a stream up: four times its objective of 800 ms.
	maxGap = 3200 * time.Millisecond
	// streamDeadline is the deadline of the clients and the time-out of the route.
	streamDeadline = 12 * time.Second
	graceTime      = 8 * time.Second
	// engineSlots is the number of requests that one model server runs at once.
	engineSlots = 64
)

// lostConfiguration returns the route of the site qatra-fleet whose streams may be resumed.
func lostConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "camp-plan", "host": "booking.example", "path_prefix": "/plan/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 800, "gap_target_ms": 400, "priority": 1, "service": "quay-llm", "max_attempts": 2, "anonymous": false, "sticky": true, "resumable": true},
		},
		"services": []map[string]any{
			{"name": "quay-llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": 570274, "kv_token_bytes": 163840, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 3, "models": []map[string]any{{"name": "m"}}}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 290000},
		"tenants": tenants,
	}
}

// streamEnd is how a client's stream ended.
type streamEnd struct {
	id               string
	to               *box
	sentAt, endedAt  time.Time
	status, events   int
	complete, gaveUp bool
}

// stream runs a request and writes its events as they are made. It reports whether the connection can
// be used again.
func (s *server) stream(conn net.Conn, request *http.Request, id string) (ok bool) {
	select {
	case s.slotFree <- struct{}{}:
		defer func() { <-s.slotFree }()
	default:
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Quaylead-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	s.record.line("server %s runs %s after event %d", s.id, id, first)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Quaylead-Request-Id: %s\r\nX-Quaylead-Response-Stamp: %s.%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, s.id, s.stamps.Add(1))
	preemptAt := 0
	if first == 0 && rand.IntN(perMille) < preemptShare {
		preemptAt = 5 + rand.IntN(streamEvents/2)
	}
	for i := first + 1; i <= streamEvents; i++ {
		if i == preemptAt {
			s.record.line("server %s preempts %s at event %d for %s", s.id, id, i, preemptTime)
			time.Sleep(preemptTime)
		}
		time.Sleep(eventInterval)
		event := fmt.Sprintf("id: %d\ndata: token\n\n", i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			s.record.line("server %s ends the run of %s at event %d: its connection was closed", s.id, id, i)
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	s.record.line("server %s has run %s to its end", s.id, id)
	return err == nil
}

// sendStream sends one request and reads its answer as a client does.
func sendStream(to *box, id string, rec *record) (end streamEnd) {
	end = streamEnd{id: id, to: to, sentAt: time.Now()}
	defer func() {
		end.endedAt = time.Now()
		rec.line("client: %s by %s: status %d, %d events, complete %v, gave up %v, after %s", id, to.name, end.status, end.events, end.complete, end.gaveUp, end.endedAt.Sub(end.sentAt).Round(time.Millisecond))
	}()
	conn, err := net.DialTimeout("tcp", to.front(), time.Second)
	if err != nil {
		return end
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /plan/1 HTTP/1.1\r\nHost: booking.example\r\nX-Quaylead-Request-Id: %s\r\nX-Quaylead-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nX-Quaylead-Model: m\r\nX-Quaylead-Token-Count: 760,120\r\nX-Quaylead-Prompt-Prefix: 5c1e07a2:500,%s:260\r\nContent-Length: 0\r\n\r\n", id, streamDeadline.Milliseconds(), ownKey, id[1:])
	conn.SetReadDeadline(time.Now().Add(maxGap))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		end.gaveUp = isTimeout(err)
		return end
	}
	end.status = response.StatusCode
	lines := bufio.NewReader(response.Body)
	for {
		conn.SetReadDeadline(time.Now().Add(maxGap))
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			end.events++
		}
		if err != nil {
			end.complete = err == io.EOF
			end.gaveUp = isTimeout(err)
			return end
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// runLost plays the planned stop of one box while the model servers are full.
func runLost(dir string, rec *record, trouble bool) (broken bool) {
	st := newStore(4 * time.Millisecond)
	st.put("op", "config", lostConfiguration())
	for i, zone := range zones {
		s := newServer(fmt.Sprintf("i-%08x", 0x1b40aa10+i), "quay-llm", zone, rec)
		s.slots, s.streams = engineSlots, true
		s.slotFree = make(chan struct{}, engineSlots)
		s.join(st)
	}
	var boxes []*box
	for _, zone := range zones {
		b := newBox("front-"+zone+"-1", zone, dir)
		b.start(st.address(), true)
		boxes = append(boxes, b)
	}
	awaitReady(boxes)
	rec.line("%d boxes are ready", len(boxes))
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var ends []streamEnd
	var group sync.WaitGroup
	stopped, sent := 0, 0
	stopAt := map[*box]time.Time{}
	began := time.Now()
	for time.Since(began) < 45*time.Second {
		// One box after the other gets SIGTERM, and starts again when it has ended.
		if trouble && stopped < len(boxes) && time.Since(began) > time.Duration(8+12*stopped)*time.Second {
			b := boxes[stopped]
			stopAt[b] = time.Now()
			rec.line("SIGTERM to %s", b.name)
			b.cmd.Process.Signal(syscall.SIGTERM)
			group.Go(func() {
				select {
				case <-b.done:
				case <-time.After(graceTime):
					b.kill()
				}
				b.start(st.address(), false)
			})
			stopped++
		}
		to := boxes[sent%len(boxes)]
		sent++
		id := fmt.Sprintf("r%08x", sent)
		// A balancer sends a box nothing new two seconds after it is not ready any more.
		if at, isStopped := stopAt[to]; !isStopped || time.Since(at) < 2*time.Second || time.Since(at) > 11*time.Second {
			group.Go(func() {
				end := sendStream(to, id, rec)
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, end)
			})
		}
		time.Sleep(18 * time.Millisecond)
	}
	group.Wait()
	return judgeStreams(ends, stopAt, rec)
}

// judgeStreams reports whether a box that was told to stop closed a connection in the middle of an
// answer, other than for the causes that the rule leaves out.
func judgeStreams(ends []streamEnd, stopAt map[*box]time.Time, rec *record) (broken bool) {
	counts := map[string]int{}
	for _, e := range ends {
		kind := strconv.Itoa(e.status)
		cut := e.status == http.StatusOK && !e.complete && !e.gaveUp
		if cut {
			kind += " cut"
		}
		counts[kind]++
		at, wasStopped := stopAt[e.to]
		if !cut || !wasStopped || e.endedAt.Before(at) || e.sentAt.After(at.Add(graceTime+time.Second)) {
			continue
		}
		inLastSixth := e.endedAt.Sub(at) >= graceTime*5/6
		if inLastSixth || e.endedAt.Sub(e.sentAt) >= streamDeadline {
			continue
		}
		rec.line("LOST: %s, sent to %s %s after SIGTERM, was cut after %d events, %s after SIGTERM and %s after it was sent", e.id, e.to.name, e.sentAt.Sub(at).Round(time.Millisecond), e.events, e.endedAt.Sub(at).Round(time.Millisecond), e.endedAt.Sub(e.sentAt).Round(time.Millisecond))
		broken = true
	}
	rec.line("ends of streams: %v", counts)
	return broken
}
