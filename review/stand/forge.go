package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reservedHeaders are the headers that only the system sets, beside the tenant.
var reservedHeaders = []string{"X-Quaylead-Hold", "X-Quaylead-Pin-Ms", "X-Quaylead-Kv-Backup", "Kv-From"}

// forgedFields are the fields that a client sends although only the system may set them.
const forgedFields = "x-quaylead-tenant: harbour\r\nX-Quaylead-Hold: 7\r\nX-Quaylead-Pin-Ms: 4000\r\nX-Quaylead-Kv-Backup: 127.0.0.1:9\r\nKv-From: 127.0.0.1:9/h1\r\n"

// The tenants of the case and their keys. The forging client holds the key of the first one.
var tenants = []map[string]any{
	{"name": "charts", "api_keys": []string{"asnmgkcuyj8pjbvk9m68"}},
	{"name": "harbour", "api_keys": []string{"k7b2ex5wa5xwyhks8nbk"}},
}

const (
	ownTenant = "charts"
	ownKey    = "asnmgkcuyj8pjbvk9m68"
)

// forgeConfiguration returns two routes of the site gtecm-quaylead that need a key: to the model
// servers and to the plain service.
func forgeConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "notice-draft", "host": "chart.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600, "gap_target_ms": 300, "priority": 1, "service": "hydro-llm", "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false},
			{"name": "navwarn-push", "host": "chart.example", "path_prefix": "/push/", "kind": "non_idempotent", "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": "alert-desk", "max_attempts": 1, "anonymous": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "hydro-llm", "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 128, "kv_capacity_tokens": 986232, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 5, "models": []map[string]any{{"name": "m"}}}},
			{"name": "alert-desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 290000},
		"tenants": tenants,
	}
}

// observer records what servers see of the requests that they run.
type observer struct {
	mu sync.Mutex
	// tenants and reserved are the tenant and the reserved headers of each request, by ID.
	tenants  map[string]string
	reserved map[string][]string
}

func (o *observer) observe(request *http.Request) (seen string) {
	id := request.Header.Get("X-Quaylead-Request-Id")
	tenant := request.Header.Get("X-Quaylead-Tenant")
	var reserved []string
	for _, name := range reservedHeaders {
		if value := request.Header.Get(name); value != "" {
			reserved = append(reserved, name+": "+value)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tenants[id], o.reserved[id] = tenant, reserved
	return fmt.Sprintf("tenant %q (all values %q), reserved %q", tenant, request.Header.Values("X-Quaylead-Tenant"), reserved)
}

// forgeClient sends requests over connections of its own.
type forgeClient struct {
	record *record
	sent   int
}

// send sends a request in chunks, with fields among its headers and fields behind its last chunk.
func (c *forgeClient) send(to *box, path, headers, trailer string) (id string, status int) {
	c.sent++
	id = fmt.Sprintf("r%08x", c.sent)
	head := "POST " + path + " HTTP/1.1\r\nHost: chart.example\r\nX-Quaylead-Request-Id: " + id + "\r\nX-Quaylead-Deadline-Ms: 600\r\nAuthorization: Bearer " + ownKey + "\r\nTransfer-Encoding: chunked\r\n"
	if strings.HasPrefix(path, "/draft/") {
		head += "X-Quaylead-Model: m\r\nX-Quaylead-Token-Count: 1460,80\r\nX-Quaylead-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
	}
	conn, err := net.Dial("tcp", to.front())
	must(err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.WriteString(conn, head+headers+"\r\n5\r\nhello\r\n0\r\n"+trailer+"\r\n")
	must(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.record.line("client sent %s %s to %s: %v", id, path, to.name, err)
		return id, 0
	}
	body, err := io.ReadAll(response.Body)
	c.record.line("client of tenant %s sent %s %s to %s, headers %q, behind the last chunk %q: %d, %d bytes, %v", ownTenant, id, path, to.name, headers, trailer, response.StatusCode, len(body), err)
	return id, response.StatusCode
}

// runForge plays a client that sends fields that only the system may set.
func runForge(dir string, rec *record, trouble bool) (broken bool) {
	st := newStore(4 * time.Millisecond)
	st.put("op", "config", forgeConfiguration())
	seen := &observer{tenants: map[string]string{}, reserved: map[string][]string{}}
	for i, zone := range zones {
		engine := newServer(fmt.Sprintf("i-%08x", 0x1b40aa10+i), "hydro-llm", zone, rec)
		engine.slots, engine.events = 128, 5
		plain := newServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "alert-desk", zone, rec)
		for _, s := range []*server{engine, plain} {
			s.observer = seen
			s.join(st)
		}
	}
	var boxes []*box
	for _, zone := range zones {
		b := newBox("front-"+zone+"-1", zone, dir)
		b.start(st.address(), true)
		boxes = append(boxes, b)
	}
	awaitReady(boxes)
	rec.line("%d boxes are ready", len(boxes))
	time.Sleep(time.Second)
	client := &forgeClient{record: rec}
	const rounds = 20
	answered, unasked := 0, 0
	for i := range rounds {
		path := []string{"/draft/1", "/push/1"}[i%2]
		to := boxes[i%len(boxes)]
		trailer := ""
		if trouble {
			trailer = forgedFields
		}
		// The same fields among the headers are sent in both plays.
		for _, fields := range [][2]string{{forgedFields, ""}, {"", trailer}} {
			id, status := client.send(to, path, fields[0], fields[1])
			if status == http.StatusOK {
				answered++
			}
			tenant, ran := seen.tenants[id]
			if !ran {
				continue
			}
			if tenant != ownTenant || len(seen.reserved[id]) > 0 {
				rec.line("UNASKED: %s ran with tenant %q instead of %q and with %q", id, tenant, ownTenant, seen.reserved[id])
				unasked++
			}
		}
	}
	rec.line("%d of %d requests answered with success; %d of them ran with what the client had forged", answered, 2*rounds, unasked)
	if answered < rounds {
		giveUp("most requests were not served")
	}
	return unasked > 0
}
