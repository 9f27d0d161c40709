// Package route holds the configuration that the operator has accepted: which requests are
// routed to which service, who may send them, and their limits. It also holds the known
// endpoints and the operator's orders.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// Catalog is one accepted configuration. It is immutable after Index was called, so it may be
// used concurrently.
type Catalog struct {
	// Version increases with each accepted configuration.
	Version uint64
	// Routes assign requests to services.
	Routes []Route
	// Services are indexed by name.
	Services map[string]Service
	// Customers are those whose keys are accepted. If there are none, no key is required.
	Customers []Customer
	// Limits bound what callers may send.
	Limits Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
	// queued are the plain services with a route that AllowsQueueing.
	queued map[string]bool
}

// Route is one routing rule of a Catalog.
type Route struct {
	Name string
	// Host is the lower-case host name of the requests.
	Host string
	// Prefix is the path prefix of the requests; it starts and ends with a slash.
	Prefix string
	// Targets are the services among which the requests are split; at least one.
	Targets []Target
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streaming routes respond with a stream of events.
	Streaming bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Anonymous routes need no key.
	Anonymous bool
	// Timeout bounds how long a request is held; 0 means no bound.
	Timeout time.Duration
	// LatencyTarget is the time within which a response, or the first event of a stream,
	// should come.
	LatencyTarget time.Duration
	// GapTarget is the longest time between two events with which a stream counts as in time.
	GapTarget time.Duration
	// MaxAttempts bounds the number of endpoints that one request is sent to; at least 1.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// AllowedRegions are the regions in which the requests may run; none means all.
	AllowedRegions []string
}

// minQueueingTime is how much longer than its latency target the time limit of a route has to be
// for its requests to be queued.
const minQueueingTime = time.Second

// AllowsQueueing reports whether requests to plain services may be queued before they are sent to
// an endpoint: the operator allows them to be held for much longer than their latency target. A
// route without a time limit does not allow it.
func (r *Route) AllowsQueueing() bool {
	return !r.Streaming && r.LatencyTarget > 0 && r.Timeout-r.LatencyTarget >= minQueueingTime
}

// Target is a service that receives a fraction of a route's requests.
type Target struct {
	Service string
	// Weight is the fraction, relative to the weights of the other targets.
	Weight float64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// HealthPath is the path at which an endpoint reports whether it is healthy.
	HealthPath string
	// MaxConns is the number of connections that one endpoint accepts from all callers
	// together.
	MaxConns int
	// Engine is set for model engines; nil means a plain service.
	Engine *Engine
	// ColdStart is what its endpoints can handle just after a start.
	ColdStart ColdStart
}

// ColdStart is the operator's limit for endpoints that have just started.
type ColdStart struct {
	// Duration is how long an endpoint is cold after its start.
	Duration time.Duration
	// MaxPerSecond is the number of requests per second that a cold endpoint can handle; 0
	// means no limit.
	MaxPerSecond float64
}

// Bound returns the limit for a cold endpoint. The fleet may exceed MaxPerSecond by a factor
// and some extra requests.
func (c ColdStart) Bound(factor, extra float64) lifecycle.Bound {
	if c.MaxPerSecond <= 0 {
		return lifecycle.Bound{}
	}
	return lifecycle.Bound{Duration: c.Duration, MaxPerSecond: c.MaxPerSecond*factor + extra}
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine for running requests and its prefix cache.
	CacheTokens int
	// TokenBytes is the size of the KV cache of one token in bytes; 0 means unknown.
	TokenBytes int
	// EventTokens is the number of tokens in one event of a stream; 0 means unknown.
	EventTokens int
	// CopiesCache is set if an engine can copy cached parts of a prompt from another one, and
	// CopyRate is the rate of that in bytes per second; 0 means unknown.
	CopiesCache bool
	CopyRate    float64
}

// maxCompactTokenBytes is the KV cache of one token up to which copies of a prompt are cheap: a
// prompt of 16,000 tokens then takes at most half a gigabyte.
const maxCompactTokenBytes = 32 << 10

// HasCompactCache reports whether cached prompts are small enough that it pays to keep several
// copies of a prompt, and to copy it between engines. A nil Engine has no cache.
func (e *Engine) HasCompactCache() bool {
	return e != nil && e.TokenBytes > 0 && e.TokenBytes <= maxCompactTokenBytes
}

// Customer is one customer of the operator.
type Customer struct {
	Name string
	// Keys are the API keys that its requests carry.
	Keys []string
	// Priority overrides that of the route; nil means that the route's applies.
	Priority *int
	// AllowedRegions are the regions in which its requests may run, in addition to the
	// restriction of the route; none means all.
	AllowedRegions []string
}

// Limits bound what callers may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the throughput of all engines together. An input token counts once,
	// an output token twice. Customers share it evenly.
	TokensPerSecond float64
}

// Index builds the lookup tables. It must be called once, before the first lookup.
func (c *Catalog) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		entry := &c.Routes[i]
		c.byHost[entry.Host] = append(c.byHost[entry.Host], entry)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	c.queued = map[string]bool{}
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			if c.Services[target.Service].Engine == nil && c.Routes[i].AllowsQueueing() {
				c.queued[target.Service] = true
			}
		}
	}
	c.byKey = map[string]*Customer{}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			c.byKey[key] = &c.Customers[i]
		}
	}
}

// Find returns the route of a host with the longest matching path prefix, or nil.
func (c *Catalog) Find(host, path string) *Route {
	for _, candidate := range c.byHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate
		}
	}
	return nil
}

// NormalizeHost returns a host in the form in which hosts are compared: without a port and in
// lower case.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// QueuesPlain reports whether the requests to a plain service are queued for its slots, because
// one of its routes allows it.
func (c *Catalog) QueuesPlain(service string) bool { return c.queued[service] }

// CustomerOf returns the customer that has a key, or nil.
func (c *Catalog) CustomerOf(key string) *Customer {
	return c.byKey[key]
}

// Pick returns one of the target services by weight. Point is uniformly distributed over
// [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	point *= total
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
