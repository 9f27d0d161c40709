package router

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/quaylead/quaylead/pkg/box"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Status is the response to /status, for operators.
type Status struct {
	Box         string
	Zone        string
	Incarnation uint64
	Revision    uint64
	// InForceSince is when this box put the revision into force.
	InForceSince time.Time
	// Platform is how this box accesses the platform, for operators' commands.
	Platform settings.Platform
	Stopping bool
	InFlight int64
	Members  []box.Member
	// ControlSent and ControlReceived are the bytes exchanged with peers.
	ControlSent     int64
	ControlReceived int64
}

// operatorTimeout bounds an operator's call.
const operatorTimeout = 10 * time.Second

func (r *Router) operatorServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:      r.serveOperator,
		Name:         "quaylead",
		ReadTimeout:  operatorTimeout,
		WriteTimeout: operatorTimeout,
		IdleTimeout:  operatorTimeout,
	}
}

func (r *Router) serveOperator(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		r.serveReady(ctx)
	case "/status":
		r.serveStatus(ctx)
	case "/look":
		r.serveCheckHead(ctx)
	case "/drain":
		r.serveDrain(ctx)
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveReady reports to the balancer whether to send callers here, and why not.
func (r *Router) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case r.stopping.Load():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("stopping\n")
	case r.current.Load() == nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("no settings yet: the store and all peers are out of reach, or nothing was accepted\n")
	default:
		ctx.SetBodyString("ready\n")
	}
}

// serveCheckHead checks for accepted settings at once, for an operator who has just
// had some accepted.
func (r *Router) serveCheckHead(ctx *fasthttp.RequestCtx) {
	if err := r.checkHead(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	}
}

// serveDrain starts a planned stop, as SIGTERM does.
func (r *Router) serveDrain(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("a planned stop is asked for by POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	r.stopOnce.Do(func() { close(r.stopRequested) })
}

// inForceSince returns when the settings came into force; zero when there are none.
func (r *Router) inForceSince() time.Time {
	if current := r.current.Load(); current != nil {
		return current.since
	}
	return time.Time{}
}

func (r *Router) serveStatus(ctx *fasthttp.RequestCtx) {
	status := Status{
		Box:             r.Box.Name,
		Zone:            r.Box.Zone,
		Incarnation:     r.incarnation,
		Revision:        r.revision(),
		InForceSince:    r.inForceSince(),
		Platform:        r.Box.Platform,
		Stopping:        r.stopping.Load(),
		InFlight:        r.inFlight.Load(),
		Members:         r.members.Live(),
		ControlSent:     r.exchange.Traffic.Sent.Load(),
		ControlReceived: r.exchange.Traffic.Received.Load(),
	}
	body, err := json.Marshal(status)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
