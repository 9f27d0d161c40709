// Package certificate loads the TLS certificates and keys of a box. Files are read again when
// they change, so certificates are renewed without a restart.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// PeerName is the DNS name in the certificates of all boxes. Boxes are replaced at any time,
// so certificates cannot contain their addresses.
const PeerName = "quaylead-peer"

// Pair is a certificate and its key, given by their files. The fields are set before the first
// use.
type Pair struct {
	CertificateFile string
	KeyFile         string

	mu      sync.Mutex
	current *tls.Certificate
	readAt  time.Time
}

// Load returns the pair, and reads it again if its certificate's file changed. If the files do
// not match, as in the middle of a renewal, the previous pair stays in use.
func (p *Pair) Load() (certificate *tls.Certificate, err error) {
	defer func() { err = trace.Wrap(err, "loading certificate %s", p.CertificateFile) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.CertificateFile)
	if p.current != nil && (err != nil || info.ModTime().Equal(p.readAt)) {
		return p.current, nil
	}
	if err != nil {
		return nil, err
	}
	loaded, err := tls.LoadX509KeyPair(p.CertificateFile, p.KeyFile)
	if err != nil && p.current != nil {
		return p.current, nil
	}
	if err != nil {
		return nil, err
	}
	p.current = &loaded
	p.readAt = info.ModTime()
	return p.current, nil
}

// CallerConfig returns the TLS configuration for connections from callers.
func CallerConfig(pair *Pair) (config *tls.Config, err error) {
	if _, err := pair.Load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return pair.Load()
		},
	}, nil
}

// PeerConfig returns the TLS configuration for connections between boxes, for both sides. Each
// presents a certificate for PeerName that the authority signed.
func PeerConfig(pair *Pair, authorityFile string) (config *tls.Config, err error) {
	defer func() { err = trace.Wrap(err, "preparing TLS between boxes") }()
	if _, err := pair.Load(); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, err
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, trace.BadParameter("%s holds no certificate", authorityFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: PeerName,
		RootCAs:    authority,
		ClientCAs:  authority,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return pair.Load()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return pair.Load()
		},
	}, nil
}
