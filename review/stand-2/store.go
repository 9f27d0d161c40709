package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of a table as the store answers it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: rows with one counter, and a feed of their changes.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	counter uint64
	rows    map[[3]string]row
	// changed is closed and replaced at each change.
	changed chan struct{}
	beats   map[string]time.Time
	entries map[string]string
}

const (
	heartbeat = 1200 * time.Millisecond
	maxPage   = 500
)

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(),
		started: time.Now(),
		rows:    map[[3]string]row{},
		changed: make(chan struct{}),
		beats:   map[string]time.Time{},
		entries: map[string]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("/api/blob-list", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, map[string]any{"names": []string{}, "has_more": false})
	})
	mux.HandleFunc("POST /beat/{id}", s.beat)
	go func() { _ = http.Serve(listener, mux) }()
	go s.lapse()
	return s, nil
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

// put writes a row with a JSON value; nil deletes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	s.putLocked(table, "", key, value)
	s.publish()
}

func (s *store) putLocked(table, part, key string, value any) {
	r := row{Table: table, Part: part, Key: key, Version: s.counter, Deleted: value == nil}
	if value != nil {
		content, _ := json.Marshal(value)
		r.Value = base64.StdEncoding.EncodeToString(content)
	}
	s.rows[[3]string{table, part, key}] = r
}

func (s *store) publish() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	found := []row{}
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Part == q.Get("part") && one.Key >= q.Get("from") && !one.Deleted &&
			(q.Get("target_version") == "" || one.Key < q.Get("target_version")) {
			found = append(found, one)
		}
	}
	version := s.counter
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	answer(w, map[string]any{"rows": found, "has_more": more, "schema_version": version, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		found := []row{}
		for _, one := range s.rows {
			if one.Table == q.Get("table") && one.Version > after {
				found = append(found, one)
			}
		}
		version, changed := s.counter, s.changed
		s.mu.Unlock()
		expired := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(found) > 0 || expired {
			sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
			answer(w, map[string]any{"rows": found, "schema_version": version, "now_ms": s.now()})
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []row `json:"expect_rev"`
		Puts   []row `json:"puts"`
		Delete []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	failed := false
	for _, e := range body.Expect {
		known, ok := s.rows[[3]string{e.Table, e.Part, e.Key}]
		version := known.Version
		if !ok || known.Deleted {
			version = 0
		} else {
			current = append(current, known)
		}
		failed = failed || version != e.Version
	}
	if failed {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"rows": current, "schema_version": s.counter, "now_ms": s.now()})
		return
	}
	s.counter++
	for _, p := range body.Puts {
		p.Version, p.Deleted = s.counter, false
		s.rows[[3]string{p.Table, p.Part, p.Key}] = p
	}
	for _, d := range body.Delete {
		s.rows[[3]string{d.Table, d.Part, d.Key}] = row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.counter, Deleted: true}
	}
	s.publish()
	answer(w, map[string]any{"schema_version": s.counter, "now_ms": s.now()})
}

// beat takes the heartbeat of a server. Its entry changes when more than seq does.
func (s *store) beat(w http.ResponseWriter, r *http.Request) {
	var entry map[string]any
	if json.NewDecoder(r.Body).Decode(&entry) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	seq := entry["seq"]
	delete(entry, "seq")
	plain, _ := json.Marshal(entry)
	entry["seq"] = seq
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	if s.entries[id] == string(plain) {
		return
	}
	s.entries[id] = string(plain)
	s.counter++
	s.putLocked("servers", "", id, entry)
	s.publish()
}

// lapse removes the entries of servers after three heartbeats of silence.
func (s *store) lapse() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				delete(s.beats, id)
				delete(s.entries, id)
				s.counter++
				s.putLocked("servers", "", id, nil)
				s.publish()
			}
		}
		s.mu.Unlock()
	}
}
