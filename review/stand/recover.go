package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// operator's configuration: the two plain routes of the site qatra-fleet.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "slot-book", "host": "booking.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "booking-api", "max_attempts": 1, "anonymous": true, "sticky": false, "resumable": false},
			{"name": "slot-remind", "host": "booking.example", "path_prefix": "/remind/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "booking-api", "max_attempts": 2, "anonymous": true, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{{"name": "booking-api", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 290000},
		"tenants":  []map[string]any{{"name": "ward", "api_keys": []string{"asnmgkcuyj8pjbvk9m68"}}},
	}
}

// balancer chooses boxes for new connections as PROTOCOL.md, Ingress, says.
type balancer struct {
	boxes []*box
	mu    sync.Mutex
	// misses counts the checks in a row without a 200, by box.
	misses map[*box]int
}

func (b *balancer) run(stop <-chan struct{}) {
	for {
		for _, each := range b.boxes {
			go func() {
				ready := each.isReady()
				b.mu.Lock()
				defer b.mu.Unlock()
				if ready {
					b.misses[each] = 0
				} else {
					b.misses[each]++
				}
			}()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// choose returns a box for a client of a zone, other than the one that it tried before.
func (b *balancer) choose(zone string, before *box) *box {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all, in, anywhere []*box
	for _, each := range b.boxes {
		isIn := b.misses[each] < 2
		if isIn {
			anywhere = append(anywhere, each)
		}
		if each.zone != zone {
			continue
		}
		all = append(all, each)
		if isIn {
			in = append(in, each)
		}
	}
	usable := in
	if 2*len(in) < len(all) {
		usable = all
	}
	if len(in) == 0 && len(anywhere) > 0 {
		usable = anywhere
	}
	var others []*box
	for _, each := range usable {
		if each != before {
			others = append(others, each)
		}
	}
	if len(others) == 0 {
		others = usable
	}
	return others[rand.IntN(len(others))]
}

// client sends requests; each attempt has an ID of its own and a new connection.
type client struct {
	balancer *balancer
	record   *record
	attempts atomic.Int64
}

const requestDeadline = time.Second

// send sends one request with one retry, and reports the status of the last answer (0: none).
func (c *client) send(zone, path string) (status int) {
	end := time.Now().Add(requestDeadline)
	var before *box
	for try := range 2 {
		to := c.balancer.choose(zone, before)
		var wait time.Duration
		status, wait = c.try(to, path, time.Until(end))
		promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if status == http.StatusOK || (!promised && strings.HasPrefix(path, "/book/") && status != -1) {
			return status
		}
		wait = min(wait, time.Until(end)/3)
		if try > 0 || time.Until(end) < 50*time.Millisecond {
			return status
		}
		time.Sleep(wait)
		before = to
	}
	return status
}

// try sends one attempt. Status 0 means no answer, -1 no connection.
func (c *client) try(to *box, path string, left time.Duration) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("r%08x", c.attempts.Add(1))
	method := http.MethodGet
	if strings.HasPrefix(path, "/book/") {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, "http://"+to.front()+path, nil)
	must(err)
	request.Host = "booking.example"
	request.Header.Set("X-Quaylead-Request-Id", id)
	request.Header.Set("X-Quaylead-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport, Timeout: left}).Do(request)
	if err != nil {
		status = 0
		if strings.Contains(err.Error(), "refused") {
			status = -1
		}
		c.record.line("client sent %s %s to %s: no answer (%v)", id, path, to.name, err)
		return status, 0
	}
	answer.Body.Close()
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	c.record.line("client sent %s %s to %s: %d", id, path, to.name, answer.StatusCode)
	return answer.StatusCode, time.Duration(seconds * float64(time.Second))
}

// history starts and ends boxes that are no longer there: a machine that is replaced has a new name,
// and the store keeps what its process wrote.
func history(st *store, dir string, replaced int, rec *record) {
	const atOnce = 30
	for first := 0; first < replaced; first += atOnce {
		var batch []*box
		for i := first; i < min(first+atOnce, replaced); i++ {
			zone := zones[i%len(zones)]
			b := newBox(fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, dir)
			b.start(st.address(), i < boxesInFleet)
			batch = append(batch, b)
		}
		want := min(first+atOnce, replaced)
		for end := time.Now().Add(20 * time.Second); st.count("quaylead-boxes") < want && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		for _, b := range batch {
			b.kill()
		}
		rec.line("%d machines were taken away for good; the table quaylead-boxes has %d rows", want, st.count("quaylead-boxes"))
	}
}

const (
	recoverySeconds = 12
	boxesInFleet    = 9
)

// runRecover plays the end of all processes during an outage of the store.
func runRecover(dir string, rec *record, trouble bool) (broken bool) {
	replaced := envInt("REPLACED", 75)
	judged := time.Duration(envInt("JUDGED_S", 12)) * time.Second
	outage := time.Duration(envInt("OUTAGE_MS", 4500)) * time.Millisecond
	killAfter := time.Duration(envInt("KILL_MS", 1000)) * time.Millisecond
	down := time.Duration(envInt("DOWN_MS", 1100)) * time.Millisecond
	st := newStore(4 * time.Millisecond)
	st.put("op", "config", configuration(3))
	for i, zone := range zones {
		s := newServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "booking-api", zone, rec)
		s.join(st)
	}
	history(st, dir, replaced, rec)
	var boxes []*box
	for i := range boxesInFleet {
		zone := zones[i%len(zones)]
		boxes = append(boxes, newBox(fmt.Sprintf("front-%s-%d", zone, (replaced+i)/len(zones)+1), zone, dir))
	}
	startAll := func() {
		for _, b := range boxes {
			b.start(st.address(), false)
		}
	}
	startAll()
	awaitReady(boxes)
	rec.line("%d boxes are ready", len(boxes))
	stop := make(chan struct{})
	lb := &balancer{boxes: boxes, misses: map[*box]int{}}
	go lb.run(stop)
	c := &client{balancer: lb, record: rec}
	type outcome struct {
		at     time.Time
		status int
	}
	var mu sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	traffic := func(until time.Time) {
		for i := 0; time.Now().Before(until); i++ {
			path := []string{"/book/1", "/remind/1"}[i%2]
			group.Go(func() {
				at := time.Now()
				status := c.send(zones[i%len(zones)], path)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome{at, status})
			})
			time.Sleep(25 * time.Millisecond)
		}
	}
	traffic(time.Now().Add(6 * time.Second))
	fault := time.Now()
	var back time.Time
	if trouble {
		done := make(chan struct{})
		go func() {
			defer close(done)
			st.setMode(storeBusy)
			rec.line("the store answers 503")
			time.Sleep(killAfter)
			for _, b := range boxes {
				b.cmd.Process.Kill()
			}
			for _, b := range boxes {
				<-b.done
			}
			rec.line("all processes were killed")
			time.Sleep(down)
			startAll()
			back = time.Now()
			rec.line("all processes were started")
			time.Sleep(time.Until(fault.Add(outage)))
			st.setMode(storeSound)
			rec.line("the store is sound again")
		}()
		traffic(fault.Add(killAfter + down))
		<-done
	} else {
		back = time.Now()
	}
	traffic(back.Add(recoverySeconds*time.Second + judged))
	group.Wait()
	close(stop)
	served := func(from, to time.Time) (good, all int) {
		for _, o := range outcomes {
			if o.at.Before(from) || !o.at.Before(to) {
				continue
			}
			all++
			if o.status == http.StatusOK {
				good++
			}
		}
		return good, all
	}
	goodBefore, allBefore := served(time.Time{}, fault)
	rec.line("before the final fault: %d of %d served", goodBefore, allBefore)
	for s := 0; s < recoverySeconds+int(judged/time.Second); s += 3 {
		good, all := served(back.Add(time.Duration(s)*time.Second), back.Add(time.Duration(s+3)*time.Second))
		rec.line("sent %d to %d s after the machines were back: %d of %d served", s, s+3, good, all)
	}
	good, all := served(back.Add(recoverySeconds*time.Second), back.Add(time.Hour))
	ready := 0
	for _, b := range boxes {
		if b.isReady() {
			ready++
		}
	}
	rec.line("sent more than %d s after the machines were back: %d of %d served; %d boxes ready", recoverySeconds, good, all, ready)
	return 4*goodBefore >= allBefore && 4*good < all
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}
