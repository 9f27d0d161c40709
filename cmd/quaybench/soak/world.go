package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/cmd/quaybench/fault"
	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/platform"
	"github.com/quaylead/quaylead/platform/standin"
)

// world is a fleet of boxes, and all around it.
type world struct {
	soak  *Soak
	truth *standin.Truth
	store *standin.Store
	grid  *fault.Grid
	boxes []*box
	group errgroup.Group

	mu      sync.Mutex
	servers []*server
	// made counts the servers so far, for their names.
	made    int
	version int
	// accepted is when each version of the configuration was accepted.
	accepted map[int]time.Time
	outcomes []outcome
	// troubles are when something that all boxes share may have been out of order.
	troubles spans
	// linkTroubles are when the way to some server may have been broken.
	linkTroubles spans
}

// box is one router process.
type box struct {
	fleet.Process
	callers, ready string

	mu sync.Mutex
	// lives counts its starts.
	lives int
	// troubles are when it may have been out of order; planned stops are none.
	troubles spans
	// stops are its planned stops.
	stops []stop
	// signals serializes what is done to the process.
	signals sync.Mutex
}

// server is one stand-in of an endpoint, behind a proxy.
type server struct {
	*standin.Server
	// reached is the proxy's address.
	reached string
	// left is when it said that it leaves; zero before.
	left time.Time
}

const (
	engines      = 4
	plainServers = 3
	engineSlots  = 32
	// longestStop is the time that a planned stop may take.
	longestStop = 6 * time.Second
)

func newWorld(s *Soak) (w *world, err error) {
	defer func() { err = trace.Wrap(err, "setting up the fleet") }()
	w = &world{soak: s, truth: &standin.Truth{}, grid: fault.NewGrid(), accepted: map[int]time.Time{}}
	w.store, err = standin.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.group.Go(w.store.Run)
	for range engines {
		if err := w.addServer("llm"); err != nil {
			return nil, err
		}
	}
	for range plainServers {
		if err := w.addServer("api"); err != nil {
			return nil, err
		}
	}
	if err := w.accept(); err != nil {
		return nil, err
	}
	for i := range s.Boxes {
		if err := w.addBox(fmt.Sprintf("box-%d", i)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// addServer starts a server and writes its entry.
func (w *world) addServer(service string) error {
	w.mu.Lock()
	w.made++
	id := fmt.Sprintf("%s-%d", service, w.made)
	w.mu.Unlock()
	s := &server{Server: &standin.Server{ID: id, Service: service, Zone: "zone-a", Truth: w.truth, Deadly: deadlyMark}}
	s.Ended = func() { w.group.Go(func() error { return w.replace(s) }) }
	s.Slots, s.Work = 8, 5*time.Millisecond
	if service == "llm" {
		s.Slots, s.Work, s.Events, s.Pause = engineSlots, 20*time.Millisecond, streamEvents, 10*time.Millisecond
	}
	if err := s.Open("127.0.0.1:0"); err != nil {
		return err
	}
	w.group.Go(s.Run)
	reached, err := w.grid.Add(id, s.Address())
	if err != nil {
		return err
	}
	s.reached = reached
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return w.store.Register(s.Server, s.reached, false)
}

// accept has the operator accept a new configuration. Each version has a route of
// its own, and those of the versions before it, so that callers can tell which is
// in force.
func (w *world) accept() error {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	route := func(name, service string, kind standin.RouteKind, limit, aim time.Duration, attempts int) standin.Route {
		return standin.Route{
			Name: name, Host: host, Path: "/" + name + "/", Service: service,
			Kind: kind, Limit: limit, Aim: aim, Attempts: attempts,
		}
	}
	lookup := func(name string) standin.Route {
		return route(name, "api", standin.Lookup, 2*time.Second, 150*time.Millisecond, 2)
	}
	routes := []standin.Route{
		route(names[standin.Stream], "llm", standin.Stream, 8*time.Second, 800*time.Millisecond, 1),
		route(names[standin.ResumableStream], "llm", standin.ResumableStream, 8*time.Second, 800*time.Millisecond, 2),
		route(names[standin.Booking], "api", standin.Booking, 2*time.Second, 150*time.Millisecond, 2),
		lookup(names[standin.Lookup]),
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, lookup(fmt.Sprintf("probe-%d", v)))
	}
	err := w.store.Accept(standin.Configuration{
		Version:         version * 3,
		Routes:          routes,
		Pools:           []standin.Pool{{Name: "llm", Slots: engineSlots}, {Name: "api"}},
		Customers:       map[string][]string{"ward": {"key-0"}, "camp": {"key-1"}},
		TokensPerSecond: 400000,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted[version] = time.Now()
	return err
}

// addBox starts a router, whose way to the store is through a proxy.
func (w *world) addBox(name string) error {
	var addresses [3]string
	for i := range addresses {
		address, err := fleet.FreeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	store, err := w.grid.Add(storeLink(name), w.store.Address())
	if err != nil {
		return err
	}
	peerHost, peerPort, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return err
	}
	file := filepath.Join(w.soak.Dir, name+".conf")
	given := standin.BoxSettings{
		Name: name, Zone: "zone-a", Callers: addresses[0], Ready: addresses[1],
		PeerHost: peerHost, PeerPort: peerPort, Store: store, StopTime: longestStop,
	}
	if err := os.WriteFile(file, []byte(given.Text()), 0o644); err != nil {
		return err
	}
	b := &box{callers: addresses[0], ready: addresses[1], Process: fleet.Process{
		Name:    name,
		Path:    filepath.Join(w.soak.Bin, "quaylead"),
		Args:    []string{"gateway", "--settings", file},
		LogFile: filepath.Join(w.soak.Dir, name+".log"),
	}}
	w.boxes = append(w.boxes, b)
	return b.start()
}

func storeLink(box string) string { return box + ">store" }

// stop is a planned stop of one life of a box.
type stop struct {
	life  int
	began time.Time
}

// span is a time, and spans are several.
type (
	span  struct{ from, to time.Time }
	spans []span
)

// touch tells whether any of them overlaps another time.
func (s spans) touch(from, to time.Time) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.from.Before(to) && from.Before(one.to) })
}

// lastEnd is the end of the last span that began before a time; from where none ends later.
func (s spans) lastEnd(from, before time.Time) time.Time {
	for _, one := range s {
		if one.from.Before(before) && one.to.After(from) {
			from = one.to
		}
	}
	return from
}

// start starts the process; it may be out of order until it has caught up.
func (b *box) start() error {
	b.mu.Lock()
	b.lives++
	b.mu.Unlock()
	b.trouble(0)
	return b.Start()
}

// settleTime is how long after the end of a fault nothing is judged by time: a
// box has to find its peers again and read what it missed.
const settleTime = 4 * time.Second

// trouble notes a fault of a box that begins now, and the time after it.
func (b *box) trouble(length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.troubles = append(b.troubles, span{from: now, to: now.Add(length + settleTime)})
}

// life is the number of the process's start.
func (b *box) life() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lives
}

// trouble notes a fault of what all boxes share.
func (w *world) trouble(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.troubles = append(w.troubles, span{from: now, to: now.Add(length + settleTime)})
}

// linkTrouble notes that the way to a server is broken for a time.
func (w *world) linkTrouble(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.linkTroubles = append(w.linkTroubles, span{from: now, to: now.Add(length)})
}

func (w *world) awaitReady(ctx context.Context) error {
	for _, b := range w.boxes {
		err := fleet.Poll(ctx, func() (bool, error) { return b.isReady(), nil })
		if err != nil {
			return trace.Wrap(err, "waiting for %s:\n%s", b.Name, b.Printed())
		}
	}
	return nil
}

func (b *box) isReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+b.ready+platform.Translator{}.ReadyPath(), time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// close ends what the soak started.
func (w *world) close() {
	for _, b := range w.boxes {
		b.signals.Lock()
		b.Kill()
		b.signals.Unlock()
	}
	w.mu.Lock()
	servers := slices.Clone(w.servers)
	w.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	w.store.Close()
	w.grid.Close()
	// What served until now ends with an error that says so.
	_ = w.group.Wait()
}
