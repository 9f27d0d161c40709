// Package router serves callers: it identifies customers, queues their
// requests, sends them to endpoints and forwards the responses.
package router

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/box"
	"github.com/quaylead/quaylead/pkg/certificate"
	"github.com/quaylead/quaylead/pkg/claim"
	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/pool"
	"github.com/quaylead/quaylead/pkg/record"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Router is the router of one box. Its exported fields are set before Run.
type Router struct {
	// Box is the settings of this box.
	Box settings.Box
	// Initial is the fleet's initial settings; nil means none.
	Initial *settings.Fleet
	// Metrics are updated by the router; the program publishes them.
	Metrics *record.Metrics

	logs        logflags.Logs
	log         *zap.Logger
	incarnation uint64
	members     box.Members
	exchange    *peer.Exchange
	store       *platform.Store
	claims      *claim.Registry
	current     atomic.Pointer[view]
	// stopping is set once a planned stop began; it is never cleared.
	stopping atomic.Bool
	inFlight atomic.Int64
	// stopRequested is closed once an operator requests a planned stop.
	stopRequested chan struct{}
	stopOnce      sync.Once

	mu      sync.Mutex
	pools   map[string]*pool.Pool
	clients map[string]*endpoint.Client
	// leavingAddresses are the addresses of the endpoints that the box list shows
	// as leaving.
	leavingAddresses map[string]bool
}

// listeners are the listening sockets of one box.
type listeners struct {
	caller, operator, peer net.Listener
}

// Run serves until the context ends, and then makes a planned stop: it takes no new
// work, finishes what is in flight, and logs how much is left at the time limit.
func (r *Router) Run(ctx context.Context) (err error) {
	defer func() { err = trace.Wrap(err, "running box %s", r.Box.Name) }()
	if err := r.prepare(); err != nil {
		return err
	}
	sockets, err := r.listen()
	if err != nil {
		return err
	}
	// The goroutines that serving callers depends on outlive ctx by the time of a
	// drain.
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return r.exchange.Run(workCtx, sockets.peer) })
	group.Go(func() error { return r.claims.Run(workCtx) })
	group.Go(func() error { return r.pollHead(workCtx) })
	group.Go(func() error { return r.pollBoxList(workCtx) })
	group.Go(func() error { return r.updatePeerDemand(workCtx) })
	group.Go(func() error { return r.pollReports(workCtx) })
	operators := r.operatorServer()
	group.Go(func() error { return operators.Serve(sockets.operator) })
	callers := r.callerServer()
	group.Go(func() error { return callers.Serve(sockets.caller) })
	r.log.Info("box started",
		zap.String("Box", r.Box.Name),
		zap.String("Zone", r.Box.Zone),
		zap.String("Callers", r.Box.CallerAddress))
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-r.stopRequested:
		case <-workCtx.Done():
		}
		drainErr := r.drain(callers)
		stopWork()
		return trace.NewAggregate(drainErr, operators.Shutdown())
	})
	return group.Wait()
}

func (r *Router) prepare() error {
	r.logs = logflags.Logs{Settings: r.Box.Log}
	r.log = r.logs.For(logflags.Box)
	r.incarnation = rand.Uint64()
	r.stopRequested = make(chan struct{})
	r.pools = map[string]*pool.Pool{}
	r.clients = map[string]*endpoint.Client{}
	if r.Metrics == nil {
		r.Metrics = &record.Metrics{}
	}
	r.store = &platform.Store{Settings: r.Box.Platform}
	r.claims = &claim.Registry{Store: r.store, Box: r.Box.Name, NewNonce: newID}
	r.exchange = &peer.Exchange{
		Box:         r.Box,
		Incarnation: r.incarnation,
		States:      r,
		Handler:     r,
		Log:         r.logs.For(logflags.Peer),
	}
	if err := r.preparePeerTLS(); err != nil {
		return err
	}
	if r.Initial == nil {
		return nil
	}
	snapshot, err := settings.EncodeSnapshot(r.Initial)
	if err != nil {
		return err
	}
	return r.apply(0, snapshot)
}

func (r *Router) listen() (sockets listeners, err error) {
	if sockets.caller, err = net.Listen("tcp", r.Box.CallerAddress); err != nil {
		return sockets, err
	}
	if sockets.operator, err = net.Listen("tcp", r.Box.OperatorAddress); err != nil {
		return sockets, err
	}
	if sockets.peer, err = net.Listen("tcp", r.Box.PeerAddress); err != nil {
		return sockets, err
	}
	if r.Box.TLS.CertificateFile == "" {
		return sockets, nil
	}
	config, err := certificate.CallerConfig(&certificate.Pair{
		CertificateFile: r.Box.TLS.CertificateFile,
		KeyFile:         r.Box.TLS.KeyFile,
	})
	if err != nil {
		return sockets, err
	}
	sockets.caller = tls.NewListener(sockets.caller, config)
	return sockets, nil
}

// preparePeerTLS sets up TLS between boxes if certificate files are set.
func (r *Router) preparePeerTLS() (err error) {
	files := r.Box.TLS
	if files.PeerCertificateFile == "" {
		return nil
	}
	pair := &certificate.Pair{CertificateFile: files.PeerCertificateFile, KeyFile: files.PeerKeyFile}
	r.exchange.TLS, err = certificate.PeerConfig(pair, files.PeerAuthorityFile)
	return err
}

// callerServer returns the server for callers, with the limits of the settings.
func (r *Router) callerServer() *fasthttp.Server {
	limits := r.Box.Limits
	return &fasthttp.Server{
		Handler:      r.serveCaller,
		ErrorHandler: r.refuseMalformed,
		HeaderReceived: func(header *fasthttp.RequestHeader) (config fasthttp.RequestConfig) {
			request.KeepOrder(header)
			return config
		},
		Name:                         "quaylead",
		Concurrency:                  limits.Connections,
		MaxConnsPerIP:                limits.ConnectionsPerIP,
		ReadBufferSize:               limits.HeaderBytes,
		MaxRequestBodySize:           limits.BodyBytes,
		ReadTimeout:                  limits.ReadTimeout.Duration,
		WriteTimeout:                 limits.WriteTimeout.Duration,
		IdleTimeout:                  limits.IdleTimeout.Duration,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       debugLogger{r.logs.For(logflags.Caller)},
	}
}

// debugLogger logs the messages of the HTTP library at the debug level.
type debugLogger struct {
	log *zap.Logger
}

// Printf logs a message of the library.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Sugar().Debugf(format, args...)
}

// drain makes a planned stop. The readiness check fails at once; connections are
// accepted for a little longer, until the balancer has noticed.
func (r *Router) drain(callers *fasthttp.Server) error {
	r.stopping.Store(true)
	r.exchange.SendNow()
	r.log.Info("planned stop began", zap.Int64("InFlight", r.inFlight.Load()))
	time.Sleep(r.Box.Limits.DrainWait.Duration)
	ctx, cancel := context.WithTimeout(context.Background(), r.Box.Limits.DrainTimeout.Duration)
	defer cancel()
	err := callers.ShutdownWithContext(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		r.log.Error("planned stop passed its limit", zap.Int64("InFlight", r.inFlight.Load()))
		return err
	}
	r.log.Info("planned stop ended", zap.Int64("InFlight", r.inFlight.Load()))
	return err
}

// pool returns the named pool of the settings in force, or nil.
func (r *Router) pool(name string) *pool.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[name]
}

// allPools returns a copy of the pools by name.
func (r *Router) allPools() map[string]*pool.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pools := make(map[string]*pool.Pool, len(r.pools))
	for name, p := range r.pools {
		pools[name] = p
	}
	return pools
}

// client returns the client of an endpoint's address. When the settings change its
// timeouts, a new client replaces it; calls in flight keep the old one.
func (r *Router) client(address string, rules *settings.Pool) *endpoint.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	client := r.clients[address]
	if client != nil && client.ConnectTimeout == rules.ConnectTimeout.Duration &&
		client.StallTimeout == rules.StallTimeout.Duration {
		return client
	}
	if client != nil {
		client.Close()
	}
	client = &endpoint.Client{
		Address:        address,
		ConnectTimeout: rules.ConnectTimeout.Duration,
		StallTimeout:   rules.StallTimeout.Duration,
		HeaderBytes:    r.Box.Limits.HeaderBytes,
	}
	r.clients[address] = client
	return client
}

// apply puts settings into force. Settings that do not decode change nothing.
func (r *Router) apply(revision uint64, snapshot []byte) (err error) {
	defer func() { err = trace.Wrap(err, "applying settings revision %d", revision) }()
	fleet, err := settings.DecodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.current.Load(); current != nil && revision <= current.revision {
		return nil
	}
	for name, rules := range fleet.Pools {
		r.configure(name, rules, fleet.Customers)
	}
	r.current.Store(newView(revision, snapshot, fleet))
	r.exchange.SendNow()
	r.logs.For(logflags.Settings).Info("settings in force", zap.Uint64("Revision", revision))
	return nil
}

func (r *Router) configure(name string, rules settings.Pool, customers map[string]settings.Customer) {
	p := r.pools[name]
	if p == nil {
		p = &pool.Pool{Schedule: pool.Schedule{
			Name: name,
			Zone: r.Box.Zone,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}}
		r.pools[name] = p
	}
	p.Do(func(s *pool.Schedule, now time.Time) {
		s.Configure(rules, customers)
		s.SetLeaving(r.leavingAddresses)
	})
}
