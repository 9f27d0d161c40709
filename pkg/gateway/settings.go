package gateway

import "time"

// Settings are the settings of one box. What the operator declares is in the catalog.
type Settings struct {
	// Name is unique among the boxes.
	Name string
	// Zone is the availability zone of the box.
	Zone string
	// Regions are the regions of all availability zones, by zone.
	Regions map[string]string
	// CallerAddress is the IP and port on which callers are served.
	CallerAddress string
	// ReadyAddress is the IP and port on which the balancer checks whether the box takes requests.
	ReadyAddress string
	// PeerAddress is the IP and port on which other boxes connect.
	PeerAddress string
	// FirstStart is set if no box of the fleet has run before. It is not believed of a box that the
	// store lists already.
	FirstStart bool
	// StopTimeout is how long the process may run after it was asked to stop.
	StopTimeout time.Duration
	// MaxLeavingDelay is the time after which the fleet must no longer send new work to a leaving
	// endpoint; 0 means the default.
	MaxLeavingDelay time.Duration
	// RetryRatio, RetryExtra and RetryWindow are the retry budget of the whole fleet: in each
	// window, a ratio of the requests plus an extra number.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdFactor and ColdExtra are by how much the whole fleet may exceed the maximum request
	// rate of cold endpoints in any second: a factor, plus a number of requests.
	ColdFactor, ColdExtra float64
	// ShareWindow is the time over which the customers' shares are counted.
	ShareWindow time.Duration
	// Cores is the number of processor cores that the box may use.
	Cores float64
	// MaxMemory is the maximum memory of the process in bytes; 0 means no bound. With a bound, customers
	// share the memory that the box keeps for their callers, so that no crowd of callers can take it all.
	MaxMemory int64
	// MaxConnections bounds the connections of the process.
	MaxConnections int
}

// maxCallers returns the maximum number of callers' connections, limited by the connections and
// the memory that the process may use.
func (s *Settings) maxCallers() int {
	limit := int(float64(s.MaxConnections) * callersConnectionShare)
	if s.MaxMemory > 0 {
		limit = min(limit, int(float64(s.MaxMemory)*callersMemoryShare)/bytesPerCaller)
	}
	return limit
}

// Bounds and times that are not configurable.
const (
	// maxHeadBytes bounds the request line and headers; each connection in use has a buffer of
	// this size. The catalog's limit is 16 KiB.
	maxHeadBytes = 20 << 10
	// callersConnectionShare is the fraction of the connections that callers may use; each may
	// need another one to an endpoint, and the rest is for peers and the store.
	callersConnectionShare = 0.45
	// callersMemoryShare is the fraction of the memory for callers' connections, and
	// bytesPerCaller an estimate for each: its buffers, a body of the usual size, stacks, and
	// kernel buffers.
	callersMemoryShare = 0.35
	bytesPerCaller     = 64 << 10
	// runtimeMemoryShare is the fraction of MaxMemory set as the memory limit of the Go
	// runtime, because socket buffers of the kernel count towards MaxMemory as well.
	runtimeMemoryShare = 0.7
	// maxBodyBytes bounds the body of a request before the catalog is known.
	maxBodyBytes = 8 << 20
	// maxResponseBytes bounds a response that is buffered completely.
	maxResponseBytes = 8 << 20
	// idleTimeout closes idle connections of callers. It is longer than callers keep
	// connections for reuse, so that no request is sent while the connection is being closed.
	idleTimeout = 60 * time.Second
	// deadConnectionTimeout is after how long without an acknowledgment of keep-alive probes a
	// connection of a caller, the balancer or another box is closed; each holds a descriptor and
	// memory.
	deadConnectionTimeout = 15 * time.Second
	// readTimeout bounds reading one request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds writing one piece of a response to a slow caller.
	writeTimeout = 20 * time.Second
	// connectTimeout bounds connecting to an endpoint. On a lossy link the first packet may be
	// lost once, but not twice.
	connectTimeout = 400 * time.Millisecond
	// balancerDelay is how long the balancer takes to notice that the box is not ready: it
	// checks each second, and needs two failed checks.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is the time at the end of StopTimeout for closing what is left.
	stopReserve = 500 * time.Millisecond
	// maxRequestTimeout is the timeout of a request for which neither the caller nor the route
	// sets one.
	maxRequestTimeout = 5 * time.Minute
)

// Timing of the messages between boxes on one site: a lost box is noticed within two seconds.
const (
	peerInterval    = 500 * time.Millisecond
	peerHeartbeat   = time.Second
	peerTimeout     = 2500 * time.Millisecond
	peerDialTimeout = 500 * time.Millisecond
)
