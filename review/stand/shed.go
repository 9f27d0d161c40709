package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// shedAnswer is the end of one attempt of a client.
type shedAnswer struct {
	id, path, body string
	status         int
}

const (
	// shedShare and copyShare are the doses of the disruptions in thousandths.
	shedShare = 450
	copyShare = 30
	// period is the time from one occurrence of the disruptions to the next, of which the servers
	// shed for greyTime and send copies for garbleTime.
	period     = 8 * time.Second
	greyTime   = 6500 * time.Millisecond
	garbleTime = 5 * time.Second
	periods    = 10
)

// runShed plays a server that sheds requests while servers send some answers twice.
func runShed(dir string, rec *record, trouble bool) (broken bool) {
	st := newStore(4 * time.Millisecond)
	st.put("op", "config", configuration(3))
	var servers []*server
	for i, zone := range zones {
		s := newServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "booking-api", zone, rec)
		servers = append(servers, s)
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
	stop := make(chan struct{})
	if trouble {
		go disturb(servers, rec, stop)
	}
	answers := sendBookings(boxes, rec, periods*period)
	close(stop)
	time.Sleep(2 * time.Second)
	return judgeBookings(answers, servers, rec)
}

// disturb has one of the servers shed and two send copies, time and again.
func disturb(servers []*server, rec *record, stop <-chan struct{}) {
	for {
		began := time.Now()
		servers[0].shedShare.Store(shedShare)
		for _, s := range servers[:2] {
			s.copyShare.Store(copyShare)
		}
		rec.line("%s sheds %d of 1000 requests; %s and %s send %d of 1000 answers once more, late", servers[0].id, shedShare, servers[0].id, servers[1].id, copyShare)
		time.Sleep(garbleTime)
		for _, s := range servers {
			s.copyShare.Store(0)
		}
		time.Sleep(time.Until(began.Add(greyTime)))
		servers[0].shedShare.Store(0)
		select {
		case <-stop:
			return
		case <-time.After(time.Until(began.Add(period))):
		}
	}
}

// sendBookings sends requests of both routes for some time, each on a new connection.
func sendBookings(boxes []*box, rec *record, length time.Duration) (answers []shedAnswer) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		path := []string{"/book/1", "/remind/1"}[i%2]
		id := fmt.Sprintf("r%08x", i)
		to := boxes[rand.IntN(len(boxes))]
		group.Go(func() {
			answer := sendOnce(to, id, path, rec)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
		time.Sleep(10*time.Millisecond + rand.N(30*time.Millisecond))
	}
	group.Wait()
	return answers
}

// sendOnce sends one attempt; status 0 means that there was no whole answer.
func sendOnce(to *box, id, path string, rec *record) (answer shedAnswer) {
	answer = shedAnswer{id: id, path: path}
	method := http.MethodGet
	if strings.HasPrefix(path, "/book/") {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, "http://"+to.front()+path, nil)
	must(err)
	request.Host = "booking.example"
	request.Header.Set("X-Quaylead-Request-Id", id)
	request.Header.Set("X-Quaylead-Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestDeadline}
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		answer.body = string(body)
	}
	if err != nil {
		rec.line("client sent %s %s to %s: %v", id, path, to.name, err)
		return answer
	}
	answer.status = response.StatusCode
	rec.line("client sent %s %s to %s: %d, stamp %q", id, path, to.name, answer.status, response.Header.Get("X-Quaylead-Response-Stamp"))
	return answer
}

// judgeBookings reports whether a request that cannot be repeated has run although the answer to it
// promises that it has not.
func judgeBookings(answers []shedAnswer, servers []*server, rec *record) (broken bool) {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
		runs := 0
		for _, s := range servers {
			runs += s.runCount(a.id)
		}
		isBooking := strings.HasPrefix(a.path, "/book/")
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if isBooking && runs > 0 {
				rec.line("REFUSED: %s (%s) ran %d times and was answered %d", a.id, a.path, runs, a.status)
				broken = true
			}
		case http.StatusOK:
			if a.body != "done "+a.id {
				rec.line("MIXED: %s got the body %q", a.id, a.body)
			}
		}
		if isBooking && runs > 1 {
			rec.line("TWICE: %s ran %d times", a.id, runs)
		}
	}
	rec.line("answers by status: %v", counts)
	return broken
}
