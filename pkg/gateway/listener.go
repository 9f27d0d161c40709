package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// patientListener goes on after failures that pass: a process without
// descriptors left, or a connection that ended before it was taken.
type retryingListener struct {
	net.Listener
	log *zap.Logger
}

// acceptPause is the time after which a failed accept is tried again.
const acceptRetryDelay = 50 * time.Millisecond

// Accept returns the next connection, or an error that does not pass.
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
