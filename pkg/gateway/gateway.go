package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/keepalive"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/membership"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/registry"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/route"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Gateway is one box of the fleet. Its exported fields are set before Run.
type Gateway struct {
	Settings   Settings
	Translator Translator
	Store      registry.Store
	Logs       logflags.Logs
	Metrics    *Metrics
	// Suspended returns the total time that the machine has been suspended; nil reads it from
	// the system.
	Suspended func() (time.Duration, error)
	// DialPeer opens the connections to other boxes; nil means TCP.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)

	log         *zap.Logger
	incarnation uint64
	registry    *registry.Registry
	exchange    *peer.Exchange
	fleet       *membership.View
	// These fetch newer versions from other boxes.
	catalogFetcher, directoryFetcher, ordersFetcher fetcher
	// contactsWake triggers a new selection of the contacts. Capacity 1.
	contactsWake chan struct{}
	budget       *retryBudget
	health       *health
	// ledger records the ends of endpoints by the requests that they ran, and unconfirmed which of
	// these ends may still turn out to be wrong.
	ledger      quarantine.Ledger
	unconfirmed unconfirmedEnds
	// suspensions detects suspensions of the machine.
	suspensions suspensionTracker
	// attempts are those in progress, and coldSenders the plain endpoints that this box sends
	// to while they are cold.
	attempts    activeAttempts
	coldSenders coldSenders
	// rests holds until when endpoints asked this box to send them nothing.
	rests rests
	// continuations remembers at which release streams began.
	continuations continuations
	// rollouts moves services to other versions of their endpoints.
	rollouts rollouts
	// catalog is the last one applied to the pools.
	catalog *route.Catalog
	load    load
	// starting are the model requests that have not begun.
	starting startingRequests
	// memory accounts for what is kept for callers; nil if the memory is not bounded.
	memory *callerMemory
	// callers serves the connections of callers.
	callers *fasthttp.Server
	// work runs the goroutines that serve callers; they continue after the context of Run has
	// ended.
	work *errgroup.Group
	// workContext ends what is still in progress when the time for a planned stop is up.
	workContext context.Context
	cancelWork  context.CancelCauseFunc
	// runTimes tell which requests can still end while the box stops.
	runTimes runTimes
	stopping atomic.Bool
	// cutAt is when a planned stop ends what is still in progress. It is set before stopping is.
	cutAt time.Time
	// refusingStreams and refusing are set in the later phases of a planned stop: new
	// streams, which may take longer than the time left, are refused first.
	refusingStreams, refusing atomic.Bool
	startedAt                 time.Time
	// lastArrival is when the last request arrived, as a duration since startedAt: the wall
	// clock may jump.
	lastArrival atomic.Int64
	inFlight    atomic.Int64

	mu      sync.Mutex
	pools   map[string]*pool
	clients map[string]*endpoint.Client
}

// errStopTimeout ends requests that outlast a planned stop.
var errStopTimeout = errors.New("the time for the planned stop is up")

// Run serves until the context ends, and then performs a planned stop.
func (g *Gateway) Run(ctx context.Context) (err error) {
	defer func() { err = trace.Wrap(err, "running box %s", g.Settings.Name) }()
	g.prepare()
	g.limitMemory()
	callers, ready, peers, err := g.listen()
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	g.work = &errgroup.Group{}
	g.workContext, g.cancelWork = context.WithCancelCause(background)
	g.callers = g.callerServer()
	readyServer := g.readyServer()
	group.Go(func() error { return g.exchange.Run(background, peers) })
	group.Go(func() error { return g.registry.Run(background) })
	group.Go(func() error { return g.maintainContacts(background) })
	group.Go(func() error { return readyServer.Serve(ready) })
	group.Go(func() error { return g.callers.Serve(callers) })
	group.Go(func() error { return g.reportCounts(background) })
	group.Go(func() error { return g.reportCustomers(background) })
	group.Go(func() error { return g.sweepIdle(background) })
	group.Go(func() error { return g.memory.run(background) })
	group.Go(func() error { return g.dropIdle(background) })
	group.Go(func() error {
		interval.Every(background, coldSenderInterval, g.updateColdSenders)
		return nil
	})
	group.Go(func() error {
		interval.Every(background, endCheckInterval, g.retractEnds)
		return nil
	})
	group.Go(func() error {
		interval.Every(background, ledgerExpiryInterval, func() { g.ledger.Expire(time.Now()) })
		return nil
	})
	group.Go(func() error {
		interval.Every(background, suspensionCheckInterval, g.checkSuspension)
		return nil
	})
	group.Go(func() error {
		interval.Every(background, originInterval, g.continuations.refresh)
		return nil
	})
	group.Go(func() error { return g.rollouts.run(background) })
	group.Go(func() error { return g.load.measure(background, g.reportOverload) })
	g.log.Info("box started",
		zap.String("Box", g.Settings.Name),
		zap.String("Zone", g.Settings.Zone),
		zap.String("PeerAddress", g.Settings.PeerAddress),
		zap.Uint64("Incarnation", g.incarnation))
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		stopErr := g.stop(g.callers)
		stopBackground()
		return trace.NewAggregate(stopErr, readyServer.Shutdown())
	})
	return group.Wait()
}

// limitMemory sets the runtime's soft memory limit, so that garbage is collected in time on a
// small box.
func (g *Gateway) limitMemory() {
	if g.Settings.MaxMemory > 0 {
		debug.SetMemoryLimit(int64(float64(g.Settings.MaxMemory) * runtimeMemoryShare))
	}
}

func (g *Gateway) prepare() {
	g.log = g.Logs.For(logflags.Box)
	g.incarnation = rand.Uint64()
	g.startedAt = time.Now()
	g.pools = map[string]*pool{}
	g.clients = map[string]*endpoint.Client{}
	g.health = &health{log: g.Logs.For(logflags.Pool), coldFraction: g.coldSenders.fraction, rests: &g.rests}
	if g.Metrics == nil {
		g.Metrics = &Metrics{}
	}
	g.continuations.gateway, g.continuations.log = g, g.Logs.For(logflags.Peer)
	g.continuations.maxAge.Store(int64(maxRequestTimeout))
	g.starting.configure(g.Settings.Cores)
	g.rollouts.gateway, g.rollouts.log = g, g.Logs.For(logflags.Rollout)
	g.suspensions.Total = g.Suspended
	g.checkSuspension()
	self := registry.Box{
		Name:        g.Settings.Name,
		Zone:        g.Settings.Zone,
		PeerAddress: g.Settings.PeerAddress,
		Cores:       g.Settings.Cores,
	}
	g.fleet = &membership.View{}
	g.contactsWake = make(chan struct{}, 1)
	g.registry = &registry.Registry{
		Store:               g.Store,
		Self:                self,
		Log:                 g.Logs.For(logflags.Platform),
		Changed:             g.applyChanges,
		FoundBoxes:          g.recordListedBoxes,
		Polled:              func() { g.exchange.SendNow() },
		LiveBoxes:           g.liveBoxes,
		CountOtherFollowers: func() int { return g.fleet.CountFollowers() - 1 },

		IsFollower:           g.fleet.IsFollower,
		StartRank:            g.fleet.StartRank,
		LiveAhead:            g.fleet.LiveAhead,
		FullReadStarted:      g.Metrics.FullRead,
		StoreLost:            g.announceStoreState,
		IsStoreLostElsewhere: g.fleet.AnyStoreLost,
		MaxLeavingDelay:      g.Settings.MaxLeavingDelay,
		FirstStart:           g.Settings.FirstStart,
		FirstStartConfirmed:  g.confirmFirstStart,
		Quarantine:           &g.ledger,
	}
	g.exchange = &peer.Exchange{
		Box:         g.peerSettings(),
		Incarnation: g.incarnation,
		States:      g,
		Handler:     g,
		Directory:   g,
		Orders:      g,
		Rows:        g.fleet,
		RowsDelay:   g.fleet.RowsDelay,
		Ends:        &g.ledger,
		Dispatch:    g,
		Rollouts:    g,
		Origins:     g,
		Dial:        g.DialPeer,
		Cores:       g.Settings.Cores,
		Log:         g.Logs.For(logflags.Peer),

		Departures: g.registry,
	}
	g.fleet.Self = g.exchange.Self()
	g.memory = newCallerMemory(g)
	g.catalogFetcher = fetcher{localVersion: g.catalogVersion, fetch: g.fetchCatalog}
	g.directoryFetcher = fetcher{localVersion: g.knownVersion, fetch: g.fetchDirectory}
	g.ordersFetcher = fetcher{localVersion: g.ordersVersion, fetch: g.fetchOrders}
	g.budget = &retryBudget{settings: g.Settings, peers: g.fleet.CountLive, randomDraw: rand.Float64()}
}

// peerSettings returns this box's settings in the form that the peer exchange takes.
func (g *Gateway) peerSettings() settings.Box {
	own := settings.DefaultBox()
	own.Name = g.Settings.Name
	own.Zone = g.Settings.Zone
	own.PeerAddress = g.Settings.PeerAddress
	own.OperatorAddress = g.Settings.ReadyAddress
	own.Exchange = settings.Exchange{
		Interval:    settings.Duration{Duration: peerInterval},
		Heartbeat:   settings.Duration{Duration: peerHeartbeat},
		Lapse:       settings.Duration{Duration: peerTimeout},
		DialTimeout: settings.Duration{Duration: peerDialTimeout},
	}
	return own
}

func (g *Gateway) listen() (callers, ready, peers net.Listener, err error) {
	if callers, err = g.listenAt(g.Settings.CallerAddress, g.memory.kernelBuffer()); err != nil {
		return nil, nil, nil, err
	}
	if ready, err = g.listenAt(g.Settings.ReadyAddress, 0); err != nil {
		return nil, nil, nil, err
	}
	peers, err = g.listenAt(g.Settings.PeerAddress, 0)
	return g.memory.listener(callers), ready, peers, err
}

func (g *Gateway) listenAt(address string, kernelBuffer int) (net.Listener, error) {
	listener, err := keepalive.Listen(address, deadConnectionTimeout, kernelBuffer)
	if err != nil {
		return nil, err
	}
	return retryingListener{Listener: listener, log: g.log}, nil
}

// callerServer returns the server for callers. It leaves paths and header names as they were
// sent.
func (g *Gateway) callerServer() *fasthttp.Server {
	server := &fasthttp.Server{
		Handler:                       g.serve,
		ErrorHandler:                  g.refuseMalformed,
		HeaderReceived:                g.receiveHeader,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		ReadBufferSize:                maxHeadBytes,
		ReduceMemoryUsage:             true,
		Concurrency:                   g.Settings.maxCallers(),
		StreamRequestBody:             true,
		ReadTimeout:                   readTimeout,
		WriteTimeout:                  writeTimeout,
		IdleTimeout:                   idleTimeout,
		CloseOnShutdown:               true,
		Logger:                        debugLogger{g.Logs.For(logflags.Caller)},
	}
	g.memory.attach(server)
	return server
}

// receiveHeader has the handler read the body of a request whose header was read.
func (g *Gateway) receiveHeader(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	request.KeepOrder(header)
	return fasthttp.RequestConfig{MaxRequestBodySize: prefetchedBodyBytes}
}

// debugLogger logs the messages of the HTTP library at the debug level.
type debugLogger struct {
	log *zap.Logger
}

// Printf logs a message of the library.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Sugar().Debugf(format, args...)
}

func (g *Gateway) readyServer() *fasthttp.Server {
	path := g.Translator.ReadyPath()
	return &fasthttp.Server{
		NoDefaultServerHeader: true,
		// Bodies are not read.
		GetOnly: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch {
			case string(ctx.Path()) == MetricsPath:
				g.writeMetrics(ctx)
			case string(ctx.Path()) != path:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			case !g.isReady():
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
		Logger: debugLogger{g.Logs.For(logflags.Caller)},
	}
}

// isReady reports whether this box accepts new connections of callers.
func (g *Gateway) isReady() bool {
	return !g.stopping.Load() && !g.suspensions.refreshing.Load() && !g.load.isBusy(time.Now()) && g.usedConnections() < fullConnections && g.registry.Catalog() != nil && g.registry.Directory() != nil
}

// reportOverload logs that a time begins in which this box is not ready for new callers.
func (g *Gateway) reportOverload() {
	g.log.Warn("overloaded, not ready for a while",
		zap.Duration("ProcessorWait", g.load.meanDelay()),
		zap.Int64("InFlight", g.inFlight.Load()),
		zap.Duration("For", minBusyTime))
}

// stop performs a planned stop. The box is no longer ready, but serves on until the balancer
// has noticed, and for longer while the balancer still sends callers, as it does if too few
// boxes of a zone are ready. It refuses requests that are not expected to end in time, then new
// streams and later all new requests, finishes what is in progress, and cuts the rest.
func (g *Gateway) stop(callers *fasthttp.Server) error {
	began := time.Now()
	g.cutAt = began.Add(g.Settings.StopTimeout - stopReserve)
	g.stopping.Store(true)
	g.announceState()
	g.log.Info("planned stop began", zap.Int64("InFlight", g.inFlight.Load()))
	_ = interval.Wait(context.Background(), min(balancerDelay, g.Settings.StopTimeout/2))
	g.refusingStreams.Store(true)
	g.logStopPhase("planned stop refuses new streams", began)
	g.awaitNoArrivals(began.Add(g.Settings.StopTimeout / 2))
	g.refusing.Store(true)
	g.logStopPhase("planned stop refuses all new requests", began)
	g.awaitNoArrivals(began.Add(g.Settings.StopTimeout - 2*stopReserve))
	g.logStopPhase("planned stop closes connections that have no request", began)
	remaining := time.Until(g.cutAt)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	stopCut := context.AfterFunc(ctx, func() { g.cancelWork(errStopTimeout) })
	defer stopCut()
	shutdownContext, cancelShutdown := context.WithTimeout(context.Background(), remaining+stopReserve/2)
	defer cancelShutdown()
	err := callers.ShutdownWithContext(shutdownContext)
	g.memory.awaitClosed(shutdownContext)
	g.log.Info("planned stop ended", zap.Duration("After", time.Since(began)), zap.Int64("InFlight", g.inFlight.Load()), zap.Error(err))
	g.cancelWork(errStopTimeout)
	return nil
}

// endsBeforeCut reports whether a request of a route with a time limit, arriving now at a stopping box, is
// expected to end before the box cuts what is in progress.
func (g *Gateway) endsBeforeCut(of *route.Route, limit time.Duration) bool {
	return g.runTimes.expected(of, limit) <= time.Until(g.cutAt)
}

// logStopPhase logs the beginning of a phase of the planned stop. Requests in flight that end later
// were not ended by an earlier phase.
func (g *Gateway) logStopPhase(phase string, began time.Time) {
	g.log.Info(phase, zap.Duration("After", time.Since(began)), zap.Int64("InFlight", g.inFlight.Load()))
}

const (
	// noArrivalsTime is how long no request must have arrived before a stopping box assumes that
	// the balancer sends no more: the interval of the balancer's checks.
	noArrivalsTime = time.Second
	// arrivalCheckInterval is the time between two checks of whether requests arrive.
	arrivalCheckInterval = 100 * time.Millisecond
)

// awaitNoArrivals waits until no request has arrived for noArrivalsTime, or until the given time.
func (g *Gateway) awaitNoArrivals(until time.Time) {
	for time.Now().Before(until) {
		if time.Since(g.startedAt)-time.Duration(g.lastArrival.Load()) > noArrivalsTime {
			return
		}
		_ = interval.Wait(context.Background(), arrivalCheckInterval)
	}
}
