package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	readdEngines = 3
	readdCallers = 6
	// readdServers is the number of servers of the other service.
	readdServers = 2
)

// caseReadd: a version of the configuration takes out a route and its service, whose servers are replaced meanwhile,
// and a later one adds both again.
func caseReadd(w *world) (broken bool, err error) {
	addEngine := func(number int) error {
		return w.addServer(engineName(number), "hydro-llm", "-events", "10", "-slots", "128")
	}
	for i := range readdEngines {
		if err := addEngine(i); err != nil {
			return false, err
		}
	}
	for i := range readdServers {
		if err := w.addServer(fmt.Sprintf("i-desk-%d", i), "alert-desk"); err != nil {
			return false, err
		}
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
	if _, err := w.play("before", 3*time.Second); err != nil {
		return false, err
	}
	if w.trouble {
		w.putConfig(2, false)
	}
	time.Sleep(2500 * time.Millisecond)
	for i := range readdEngines {
		if err := addEngine(readdEngines + i); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	for i := range readdEngines {
		w.record.line("%s says that it is draining", engineName(i))
		if err := w.servers[engineName(i)].drain(); err != nil {
			return false, err
		}
	}
	// They serve on for longer than drain_ms, and end.
	time.Sleep(4 * time.Second)
	for i := range readdEngines {
		w.record.line("%s ends", engineName(i))
		w.servers[engineName(i)].kill()
		delete(w.servers, engineName(i))
	}
	time.Sleep(5 * time.Second)
	w.putConfig(3, true)
	// A box in touch has to act by the new version config_ms (2,000) after its acknowledgement.
	time.Sleep(3 * time.Second)
	counts, err := w.play("after", 12*time.Second)
	if err != nil {
		return false, err
	}
	first, later := counts["/push/1"], counts["/draft/1"]
	return later.sent >= 20 && 4*later.served*first.sent < first.served*later.sent, nil
}

// putConfig writes a version of the configuration, with or without the routes of the model service and the service.
func (w *world) putConfig(version int, whole bool) {
	c := catalog(version)
	if !whole {
		c["routes"] = c["routes"].([]map[string]any)[:2]
		c["services"] = c["services"].([]map[string]any)[1:]
	}
	w.store.put("op", "config", c)
	w.record.line("version %d acknowledged, with the model service: %v", version, whole)
}

// tally counts the requests on a route.
type tally struct{ sent, served int }

// play sends requests on the first route of each service for a time, and counts them by path.
func (w *world) play(what string, length time.Duration) (counts map[string]tally, err error) {
	counts = map[string]tally{}
	statuses := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range readdCallers {
		group.Go(func() {
			c := &caller{address: w.boxes[i%len(w.boxes)].caller}
			defer c.close()
			for time.Now().Before(end) {
				for _, path := range []string{"/push/1", "/draft/1"} {
					id := w.newID()
					head := booking(id, key, host, path, 600, len(id))
					if path == "/draft/1" {
						head = streaming(id, key, host, path, 15000, len(id))
					}
					r := c.do(id, head, id, 16*time.Second)
					mu.Lock()
					one := counts[path]
					one.sent++
					if r.status == 200 && r.err == nil {
						one.served++
					}
					counts[path] = one
					statuses[fmt.Sprintf("%s %d", path, r.status)]++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	w.record.say("%s: %v", what, statuses)
	return counts, nil
}
