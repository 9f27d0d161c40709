package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	cutEvents  = 60
	cutEngines = 4
	// cutCallers is the number of streams at once.
	cutCallers = 160
	cutRounds  = 8
)

// wholeStream is the body of a stream that a server has sent to its end.
func wholeStream(id string, events int) string {
	text := &strings.Builder{}
	for i := range events {
		text.WriteString(eventOf(id, i, events))
	}
	return text.String()
}

// caseCrash: model servers that send some streams without a length crash, one at a time.
func caseCrash(w *world) (broken bool, err error) { return w.crashEngines(0) }

// caseDrain: the same, but each says first that it is draining, and crashes while it still has to serve on.
func caseDrain(w *world) (broken bool, err error) { return w.crashEngines(time.Second) }

// crashEngines crashes a model server every five seconds. If drainTime is not 0, the server has said that it is
// draining that long before.
func (w *world) crashEngines(drainTime time.Duration) (broken bool, err error) {
	addEngine := func(number int) error {
		return w.addServer(engineName(number), "hydro-llm", "-events", fmt.Sprint(cutEvents), "-gap", "25", "-slots", "128")
	}
	for i := range cutEngines {
		if err := addEngine(i); err != nil {
			return false, err
		}
	}
	if err := w.addServer("i-desk-0", "alert-desk"); err != nil {
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
	streams := w.startStreams((cutRounds + 1) * 5 * time.Second)
	for round := range cutRounds {
		time.Sleep(time.Second)
		if err := w.unframe(round, 0.05); err != nil {
			return false, err
		}
		time.Sleep(2500*time.Millisecond - drainTime)
		if w.trouble {
			if err := w.crash(engineName(round), drainTime); err != nil {
				return false, err
			}
		}
		if err := w.unframe(round+1, 0); err != nil {
			return false, err
		}
		time.Sleep(1500 * time.Millisecond)
		if w.trouble {
			if err := addEngine(cutEngines + round); err != nil {
				return false, err
			}
		}
	}
	return w.judgeStreams(streams()), nil
}

func engineName(number int) string { return fmt.Sprintf("i-llm-%d", number) }

// unframe sets which share of their streams the engines from a number on send without a length.
func (w *world) unframe(from int, share float64) error {
	w.record.line("share of streams without a length: %g", share)
	for i := from; i < from+cutEngines; i++ {
		if p := w.servers[engineName(i)]; p != nil {
			if err := p.setFaults(faults{Unframed: share}); err != nil {
				return err
			}
		}
	}
	return nil
}

// crash kills an engine, after it has said that it is draining.
func (w *world) crash(id string, drainTime time.Duration) error {
	if drainTime > 0 {
		w.record.line("%s says that it is draining", id)
		if err := w.servers[id].drain(); err != nil {
			return err
		}
		time.Sleep(drainTime)
	}
	w.record.line("%s is killed", id)
	w.servers[id].kill()
	delete(w.servers, id)
	return nil
}

// startStreams has callers send requests for streams, one after the other. The function that it returns waits for
// the end and returns the results.
func (w *world) startStreams(length time.Duration) (wait func() []*result) {
	var mu sync.Mutex
	var results []*result
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range cutCallers {
		group.Go(func() {
			c := &caller{address: w.boxes[i%len(w.boxes)].caller}
			defer c.close()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for time.Now().Before(end) {
				id := w.newID()
				body := "draft " + id
				r := c.do(id, streaming(id, key, host, "/draft/1", 15000, len(body)), body, 20*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				if r.status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	return func() []*result {
		group.Wait()
		return results
	}
}

// judgeStreams compares the streams that clients received with what the servers sent.
func (w *world) judgeStreams(results []*result) (broken bool) {
	whole := map[string]bool{}
	lines := w.truths()
	w.recordSeconds(results, lines)
	for _, line := range lines {
		if len(line) > 3 && line[2] == "whole" {
			whole[strings.TrimPrefix(line[3], "id=")] = true
		}
	}
	statuses := map[string]int{}
	cut, unframed, seen := 0, 0, 0
	for _, r := range results {
		order := "in order"
		if r.err != nil {
			order = "broken off"
			w.record.line("broken off, as the client saw: %s", r)
		}
		statuses[fmt.Sprintf("%d %s", r.status, order)]++
		if r.status != 200 {
			continue
		}
		if !r.framed {
			unframed++
		}
		switch {
		case r.err != nil:
			seen++
		case r.body != wholeStream(r.id, cutEvents):
			cut++
			w.record.line("MIXED, ORDER: %s ended in order after %d of %d events; its server had sent all: %v", r, strings.Count(r.body, "\n\n"), cutEvents, whole[r.id])
		}
	}
	w.record.say("%d streams, %v; %d without a length; of those that were cut, %d were seen to be, and %d ended in order like complete ones", len(results), statuses, unframed, seen, cut)
	return cut > 0
}
