package main

import (
	"fmt"
	"net/http"
	"time"
)

// The routes and services of the case: the first route and its service are in every configuration,
// the others are taken out and added again.
const (
	firstRoute, firstService = "/book/", "booking-api"
	laterRoute, laterService = "/remind/", "remind-api"
)

// hireConfiguration returns a configuration with the time limits of the site kervelo-quaylead, with
// or without the later route and its service.
func hireConfiguration(version int, withLater bool) map[string]any {
	route := func(name, kind, prefix, service string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "booking.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "service": service, "max_attempts": attempts, "anonymous": true, "sticky": false, "resumable": false}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}
	}
	routes := []map[string]any{route("unlock-call", "non_idempotent", firstRoute, firstService, 1)}
	services := []map[string]any{service(firstService)}
	if withLater {
		routes = append(routes, route("dock-check", "idempotent", laterRoute, laterService, 2))
		services = append(services, service(laterService))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 290000},
		"tenants": []map[string]any{{"name": "ward", "api_keys": []string{"asnmgkcuyj8pjbvk9m68"}}},
	}
}

// runReadd plays a service that leaves the configuration, has its servers replaced and comes back.
func runReadd(dir string, rec *record, trouble bool) (broken bool) {
	st := newStore(4 * time.Millisecond)
	st.put("op", "config", hireConfiguration(3, true))
	startServers := func(service string, first int) (servers []*server) {
		for i, zone := range zones {
			s := newServer(fmt.Sprintf("i-%08x", first+i), service, zone, rec)
			servers = append(servers, s)
			s.join(st)
		}
		return servers
	}
	startServers(firstService, 0x7f3a91c0)
	replaced := startServers(laterService, 0x1b40aa10)
	var boxes []*box
	for i := range boxesInFleet {
		zone := zones[i%len(zones)]
		b := newBox(fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, dir)
		b.start(st.address(), true)
		boxes = append(boxes, b)
	}
	awaitReady(boxes)
	rec.line("%d boxes are ready", len(boxes))
	time.Sleep(5 * time.Second)
	sendRoutes(boxes, rec, "with the first configuration", 5*time.Second)
	if trouble {
		st.put("op", "config", hireConfiguration(7, false))
		rec.line("configuration 7 is acknowledged: without the route dock-check and its service")
		time.Sleep(6 * time.Second)
	}
	startServers(laterService, 0x2c51bb20)
	time.Sleep(2 * time.Second)
	for _, s := range replaced {
		s.leave(st)
		time.Sleep(time.Second)
	}
	rec.line("the servers of %s were replaced", laterService)
	time.Sleep(5 * time.Second)
	if trouble {
		st.put("op", "config", hireConfiguration(12, true))
		rec.line("configuration 12 is acknowledged: with the route dock-check and its service")
	}
	// From here on nothing happens; config_ms and contact_ms pass.
	time.Sleep(8 * time.Second)
	first, later := sendRoutes(boxes, rec, "after the last configuration", 20*time.Second)
	return later.sent >= 20 && 4*later.served*first.sent < first.served*later.sent
}

// routeCount counts the requests on a route.
type routeCount struct {
	sent, served int
}

// sendRoutes sends requests on both routes for some time.
func sendRoutes(boxes []*box, rec *record, when string, length time.Duration) (first, later routeCount) {
	for _, a := range sendBookings(boxes, rec, length) {
		count := &first
		if a.path == laterRoute+"1" {
			count = &later
		}
		count.sent++
		if a.status == http.StatusOK {
			count.served++
		}
	}
	rec.line("%s: unlock-call %d of %d served, dock-check %d of %d served", when, first.served, first.sent, later.served, later.sent)
	return first, later
}
