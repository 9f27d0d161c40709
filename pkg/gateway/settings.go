package gateway

import "time"

// Settings are those of one box. What the operator declares is in the catalog.
type Settings struct {
	// Name is unique among the boxes.
	Name string
	// Zone is the availability zone of the box.
	Zone string
	// Regions are the regions of all availability zones, by zone.
	Regions map[string]string
	// CallerAddress is the IP and port on which callers are served.
	CallerAddress string
	// ReadyAddress is where the balancer asks whether the box takes requests.
	ReadyAddress string
	// PeerAddress is the IP and port on which other boxes connect.
	PeerAddress string
	// FirstStart is set where no box of the fleet has run before.
	FirstStart bool
	// StopTime is how long the process may live on after it was asked to stop.
	StopTimeout time.Duration
	// LeavingTime is the time within which an endpoint that leaves has to get no
	// new work; 0 stands for a default.
	MaxLeavingDelay time.Duration
	// RetryRatio, RetryExtra and RetryWindow are the budget of repeated sends of
	// the whole fleet: in each window, the ratio of the requests, and the extra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdFactor and ColdMore are by how much the whole fleet may go beyond what cold
	// endpoints bear, in any second: a factor, and requests.
	ColdFactor, ColdExtra float64
	// ShareWindow is the time over which customers' shares are counted.
	ShareWindow time.Duration
	// Cores is the processor time that the box has, in cores.
	Cores float64
	// MemoryLimit is the most bytes that the process may hold; 0 means no bound.
	MaxMemory int64
	// ConnectionsLimit bounds the connections of the process.
	MaxConnections int
}

// callersLimit bounds the connections of callers, by the connections and by the
// memory that the process may have.
func (s *Settings) maxCallers() int {
	limit := int(float64(s.MaxConnections) * callersConnectionShare)
	if s.MaxMemory > 0 {
		limit = min(limit, int(float64(s.MaxMemory)*callersMemoryShare)/bytesPerCaller)
	}
	return limit
}

// The bounds and times of a box that no setting says yet.
const (
	// headBytes bounds the request line and headers; each
	// connection in use has a buffer of this size. The catalog's limit is 16 KiB.
	maxHeadBytes = 20 << 10
	// callersPart of the connections may be callers'; each may need one to an
	// endpoint, and the rest is for peers and the store.
	callersConnectionShare = 0.45
	// callersMemory is the part of the memory that callers' connections may take,
	// and callerBytes an estimate of what each takes: its buffers, a body as the
	// users' callers send, stacks, and what the kernel holds.
	callersMemoryShare = 0.35
	bytesPerCaller     = 64 << 10
	// memoryPart of the limit is what the runtime aims for: what the kernel holds
	// for sockets counts as well.
	runtimeMemoryShare = 0.7
	// bodyBytes bounds a request's body before the catalog is known.
	maxBodyBytes = 8 << 20
	// answerBytes bounds an answer that is held whole.
	maxAnswerBytes = 8 << 20
	// idleTimeout closes connections of callers at rest. It is longer than the
	// longest that callers reuse them for, so that no request crosses the close.
	idleTimeout = 60 * time.Second
	// callerSilence is how long a connection of callers, the balancer or other boxes
	// may be at rest without a sign of life; each holds a descriptor and memory.
	deadConnectionTimeout = 15 * time.Second
	// readTimeout bounds reading one request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds writing one piece of an answer to a slow caller.
	writeTimeout = 20 * time.Second
	// connectTimeout bounds connecting to an endpoint: the first packet may be
	// lost once on a link that loses packets, not twice.
	connectTimeout = 400 * time.Millisecond
	// noticeTime is how long the balancer takes to see that the box is not
	// ready: it asks each second, and twice.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is kept at the end of StopTime for closing what is left.
	stopReserve = 500 * time.Millisecond
	// longestRequest bounds a request whose caller and route give no bound.
	maxRequestTimeout = 5 * time.Minute
)

// The timing of messages between boxes on one site: a box that was lost is
// noticed within two seconds.
const (
	peerInterval    = 500 * time.Millisecond
	peerHeartbeat   = time.Second
	peerTimeout     = 2500 * time.Millisecond
	peerDialTimeout = 500 * time.Millisecond
)
