package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// refusedServers servers serve the bookings. One of them sheds (a share of 0.17), three of them, that one
	// included, send a late second copy of some answers (a share of 0.5).
	refusedServers = 6
	refusedWindows = 4
	refusedCallers = 24
)

// caseRefused: a server that turns requests away, as if it were full, sends a second copy of some answers, late.
func caseRefused(w *world) (broken bool, err error) {
	for i := range refusedServers {
		if err := w.addServer(fmt.Sprintf("i-desk-%d", i), "alert-desk"); err != nil {
			return false, err
		}
	}
	if err := w.addServer("i-llm-0", "hydro-llm", "-events", "20", "-slots", "128"); err != nil {
		return false, err
	}
	for _, name := range []string{"front-a-1", "front-b-1", "front-c-1"} {
		if _, err := w.addBox(name); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if err := w.awaitBoxes(); err != nil {
		return false, err
	}
	log := &bookings{}
	var group sync.WaitGroup
	end := time.Now().Add(refusedWindows * 10 * time.Second)
	for i := range refusedCallers {
		group.Go(func() {
			c := &caller{address: w.boxes[i%len(w.boxes)].caller}
			defer c.close()
			for number := 0; time.Now().Before(end); number++ {
				w.book(c, fmt.Sprintf("booking %d of caller %d", number, i), log)
			}
		})
	}
	for range refusedWindows {
		time.Sleep(4 * time.Second)
		if err := w.troubleDesks(faults{Shed: 0.4, ExtraLate: 0.03}, faults{ExtraLate: 0.03}); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Second)
		if err := w.troubleDesks(faults{}, faults{}); err != nil {
			return false, err
		}
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	return w.judgeRefused(log), nil
}

// troubleDesks sets the faults of the first server and of the next two.
func (w *world) troubleDesks(first, next faults) error {
	if !w.trouble {
		return nil
	}
	w.record.line("faults of i-desk-0: %+v, of i-desk-1 and i-desk-2: %+v", first, next)
	for i, one := range []faults{first, next, next} {
		if err := w.servers[fmt.Sprintf("i-desk-%d", i)].setFaults(one); err != nil {
			return err
		}
	}
	return nil
}

// bookings are the results of all requests, and the bookings that they were sent for.
type bookings struct {
	mu      sync.Mutex
	results []*result
	subject map[string]string
}

func (b *bookings) add(r *result, subject string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.subject == nil {
		b.subject = map[string]string{}
	}
	b.results = append(b.results, r)
	b.subject[r.id] = subject
}

const bookingDeadline = 600 * time.Millisecond

// book sends a booking. As the pages say, a client repeats it once, with an ID of its own, after a promise that it
// has not run, and waits before as it is told, for up to a third of the time left.
func (w *world) book(c *caller, subject string, log *bookings) {
	began := time.Now()
	for range 2 {
		left := bookingDeadline - time.Since(began)
		id := w.newID()
		r := c.do(id, booking(id, key, host, "/push/1", int(left.Milliseconds()), len(subject)), subject, left+time.Second)
		log.add(r, subject)
		if !isPromise(r.status) {
			return
		}
		c.close()
		seconds, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		left = bookingDeadline - time.Since(began)
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), left/3))
	}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// judgeRefused compares the answers with what ran.
func (w *world) judgeRefused(log *bookings) (broken bool) {
	lines := w.truths()
	runs := w.runsOf(lines)
	w.recordSeconds(log.results, lines)
	statuses := map[int]int{}
	bySubject := map[string][]string{}
	refused, twice, resent := 0, 0, 0
	for _, r := range log.results {
		statuses[r.status]++
		if isPromise(r.status) && len(runs[r.id]) > 0 {
			refused++
			w.record.line("REFUSED: the client got %s, yet the request ran at %s (%s)", r, strings.Join(runs[r.id], ", "), log.subject[r.id])
		}
		if len(runs[r.id]) > 1 {
			resent++
			w.record.line("TWICE: %s ran at %s", r, strings.Join(runs[r.id], ", "))
		}
		for _, server := range runs[r.id] {
			subject := log.subject[r.id]
			bySubject[subject] = append(bySubject[subject], r.id+" at "+server)
		}
	}
	for subject, ran := range bySubject {
		if len(ran) > 1 {
			twice++
			w.record.line("done twice: %s ran as %s", subject, strings.Join(ran, " and as "))
		}
	}
	w.record.say("%d requests, statuses %v; %d answered with a promise although they had run, %d run twice; %d bookings done twice because of that", len(log.results), statuses, refused, resent, twice)
	return refused+resent > 0
}
