// Package settings holds what operators declare: the settings of one box, and
// the tree that the whole fleet has in common. Both are TOML, decoded strictly.
package settings

import "time"

// Box is the settings file of one quaylead process. Everything in it concerns
// this box alone; what the fleet shares is in Fleet.
type Box struct {
	// Name identifies the box in the box list, in logs and towards peers. It
	// is unique in the fleet.
	Name string
	// Zone is the availability zone the box stands in.
	Zone string
	// Region is the region of Zone.
	Region string
	// CallerAddress is the IP and port on which callers are served.
	CallerAddress string
	// OperatorAddress is the IP and port of /healthz, /readyz and /debug/vars.
	OperatorAddress string
	// PeerAddress is the IP and port on which other boxes connect.
	PeerAddress string
	// Peers are the boxes known from the start, by name. Boxes of the
	// platform's list are added while the process runs.
	Peers map[string]Peer
	// Tree is a file or directory with the fleet's settings to start from.
	// Accepted settings of a higher revision replace it. Empty means that the
	// box is not ready until it has settings from the platform or a peer.
	Tree string
	// Platform says how the platform's stores and its box list are reached.
	Platform Platform
	// TLS holds the key files; empty means plain TCP.
	TLS TLS
	// Log selects what is logged.
	Log Log
	// Limits bound what callers may use of this box.
	Limits Limits
	// Exchange is the timing of messages between boxes.
	Exchange Exchange
}

// Peer is another box of the fleet.
type Peer struct {
	// Address is the peer's PeerAddress.
	Address string
	// Zone is the peer's availability zone.
	Zone string
}

// Platform says how the platform's services are reached. Every path is a
// setting so that a platform with other paths needs no change in code.
type Platform struct {
	// Address is the IP and port of the table and object stores and of the box
	// list. Empty means that there is no platform.
	Address string
	// TablePath precedes /TABLE/KEY of a row.
	TablePath string
	// TransactionPath takes several conditional writes in one transaction.
	TransactionPath string
	// ObjectPath precedes the key of an object.
	ObjectPath string
	// BoxListPath gives the list of live and leaving boxes.
	BoxListPath string
	// Timeout bounds one call.
	Timeout Duration
	// HeadInterval is the mean time between two looks at the accepted settings.
	HeadInterval Duration
	// BoxListInterval is the mean time between two looks at the box list.
	BoxListInterval Duration
}

// TLS holds the files of the box's keys. They are read again when they change.
type TLS struct {
	// CertificateFile and KeyFile serve callers; both or none are set.
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
	// Level is the least level that is logged: debug, info, warn or error.
	Level string
	// Categories are logged down to debug whatever Level says.
	Categories []string
}

// Limits bound what callers may use of one box.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a call.
	HeaderBytes int
	// BodyBytes bounds the body of a call.
	BodyBytes int
	// AnswerBytes bounds an answer that is held whole, such as a stored outcome.
	AnswerBytes int
	// Connections bounds the connections of callers.
	Connections int
	// ConnectionsPerIP bounds those of one address; 0 means no bound.
	ConnectionsPerIP int
	// ReadTimeout bounds reading one request.
	ReadTimeout Duration
	// WriteTimeout bounds writing one chunk of an answer to a slow caller.
	WriteTimeout Duration
	// IdleTimeout bounds the wait for the next request of a connection.
	IdleTimeout Duration
	// RequestTimeout is the deadline of a request that names none, and the
	// longest deadline that a caller may ask for.
	RequestTimeout Duration
	// DrainTimeout bounds a planned stop; what is then left is logged.
	DrainTimeout Duration
	// DrainWait is the time between readiness going off and the last new
	// connection being taken, for the balancer to notice.
	DrainWait Duration
}

// Exchange is the timing of messages between boxes.
type Exchange struct {
	// Interval is the mean time between two messages to a peer while there is
	// news. New settings and a planned stop are told at once.
	Interval Duration
	// Heartbeat is the longest time between two messages to a peer.
	Heartbeat Duration
	// Lapse is the silence after which a peer no longer counts as alive.
	Lapse Duration
	// DialTimeout bounds connecting to a peer.
	DialTimeout Duration
}

// DefaultBox returns the settings that a file overrides.
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
