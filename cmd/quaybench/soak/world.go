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

// world is a fleet of boxes with everything that it runs against: the store, the servers and
// the proxies between them.
type world struct {
	soak    *Soak
	truth   *standin.Truth
	store   *standin.Store
	proxies *fault.ProxySet
	boxes   []*box
	group   errgroup.Group
	// engineSlots and plainSlots are the slots of one server.
	engineSlots, plainSlots int

	mu      sync.Mutex
	servers []*server
	// serverCount counts the servers started so far, for their IDs.
	serverCount int
	version     int
	// acceptedAt is when each version of the configuration was written.
	acceptedAt map[int]time.Time
	outcomes   []outcome
	// sharedFaultTimes are the times of faults that affect all boxes.
	sharedFaultTimes spans
	// linkFaultTimes are the times of faults of the connections to some server.
	linkFaultTimes spans
	// crashingSends are the boxes to which crashing requests were sent, by the ID of the request.
	crashingSends map[string]*box
	// crashingUntil is until when requests with a part that crashes engines were sent.
	crashingUntil map[string]time.Time
}

// box is one router process.
type box struct {
	fleet.Process
	callerAddress, readyAddress string

	mu sync.Mutex
	// starts counts the starts of the process.
	starts int
	// faultTimes are the times of faults of this box. Planned stops are not faults.
	faultTimes spans
	// stops are its planned stops.
	stops []stop
	// processMu serializes signals to the process, and its starts.
	processMu sync.Mutex
}

// server is a stand-in of an endpoint behind a proxy.
type server struct {
	*standin.Server
	// proxyAddress is the address at which boxes reach it.
	proxyAddress string
	// leftAt is when its entry was marked as leaving or was removed; zero before.
	leftAt time.Time
	// startedAt is when it started, and endedAt when it crashed; zero before.
	startedAt, endedAt time.Time
	// faultTimes are the times of its faults and of those of the connections to it. Silence is no fault.
	faultTimes spans
}

const (
	engines      = 6
	plainServers = 3
	// releases is the number of releases that engines run side by side.
	releases = 3
	// The servers of every other seed have few slots: then no other server has room while some are silent.
	manyEngineSlots, fewEngineSlots = 32, 3
	manyPlainSlots, fewPlainSlots   = 8, 4
	// Each version of the configuration turns the queue of the plain service on or off, which
	// follows from how much longer than its latency target a route's time limit is.
	plainLatencyTarget             = 150 * time.Millisecond
	queuedTimeout, unqueuedTimeout = 2 * time.Second, 1100 * time.Millisecond
	// maxStopDuration bounds the duration of a planned stop.
	maxStopDuration = 6 * time.Second
)

// newEmptyWorld returns a world in which nothing runs.
func newEmptyWorld() *world {
	return &world{
		truth:         &standin.Truth{},
		acceptedAt:    map[int]time.Time{},
		crashingSends: map[string]*box{},
		crashingUntil: map[string]time.Time{},
	}
}

func newWorld(s *Soak) (w *world, err error) {
	defer func() { err = trace.Wrap(err, "setting up the fleet") }()
	w = newEmptyWorld()
	w.soak, w.proxies = s, fault.NewProxySet()
	w.engineSlots, w.plainSlots = manyEngineSlots, manyPlainSlots
	if s.Seed%2 == 1 {
		w.engineSlots, w.plainSlots = fewEngineSlots, fewPlainSlots
	}
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
	if err := w.writeConfiguration(); err != nil {
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
	w.serverCount++
	id := fmt.Sprintf("%s-%d", service, w.serverCount)
	release := fmt.Sprintf("v1.%d", w.serverCount%releases)
	w.mu.Unlock()
	s := &server{startedAt: time.Now(), Server: &standin.Server{ID: id, Service: service, Zone: "zone-a", Truth: w.truth, CrashMarker: crashMarker, CrashPart: crashPart}}
	s.OnCrash = func() {
		w.recordCrash(s)
		// Its port refuses connections from now on.
		_ = w.proxies.Refuse(id)
		w.group.Go(func() error { return w.replaceServer(s) })
	}
	s.Slots, s.RunDuration = w.plainSlots, 5*time.Millisecond
	if service == "llm" {
		s.Release = release
		s.Slots, s.RunDuration, s.Events, s.EventInterval = w.engineSlots, 20*time.Millisecond, streamEvents, 25*time.Millisecond
	}
	if err := s.Open("127.0.0.1:0"); err != nil {
		return err
	}
	w.group.Go(s.Run)
	proxyAddress, err := w.proxies.Add(id, s.Address())
	if err != nil {
		return err
	}
	s.proxyAddress = proxyAddress
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return w.store.Register(s.Server, s.proxyAddress, false)
}

// writeConfiguration writes a new configuration. Each version adds a route of its own to those
// of the earlier versions, so that callers can find out which version is in force.
func (w *world) writeConfiguration() error {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	route := func(name, service string, kind standin.RouteKind, timeout, latencyTarget time.Duration, attempts int) standin.Route {
		return standin.Route{
			Name: name, Host: host, Path: "/" + name + "/", Service: service,
			Kind: kind, Timeout: timeout, LatencyTarget: latencyTarget, Attempts: attempts,
		}
	}
	plainTimeout := queuedTimeout
	if version%2 == 0 {
		plainTimeout = unqueuedTimeout
	}
	lookup := func(name string) standin.Route {
		return route(name, "api", standin.Lookup, plainTimeout, plainLatencyTarget, 2)
	}
	routes := []standin.Route{
		route(routeNames[standin.Stream], "llm", standin.Stream, 8*time.Second, 800*time.Millisecond, 1),
		route(routeNames[standin.ResumableStream], "llm", standin.ResumableStream, 8*time.Second, 800*time.Millisecond, 2),
		route(routeNames[standin.Booking], "api", standin.Booking, plainTimeout, plainLatencyTarget, 2),
		lookup(routeNames[standin.Lookup]),
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, lookup(fmt.Sprintf("probe-%d", v)))
	}
	err := w.store.WriteConfiguration(standin.Configuration{
		Version:         version * 3,
		Routes:          routes,
		Pools:           []standin.Pool{{Name: "llm", Slots: w.engineSlots}, {Name: "api"}},
		Customers:       map[string][]string{"ward": {"key-0"}, "camp": {"key-1"}},
		TokensPerSecond: 400000,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptedAt[version] = time.Now()
	return err
}

// addBox starts a router that reaches the store through a proxy.
func (w *world) addBox(name string) error {
	var addresses [3]string
	for i := range addresses {
		address, err := fleet.FreeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	store, err := w.proxies.Add(storeLink(name), w.store.Address())
	if err != nil {
		return err
	}
	peerHost, peerPort, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return err
	}
	file := filepath.Join(w.soak.Dir, name+".conf")
	boxSettings := standin.BoxSettings{
		Name: name, Zone: "zone-a", CallerAddress: addresses[0], ReadyAddress: addresses[1],
		PeerHost: peerHost, PeerPort: peerPort, StoreAddress: store, StopTimeout: maxStopDuration,
	}
	if err := os.WriteFile(file, []byte(boxSettings.Text()), 0o644); err != nil {
		return err
	}
	b := &box{callerAddress: addresses[0], readyAddress: addresses[1], Process: fleet.Process{
		Name:    name,
		Path:    filepath.Join(w.soak.Bin, "quaylead"),
		Args:    []string{"gateway", "--settings", file},
		LogFile: filepath.Join(w.soak.Dir, name+".log"),
	}}
	w.boxes = append(w.boxes, b)
	return b.start()
}

// storeLink returns the name of the proxy between a box and the store.
func storeLink(box string) string { return box + ">store" }

// stop is a planned stop of one process of a box.
type stop struct {
	incarnation int
	began       time.Time
}

// span is a period of time, and spans is a set of periods.
type (
	span  struct{ from, to time.Time }
	spans []span
)

// overlaps reports whether any of the periods overlaps another one.
func (s spans) overlaps(from, to time.Time) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.from.Before(to) && from.Before(one.to) })
}

// lastEnd returns the latest end of the periods that began before a time; from if none of them
// ends later.
func (s spans) lastEnd(from, before time.Time) time.Time {
	for _, one := range s {
		if one.from.Before(before) && one.to.After(from) {
			from = one.to
		}
	}
	return from
}

// start starts the process. A start counts as a fault, as the box has to catch up first.
func (b *box) start() error {
	b.mu.Lock()
	b.starts++
	b.mu.Unlock()
	b.recordFault(0)
	return b.Start()
}

// settleDelay is how long after the end of a fault the checks still allow delays: a box has to
// reconnect to its peers and read what it missed.
const settleDelay = 4 * time.Second

// recordFault records a fault of the box that begins now, together with the settleDelay after it.
func (b *box) recordFault(length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.faultTimes = append(b.faultTimes, span{from: now, to: now.Add(length + settleDelay)})
}

// incarnation returns the number of the current process, counted from 1.
func (b *box) incarnation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts
}

// recordSharedFault records a fault that affects all boxes and begins now.
func (w *world) recordSharedFault(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.sharedFaultTimes = append(w.sharedFaultTimes, span{from: now, to: now.Add(length + settleDelay)})
}

// recordLinkFault records a fault of the connections to a server that begins now.
func (w *world) recordLinkFault(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.linkFaultTimes = append(w.linkFaultTimes, span{from: now, to: now.Add(length)})
}

// recordServerFault records a fault of a server that begins now, together with the settleDelay after it.
func (w *world) recordServerFault(id string, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if s := w.serverWithID(id); s != nil {
		s.faultTimes = append(s.faultTimes, span{from: now, to: now.Add(length + settleDelay)})
	}
}

// serverWithID returns a server; nil if there is none. The caller holds the lock.
func (w *world) serverWithID(id string) *server {
	if i := slices.IndexFunc(w.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return w.servers[i]
	}
	return nil
}

func (w *world) awaitReady(ctx context.Context) error {
	for _, b := range w.boxes {
		err := fleet.Poll(ctx, func() (bool, error) { return b.isReady(), nil })
		if err != nil {
			return trace.Wrap(err, "waiting for %s:\n%s", b.Name, b.LogTail())
		}
	}
	return nil
}

func (b *box) isReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+b.readyAddress+platform.Translator{}.ReadyPath(), time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// close ends everything that the run started.
func (w *world) close() {
	for _, b := range w.boxes {
		b.processMu.Lock()
		b.Kill()
		b.processMu.Unlock()
	}
	w.mu.Lock()
	servers := slices.Clone(w.servers)
	w.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	w.store.Close()
	w.proxies.Close()
	// Serve functions return an error when their listener is closed.
	_ = w.group.Wait()
}
