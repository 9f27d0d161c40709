package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store in the form of PROTOCOL.md.
type row struct {
	Table         string `json:"table"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	SchemaVersion uint64 `json:"schema_version,omitempty"`
	Tombstone     bool   `json:"tombstone,omitempty"`
}

// storeMode is how the store answers.
type storeMode int

const (
	storeSound storeMode = iota
	// storeBusy answers every call with 503; nothing is done.
	storeBusy
	// storeSilent answers nothing and does nothing.
	storeSilent
)

// store is a stand-in of the platform's store.
type store struct {
	answerTime time.Duration
	mu         sync.Mutex
	mode       storeMode
	rows       map[string]row
	version    uint64
	changed    chan struct{}
	began      time.Time
	listener   net.Listener
}

func newStore(answerTime time.Duration) *store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &store{answerTime: answerTime, rows: map[string]row{}, changed: make(chan struct{}), began: time.Now(), listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	server := &http.Server{Handler: s.withMode(mux)}
	go server.Serve(listener)
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) setMode(mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *store) currentMode() storeMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

func (s *store) withMode(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.answerTime)
		switch s.currentMode() {
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case storeSilent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes rows as the operator or a server does.
func (s *store) put(table, key string, value any) {
	content, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey(table, "", key)] = row{Table: table, Key: key, Value: content, SchemaVersion: s.version}
	s.wake()
}

// remove deletes a row as the operator or a server does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey(table, "", key)] = row{Table: table, Key: key, SchemaVersion: s.version, Tombstone: true}
	s.wake()
}

// count returns the number of rows of a table.
func (s *store) count(table string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && !r.Tombstone {
			n++
		}
	}
	return n
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(w http.ResponseWriter, rows []row, more, withRows bool) {
	answer := map[string]any{"schema_version": s.version, "now_ms": time.Since(s.began).Milliseconds()}
	if withRows {
		if rows == nil {
			rows = []row{}
		}
		answer["rows"], answer["has_more"] = rows, more
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, each := range s.rows {
		if each.Table == q.Get("table") && each.Part == q.Get("part") && !each.Tombstone && each.Key >= q.Get("from") && (q.Get("target_version") == "" || each.Key < q.Get("target_version")) {
			found = append(found, each)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	s.write(w, found[:min(limit, len(found))], more, true)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, each := range s.rows {
			if each.Table == q.Get("table") && each.SchemaVersion > after {
				found = append(found, each)
			}
		}
		mode := s.mode
		if mode != storeSilent && (len(found) > 0 || !time.Now().Before(end)) {
			sort.Slice(found, func(i, j int) bool { return found[i].SchemaVersion < found[j].SchemaVersion })
			s.write(w, found, false, true)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		if mode == storeSilent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectRev []row `json:"expect_rev"`
		Puts      []row `json:"puts"`
		Delete    []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range body.ExpectRev {
		current := s.rows[rowKey(expected.Table, expected.Part, expected.Key)]
		version := current.SchemaVersion
		if current.Tombstone {
			version = 0
		}
		if version != expected.SchemaVersion {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, each := range body.Puts {
		each.SchemaVersion, each.Tombstone = s.version, false
		s.rows[rowKey(each.Table, each.Part, each.Key)] = each
	}
	for _, each := range body.Delete {
		each.SchemaVersion, each.Tombstone, each.Value = s.version, true, nil
		s.rows[rowKey(each.Table, each.Part, each.Key)] = each
	}
	s.wake()
	s.write(w, nil, false, false)
}
