package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment on loopback: a store, servers and boxes.
type world struct {
	root, folder string
	record       *record
	store        *store
	servers      map[string]*process
	boxes        []*box
	truth        string
	nextID       atomic.Int64
	trouble      bool
}

// process is a server of its own process.
type process struct {
	id, admin, address string
	command            *exec.Cmd
}

const (
	host = "desk.example"
	key  = "k7f3a91c25c1e07a2"
)

// catalog is the operator's configuration, like that of a small deployment.
func catalog(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "push", "host": host, "path_prefix": "/push/", "kind": "non_idempotent", "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": "alert-desk", "max_attempts": bookingAttempts()},
			{"name": "flag", "host": host, "path_prefix": "/flag/", "kind": "idempotent", "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": "alert-desk", "max_attempts": 2},
			{"name": "draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600, "gap_target_ms": 300, "priority": 1, "service": "hydro-llm", "max_attempts": 1, "sticky": true},
			{"name": "query", "host": host, "path_prefix": "/query/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 300, "gap_target_ms": 300, "priority": 1, "service": "hydro-llm", "max_attempts": 2, "resumable": true, "sticky": true},
		},
		"services": []map[string]any{
			{"name": "hydro-llm", "health_path": "/health", "max_conns": 620, "engine": map[string]any{"slots": 128, "kv_capacity_tokens": 986232, "kv_token_bytes": 163840, "stride": 5}},
			{"name": "alert-desk", "health_path": "/health", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000, "tokens_per_s": 400000},
		"tenants": []map[string]any{{"name": "harbour", "api_keys": []string{key}}},
	}
}

// bookingAttempts is the max_attempts of the route of bookings: 1, as on the site, or MAX_ATTEMPTS.
func bookingAttempts() int {
	if attempts, err := strconv.Atoi(os.Getenv("MAX_ATTEMPTS")); err == nil {
		return attempts
	}
	return 1
}

// newWorld starts the store and writes the configuration. The program is called at the root of the repository.
func newWorld(recordPath string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, folder: folder, servers: map[string]*process{}, truth: filepath.Join(folder, "truth"), trouble: os.Getenv("TROUBLE") != "0"}
	if w.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	if w.store, err = startStore(); err != nil {
		return nil, err
	}
	w.store.put("op", "config", catalog(1))
	return w, nil
}

// addServer starts a server as a process of its own.
func (w *world) addServer(id, service string, extra ...string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	admin, err := freeAddress()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := append([]string{"server", "-id", id, "-service", service, "-address", address, "-admin", admin, "-truth", w.truth, "-store", w.store.address}, extra...)
	p := &process{id: id, admin: admin, address: address, command: exec.Command(self, args...)}
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	w.servers[id] = p
	return nil
}

// addBox starts a box.
func (w *world) addBox(name string) (*box, error) {
	b, err := newBox(w.folder, name, w.store.address, 8)
	if err != nil {
		return nil, err
	}
	w.boxes = append(w.boxes, b)
	return b, b.start(w.root)
}

func (w *world) awaitBoxes() error {
	for _, b := range w.boxes {
		if err := b.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes.
func (w *world) end() {
	for _, b := range w.boxes {
		b.kill()
	}
	for _, s := range w.servers {
		s.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) setFaults(f faults) error {
	content, _ := json.Marshal(f)
	response, err := http.Post("http://"+p.admin+"/fault", "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (p *process) drain() error {
	response, err := http.Post("http://"+p.admin+"/drain", "application/json", nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// newID returns the ID of a request.
func (w *world) newID() string { return fmt.Sprintf("9c41d07b%08x", w.nextID.Add(1)) }

// truths returns the lines of the ground truth: time, server, what, and fields.
func (w *world) truths() (lines [][]string) {
	file, err := os.Open(w.truth)
	if err != nil {
		return nil
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		lines = append(lines, strings.Fields(scanner.Text()))
	}
	return lines
}

// runsOf returns the servers that ran each request.
func (w *world) runsOf(lines [][]string) map[string][]string {
	runs := map[string][]string{}
	for _, line := range lines {
		if len(line) > 3 && line[2] == "run" {
			id := strings.TrimPrefix(line[3], "id=")
			runs[id] = append(runs[id], line[1])
		}
	}
	return runs
}

// recordSeconds records for each second how many requests were sent, how they were answered, and how many ran.
func (w *world) recordSeconds(results []*result, lines [][]string) {
	type second struct {
		sent, run int
		answered  map[int]int
	}
	seconds := map[int]*second{}
	at := func(t time.Time) *second {
		number := int(t.Sub(w.record.started).Seconds())
		if seconds[number] == nil {
			seconds[number] = &second{answered: map[int]int{}}
		}
		return seconds[number]
	}
	for _, r := range results {
		at(r.sent).sent++
		at(r.ended).answered[r.status]++
	}
	for _, line := range lines {
		if len(line) > 3 && line[2] == "run" {
			ms, _ := strconv.ParseInt(line[0], 10, 64)
			at(time.UnixMilli(ms)).run++
		}
	}
	for number := range 120 {
		if one := seconds[number]; one != nil {
			w.record.line("second %d: %d sent, answered by status %v, %d run", number, one.sent, one.answered, one.run)
		}
	}
}
