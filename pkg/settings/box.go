// Package settings defines what operators configure: the settings of one box and
// the settings tree of the whole fleet. Both are TOML; unknown keys are errors.
package settings

import "time"

// Box is the settings file of one quaylead process. It concerns this box alone;
// the settings that all boxes share are in Fleet.
type Box struct {
	// Name identifies the box in the box list, in logs and towards peers. It
	// is unique in the fleet.
	Name string
	// Zone is the availability zone the box runs in.
	Zone string
	// Region is the region of Zone.
	Region string
	// CallerAddress is the IP and port on which callers are served.
	CallerAddress string
	// OperatorAddress is the IP and port of /healthz, /readyz and /debug/vars.
	OperatorAddress string
	// PeerAddress is the IP and port on which other boxes connect.
	PeerAddress string
	// Peers are the boxes to connect to from the start, by name. Boxes of the
	// platform's box list are added while the process runs.
	Peers map[string]Peer
	// Tree is a file or directory with the fleet's initial settings. Accepted
	// settings of a higher revision replace them. Empty means that the box is
	// not ready until it has settings from the platform or a peer.
	Tree string
	// Platform configures access to the platform's stores and box list.
	Platform Platform
	// TLS names the certificate and key files; empty means plain TCP.
	TLS TLS
	// Log selects what is logged.
	Log Log
	// Limits bounds what callers may use of this box.
	Limits Limits
	// Exchange configures the timing of messages between boxes.
	Exchange Exchange
}

// Peer is another box of the fleet.
type Peer struct {
	// Address is the peer's PeerAddress.
	Address string
	// Zone is the peer's availability zone.
	Zone string
}

// Platform configures access to the platform's services. Every path is a
// setting so that a platform with other paths needs no change in code.
type Platform struct {
	// Address is the IP and port of the table and object stores and of the box
	// list. Empty means that there is no platform.
	Address string
	// TablePath is the URL path that precedes /TABLE/KEY of a row.
	TablePath string
	// TransactionPath is the URL path that takes several conditional writes in
	// one transaction.
	TransactionPath string
	// ObjectPath is the URL path that precedes the key of an object.
	ObjectPath string
	// BoxListPath is the URL path of the list of live and leaving boxes.
	BoxListPath string
	// Timeout bounds one call.
	Timeout Duration
	// HeadInterval is the mean time between two polls of the accepted settings.
	HeadInterval Duration
	// BoxListInterval is the mean time between two polls of the box list.
	BoxListInterval Duration
}

// TLS names the box's certificate and key files. They are read again when they
// change.
type TLS struct {
	// CertificateFile and KeyFile are used to serve callers; both or none are set.
	CertificateFile string
	KeyFile         string
	// PeerCertificateFile, PeerKeyFile and PeerAuthorityFile authenticate boxes
	// to each other; all or none are set.
	PeerCertificateFile string
	PeerKeyFile         string
	PeerAuthorityFile   string
}

// Log selects what is logged.
type Log struct {
	// Level is the minimum level that is logged: debug, info, warn or error.
	Level string
	// Categories are logged at debug level and above, whatever Level is.
	Categories []string
}

// Limits bound what callers may use of one box.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a call.
	HeaderBytes int
	// BodyBytes bounds the body of a call.
	BodyBytes int
	// AnswerBytes bounds a response that is buffered completely, such as a
	// stored outcome.
	AnswerBytes int
	// Connections bounds the connections of callers.
	Connections int
	// ConnectionsPerIP bounds the connections of one IP address; 0 means no bound.
	ConnectionsPerIP int
	// ReadTimeout bounds reading one request.
	ReadTimeout Duration
	// WriteTimeout bounds writing one chunk of a response to a slow caller.
	WriteTimeout Duration
	// IdleTimeout bounds the wait for the next request of a connection.
	IdleTimeout Duration
	// RequestTimeout is the deadline of a request that sets none, and the
	// longest deadline that a caller may set.
	RequestTimeout Duration
	// DrainTimeout bounds a planned stop; the number of requests that are still
	// in flight then is logged.
	DrainTimeout Duration
	// DrainWait is how long connections are still accepted after the readiness
	// check starts to fail, for the balancer to notice.
	DrainWait Duration
}

// Exchange is the timing of messages between boxes.
type Exchange struct {
	// Interval is the mean time between two messages to a peer while there are
	// changes. New settings and a planned stop are sent at once.
	Interval Duration
	// Heartbeat is the maximum time between two messages to a peer.
	Heartbeat Duration
	// Lapse is the time without messages after which a peer no longer counts as
	// alive.
	Lapse Duration
	// DialTimeout bounds connecting to a peer.
	DialTimeout Duration
}

// DefaultBox returns the defaults that a box's settings file overrides.
func DefaultBox() Box {
	return Box{
		CallerAddress:   "127.0.0.1:8080",
		OperatorAddress: "127.0.0.1:8081",
		PeerAddress:     "127.0.0.1:8082",
		Platform: Platform{
			TablePath:       "/tables",
			TransactionPath: "/transactions",
			ObjectPath:      "/objects",
			BoxListPath:     "/boxes",
			Timeout:         Duration{Duration: 2 * time.Second},
			HeadInterval:    Duration{Duration: 4 * time.Second},
			BoxListInterval: Duration{Duration: 5 * time.Second},
		},
		Log: Log{Level: "info"},
		Limits: Limits{
			HeaderBytes:    16 << 10,
			BodyBytes:      4 << 20,
			AnswerBytes:    8 << 20,
			Connections:    20000,
			ReadTimeout:    Duration{Duration: 30 * time.Second},
			WriteTimeout:   Duration{Duration: 20 * time.Second},
			IdleTimeout:    Duration{Duration: 90 * time.Second},
			RequestTimeout: Duration{Duration: 5 * time.Minute},
			DrainTimeout:   Duration{Duration: 2 * time.Minute},
			DrainWait:      Duration{Duration: time.Second},
		},
		Exchange: Exchange{
			Interval:    Duration{Duration: time.Second},
			Heartbeat:   Duration{Duration: 2 * time.Second},
			Lapse:       Duration{Duration: 6 * time.Second},
			DialTimeout: Duration{Duration: time.Second},
		},
	}
}
