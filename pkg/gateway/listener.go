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
type patientListener struct {
	net.Listener
	log *zap.Logger
}

// acceptPause is the time after which a failed accept is tried again.
const acceptPause = 50 * time.Millisecond

// Accept returns the next connection, or an error that does not pass.
func (l patientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		l.log.Warn("connection not taken", zap.Error(err))
		time.Sleep(acceptPause)
	}
}

func passes(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
