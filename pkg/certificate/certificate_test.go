package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/certificate"
)

// selfSigned writes a certificate that is its own authority.
func selfSigned(t *testing.T, dir string, serial int64) *certificate.Pair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		DNSNames:              []string{certificate.PeerName},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	So(err, ShouldBeNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	So(err, ShouldBeNil)
	pair := &certificate.Pair{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	So(os.WriteFile(pair.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), ShouldBeNil)
	So(os.WriteFile(pair.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), ShouldBeNil)
	return pair
}

// connect makes a TLS connection between a server and a client with the given configurations.
func connect(server, client *tls.Config) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	group := errgroup.Group{}
	group.Go(func() error {
		raw, err := listener.Accept()
		if err != nil {
			return err
		}
		defer raw.Close()
		secure := tls.Server(raw, server)
		_, err = io.WriteString(secure, "hello")
		return err
	})
	secure, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		_, err = io.ReadAll(secure)
		secure.Close()
	}
	if serverErr := group.Wait(); serverErr != nil {
		return serverErr
	}
	return err
}

func TestPeers(t *testing.T) {
	Convey("Given two authorities", t, func() {
		dir, otherDir := t.TempDir(), t.TempDir()
		pair, other := selfSigned(t, dir, 1), selfSigned(t, otherDir, 2)
		ours, err := certificate.PeerConfig(pair, pair.CertificateFile)
		So(err, ShouldBeNil)
		theirs, err := certificate.PeerConfig(other, other.CertificateFile)
		So(err, ShouldBeNil)
		Convey("boxes of one authority can connect, others are refused", func() {
			So(connect(ours, ours), ShouldBeNil)
			So(connect(ours, theirs), ShouldNotBeNil)
			without := ours.Clone()
			without.GetClientCertificate = nil
			So(connect(ours, without), ShouldNotBeNil)
		})
		Convey("a renewed certificate is loaded, a broken one is not", func() {
			before, err := pair.Load()
			So(err, ShouldBeNil)
			selfSigned(t, dir, 3)
			So(os.Chtimes(pair.CertificateFile, time.Now(), time.Now().Add(time.Minute)), ShouldBeNil)
			renewed, err := pair.Load()
			So(err, ShouldBeNil)
			So(renewed, ShouldNotEqual, before)
			So(os.WriteFile(pair.CertificateFile, []byte("broken"), 0o600), ShouldBeNil)
			current, err := pair.Load()
			So(err, ShouldBeNil)
			So(current, ShouldEqual, renewed)
		})
	})
}
