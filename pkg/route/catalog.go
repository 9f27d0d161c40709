// Package route holds what the operator has accepted: which requests lead to
// which service, who may send them, and the bounds they are held to.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// Catalog is one accepted configuration. It is not changed once Index was
// called, so it may be read by many goroutines.
type Catalog struct {
	// Version rises with each accepted configuration.
	Version uint64
	// Routes lead requests to services.
	Routes []Route
	// Services are by name.
	Services map[string]Service
	// Customers are those whose keys are accepted. When there are none, no key
	// is asked for.
	Customers []Customer
	// Limits bound what callers may send.
	Limits Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
}

// Route is one entry of a Catalog.
type Route struct {
	Name string
	// Host is the lower-case name that callers address.
	Host string
	// Prefix begins the paths of the route; it starts and ends with a slash.
	Prefix string
	// Targets are the services that share the route's requests; at least one.
	Targets []Target
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streaming routes answer with a series of events.
	Streaming bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Anonymous routes need no key.
	Anonymous bool
	// Timeout is the longest that a request is held; 0 means no bound.
	Timeout time.Duration
	// Aim is the time within which an answer, or a stream's first event, is
	// worth most.
	LatencyTarget time.Duration
	// PauseAim is the longest pause between events that keeps a stream in time.
	GapTarget time.Duration
	// MaxAttempts is the largest number of endpoints one request is sent to; at
	// least 1.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Homes are the regions in which its requests may be served; none means all.
	AllowedRegions []string
}

// Target is a service that takes a part of a route's requests.
type Target struct {
	Service string
	// Weight is the part, relative to the other targets.
	Weight float64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// HealthPath answers whether an endpoint thinks itself well.
	HealthPath string
	// MaxConns is how many connections one endpoint takes from all callers.
	MaxConns int
	// Engine is set for model engines; nil means a plain service.
	Engine *Engine
	// Cold is what its endpoints take after a start.
	ColdStart ColdStart
}

// Cold is what the operator states of endpoints that have just started.
type ColdStart struct {
	// For is how long they are cold.
	Duration time.Duration
	// PerSecond is the number of requests a second that they bear meanwhile; 0 means that
	// they bear as many as ever.
	MaxPerSecond float64
}

// Bound is how much a cold endpoint takes in any second, where the fleet may go beyond
// what it bears by a factor and some requests more.
func (c ColdStart) Bound(factor, extra float64) lifecycle.Bound {
	if c.MaxPerSecond <= 0 {
		return lifecycle.Bound{}
	}
	return lifecycle.Bound{Duration: c.Duration, MaxPerSecond: c.MaxPerSecond*factor + extra}
}

// Engine is what is known of the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is one engine's memory for running requests and kept prompts.
	CacheTokens int
}

// Customer is one customer of the operator.
type Customer struct {
	Name string
	// Keys are the secrets that its requests carry.
	Keys []string
	// Priority goes before that of the route; nil means that the route's holds.
	Priority *int
	// Homes are the regions in which its requests may be served, beside those of the
	// route; none means all.
	AllowedRegions []string
}

// Limits bound what callers may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what the engines produce together, a token read
	// counted once and a token made twice. Customers share it evenly.
	TokensPerSecond float64
}

// Index prepares the lookups. It has to be called once, before the first.
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
	c.byKey = map[string]*Customer{}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			c.byKey[key] = &c.Customers[i]
		}
	}
}

// Find returns the route of a host with the longest prefix of the path; nil
// means that there is none.
func (c *Catalog) Find(host, path string) *Route {
	for _, candidate := range c.byHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate
		}
	}
	return nil
}

// NormalizeHost is the form in which hosts are compared: without a port and in
// lower case.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// CustomerOf returns the customer that holds a key; nil means that none does.
func (c *Catalog) CustomerOf(key string) *Customer {
	return c.byKey[key]
}

// Pick chooses one of the targets by weight; at is evenly spread over [0, 1).
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
