package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// retryingListener retries after transient errors: a process that has run out of descriptors,
// or a connection that ended before it was accepted.
type retryingListener struct {
	net.Listener
	log *zap.Logger
}

// acceptRetryDelay is the time after which a failed accept is retried.
const acceptRetryDelay = 50 * time.Millisecond

// Accept returns the next connection, or an error that is not transient.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return conn, err
		}
		l.log.Warn("connection not taken", zap.Error(err))
		time.Sleep(acceptRetryDelay)
	}
}

func isTransient(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
