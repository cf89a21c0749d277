package connector

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout leaves time for another try within a caller's deadline.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout ends connections whose packets are not acknowledged.
	unackedTimeout = 1500 * time.Millisecond
	keepAlive      = time.Second
	keepAliveTries = 2
	idleTimeout    = 90 * time.Second
	idlePerHost    = 8
)

// KeepAlive notices a silent peer of an idle connection within seconds.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAlive,
		Interval: keepAlive,
		Count:    keepAliveTries,
	}
}

// NewHTTPClient returns a client whose connections notice a silent peer.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control:         SetUnackedTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idlePerHost,
			DisableCompression:  true,
		},
	}
}

// SetUnackedTimeout is a control function of dialers and listeners.
func SetUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	control := func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}
	if controlErr := raw.Control(control); controlErr != nil {
		return controlErr
	}
	return err
}
