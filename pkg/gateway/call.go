package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/partition"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// The causes that end a request before its response is complete.
var (
	errCallerGone   = errors.New("the caller went away")
	errDeadline     = errors.New("the caller's deadline passed")
	errNotRead      = errors.New("the caller did not read its answer")
	errRouteTimeout = errors.New("the route's time limit passed")
)

// requestFacts are what is known of a caller's request. They do not change once it was identified.
type requestFacts struct {
	gateway *Gateway
	http    *fasthttp.RequestCtx
	RequestInfo
	arrived time.Time
	// deadline is when the caller's timeout or the route's ends. Time for which the machine was
	// suspended counts towards it although the clock stood still: suspendedTotal is the total of
	// the suspensions when the request arrived.
	deadline       time.Time
	suspendedTotal time.Duration
	// deadlineCause is the cause with which the deadline ends the request.
	deadlineCause error
	route         *route.Route
	service       route.Service
	// queuesPlain is set if requests to the service, a plain one, are queued for its slots.
	queuesPlain bool
	customer    string
	// fingerprint identifies repeats of the request.
	fingerprint quarantine.Fingerprint
	// zones are the availability zones in which the request may be served; empty means any.
	zones []string
	// originKnownBy is the box that knew which release began a stream that the request takes up.
	originKnownBy string
}

// attemptRecord is what the attempts of a request have come to.
type attemptRecord struct {
	lifecycle request.Lifecycle
	// excluded are the IDs of the endpoints that failed this request.
	excluded []string
	// unreachable counts the endpoints that accepted no connection.
	unreachable int
	// reserved is a retry that was reserved and not yet sent, if any.
	reserved reservation
}

// call is one caller's request on its way through the gateway, or a second attempt of it beside the first.
type call struct {
	requestFacts
	attemptRecord
	// hedge is the second attempt that the call makes; nil for the first one.
	hedge *hedge

	// ctx ends with the deadline, or when the caller disconnects.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// watcher waits until the caller closes the connection.
	watcher errgroup.Group
	// begunAt selects the release that sent the first event which the caller received; the zero
	// value while it received none. Events of different releases do not fit together.
	begunAt rollout.VersionFilter
	// attemptBegan is set once the endpoint of the current attempt has sent an event.
	attemptBegan bool
	// progressAt is when the current attempt began or, if later, its endpoint last sent an event.
	progressAt time.Time
	// guard ends the current attempt, and hedger begins another one beside it.
	guard  *guard
	hedger *hedger
	// left is the engine that was left for one that answered first, to which the request may go back; nil if
	// there is none.
	left *destination
	// backAt is the ID of the engine that the request went back to; empty if it did not.
	backAt string
	// starting is set while the request counts towards Gateway.starting.
	starting bool
	// streaming is set once the response's stream owns the call; the stream then finishes it.
	streaming bool
}

// serve handles one request.
func (g *Gateway) serve(http *fasthttp.RequestCtx) {
	g.inFlight.Add(1)
	c := &call{requestFacts: requestFacts{gateway: g, http: http, arrived: time.Now()}}
	refusal := c.receiveBody()
	isUnread := refusal != nil
	// The time that a caller takes to send its body is not the request's.
	c.arrived = time.Now()
	g.lastArrival.Store(int64(c.arrived.Sub(g.startedAt)))
	if refusal == nil {
		refusal = c.run()
	}
	if refusal != nil {
		c.refuse(c.withEarlierAttempts(refusal))
	}
	if isUnread || g.stopping.Load() || g.load.isShedding(time.Now()) || g.usedConnections() >= scarceConnections {
		http.SetConnectionClose()
	}
	if !c.streaming {
		c.finish()
	}
}

// withEarlierAttempts replaces a refusal which states that the request did not run, if an
// earlier attempt may have run it.
func (c *call) withEarlierAttempts(refusal *request.Refusal) *request.Refusal {
	if refusal.Run != request.NotRun || c.lifecycle.RunStatus() == request.NotRun {
		return refusal
	}
	return &request.Refusal{
		Code:    request.EndpointFailed,
		Message: "an earlier attempt may have run; " + refusal.Message,
		Run:     c.lifecycle.RunStatus(),
	}
}

// finish stops watching the caller's connection and releases what the request holds.
func (c *call) finish() {
	defer c.gateway.inFlight.Add(-1)
	c.finishStart()
	if c.cancel == nil {
		return
	}
	c.recordOverrun()
	c.hedger.close()
	c.guard.stop()
	c.gateway.continuations.end(c)
	c.gateway.suspensions.remove(c)
	c.cancel(nil)
	conn := c.http.Conn()
	// The watcher must have returned before the connection is read again.
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.watcher.Wait()
	_ = conn.SetReadDeadline(time.Time{})
}

// recordRunTime records how long the request took until its response was complete. Errors of endpoints are
// left out, because they often come sooner.
func (c *call) recordRunTime() { c.gateway.runTimes.record(c.route.Name, time.Since(c.arrived)) }

// recordOverrun records how long the request took if it ran until its limit ended it.
func (c *call) recordOverrun() {
	cause := contextCause(c)
	if (errors.Is(cause, errDeadline) || errors.Is(cause, errRouteTimeout)) && c.lifecycle.RunStatus() != request.NotRun {
		c.recordRunTime()
	}
}

// run identifies the request's route, customer and service, and serves it.
func (c *call) run() (refusal *request.Refusal) {
	catalog := c.gateway.registry.Catalog()
	if catalog == nil || c.gateway.registry.Directory() == nil {
		return notRun(request.NotReady, "this box has no configuration yet", time.Second)
	}
	info, err := c.gateway.Translator.ParseRequest(&c.http.Request.Header)
	c.RequestInfo = info
	connOf(c.http).name(c.ID)
	if err != nil {
		return notRun(request.InvalidRequest, err.Error(), 0)
	}
	if refusal := c.identify(catalog); refusal != nil {
		return refusal
	}
	if limit := catalog.Limits.BodyBytes; limit > 0 && len(c.http.Request.Body()) > limit {
		return notRun(request.TooLarge, "the body is larger than "+strconv.Itoa(limit)+" bytes", 0)
	}
	if refusal := c.refuseStopping(); refusal != nil {
		return refusal
	}
	c.gateway.budget.earn(c.service.Name)
	if refusal := c.refuseEarly(); refusal != nil {
		return refusal
	}
	header := &c.http.Request.Header
	c.fingerprint = quarantine.FingerprintOf(header.Method(), header.RequestURI(), []byte(c.customer), c.http.Request.Body())
	if refusal := c.refuseQuarantined(); refusal != nil {
		return refusal
	}
	c.gateway.checkSuspension()
	if c.gateway.suspensions.refreshing.Load() {
		return notRun(request.NotReady, "the machine of this box was suspended, and it looks again", otherBoxRetryDelay)
	}
	c.watch()
	if refusal := c.takeUp(); refusal != nil {
		return refusal
	}
	return c.serveEndpoints()
}

// refuseStopping refuses a request that a stopping box does not take: in the later phases of the stop, or
// because it is not expected to end before the stop does.
func (c *call) refuseStopping() *request.Refusal {
	g := c.gateway
	if !g.stopping.Load() {
		return nil
	}
	if g.refusing.Load() || (c.route.Streaming && g.refusingStreams.Load()) {
		return notRun(request.NotReady, "this box is stopping", otherBoxRetryDelay)
	}
	if limit, _ := c.timeLimit(); !g.endsBeforeCut(c.route, limit) {
		return notRun(request.NotReady, "this box is stopping, and the request may take longer than that", otherBoxRetryDelay)
	}
	return nil
}

func notRun(code request.Code, message string, retryAfter time.Duration) *request.Refusal {
	return &request.Refusal{Code: code, Message: message, Run: request.NotRun, RetryAfter: retryAfter}
}

// identify finds the route, the customer and the service.
func (c *call) identify(catalog *route.Catalog) *request.Refusal {
	header := &c.http.Request.Header
	c.route = catalog.Find(string(header.Host()), pathOf(string(header.RequestURI())))
	if c.route == nil {
		return notRun(request.NoSuchPath, "there is no such route", 0)
	}
	regionLists := [][]string{c.route.AllowedRegions}
	if customer := catalog.CustomerOf(c.Key); customer != nil {
		c.customer = customer.Name
		regionLists = append(regionLists, customer.AllowedRegions)
	} else if !c.route.Anonymous && len(catalog.Customers) > 0 {
		return notRun(request.InvalidKey, "the key is not known", 0)
	}
	name := c.drawService()
	service, known := catalog.Services[name]
	if !known {
		service = route.Service{Name: name}
	}
	c.service, c.queuesPlain = service, catalog.QueuesPlain(name)
	var allowed bool
	if c.zones, allowed = c.gateway.Settings.allowedZones(regionLists...); !allowed {
		return notRun(request.NoEndpoint, "no availability zone lies in a region in which the request may be served", noRegionRetryDelay)
	}
	return nil
}

// drawService draws one of the services of the route. For a stream that may be resumed it depends on
// the request that began it, so that it goes on at the same service.
func (c *call) drawService() string {
	point := rand.Float64()
	if c.route.Resumable {
		point = 1 - partition.Uniform(xxhash.Sum64String(c.streamID()))
	}
	return c.route.Pick(point)
}

// pathOf returns the path of a request target, without the query.
func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// timeLimit returns the time after which the request is ended, and with which cause.
func (c *call) timeLimit() (limit time.Duration, cause error) {
	limit, cause = c.Timeout, errDeadline
	if limit == 0 || (c.route.Timeout > 0 && c.route.Timeout < limit) {
		limit, cause = c.route.Timeout, errRouteTimeout
	}
	if limit == 0 {
		limit = maxRequestTimeout
	}
	return limit, cause
}

// watch sets the request's deadline and cancels the request when the caller disconnects.
func (c *call) watch() {
	wait, cause := c.timeLimit()
	c.deadline, c.deadlineCause = c.arrived.Add(wait), cause
	c.suspendedTotal = c.gateway.suspensions.Detected()
	ctx, cancel := context.WithCancelCause(c.gateway.workContext)
	var stopTimer context.CancelFunc
	c.ctx, stopTimer = context.WithDeadlineCause(ctx, c.deadline, cause)
	c.cancel = func(cause error) {
		cancel(cause)
		stopTimer()
	}
	c.gateway.suspensions.add(c)
	conn := c.http.Conn()
	c.watcher.Go(func() error {
		switch {
		case endpoint.AwaitClose(conn):
			cancel(errCallerGone)
		case connOf(c.http).isCut():
			cancel(errNotRead)
		}
		return nil
	})
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration {
	return time.Until(c.deadline) - (c.gateway.suspensions.Detected() - c.suspendedTotal)
}

// endAfter ends the request after a time, if it is still in progress.
func (c *call) endAfter(length time.Duration) {
	time.AfterFunc(length, func() { c.cancel(c.deadlineCause) })
}

// tokens returns the cost of a model request; 0 for others.
func (c *call) tokens() int64 {
	if !c.isModel() {
		return 0
	}
	return int64(c.Prompt.Cost())
}

func (c *call) log() *zap.Logger {
	return c.gateway.Logs.For(logflags.Caller)
}

// refuse writes a refusal as the response.
func (c *call) refuse(refusal *request.Refusal) {
	c.gateway.Metrics.Refused(string(refusal.Code))
	routeName := ""
	if c.route != nil {
		routeName = c.route.Name
	}
	c.log().Info("request refused",
		zap.String("Request", c.ID),
		zap.String("Customer", c.customer),
		zap.String("Route", routeName),
		zap.String("Service", c.service.Name),
		zap.String("Code", string(refusal.Code)),
		zap.Int("Status", refusal.Status()),
		zap.String("Run", string(refusal.Run)),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.Int64("Tokens", c.tokens()),
		zap.Duration("Age", time.Since(c.arrived)),
		zap.Duration("RetryAfter", refusal.RetryAfter),
		zap.String("Reason", refusal.Message))
	refusal.Write(&c.http.Response, c.ID)
	if refusal.RetryAfter > 0 {
		c.http.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if refusal.Code == request.CallerGone {
		c.http.SetConnectionClose()
	}
}

// refuseMalformed responds to input that is not an HTTP request within the limits.
func (g *Gateway) refuseMalformed(http *fasthttp.RequestCtx, err error) {
	g.Logs.For(logflags.Caller).Info("malformed request", zap.Error(err))
	refusal := notRun(request.InvalidRequest, "the request is malformed, too large or too slow", 0)
	refusal.Write(&http.Response, "")
	http.SetConnectionClose()
}

// forwardHead starts the caller's response with the endpoint's status and headers.
func (c *call) forwardHead(response *endpoint.Response) {
	out := &c.http.Response
	response.Head.CopyTo(&out.Header)
	out.Header.DisableNormalizing()
	out.Header.SetNoDefaultContentType(true)
	request.DeleteConnectionFields(&out.Header)
}

// logEndpointError logs a forwarded response that is an endpoint's own error.
func (c *call) logEndpointError(to destination, status int) {
	if status < fasthttp.StatusInternalServerError {
		return
	}
	c.log().Info("endpoint's error passed on",
		zap.String("Request", c.ID),
		zap.String("Customer", c.customer),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", to.ID),
		zap.Int("Status", status),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.Duration("Age", time.Since(c.arrived)))
}

// forwardBody forwards a body that was read completely.
func (c *call) forwardBody(got *answer) {
	c.forwardHead(got.response)
	if !got.response.IsFramed() {
		c.forwardUnframed(got.body)
		return
	}
	c.http.Response.SetBodyRaw(got.body)
}
