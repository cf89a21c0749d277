package connector

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is short enough for another try within a caller's deadline.
	dialTimeout = 700 * time.Millisecond
	// tcpUserTimeout is the time after which a connection with unacknowledged
	// data is closed.
	tcpUserTimeout      = 1500 * time.Millisecond
	keepAliveInterval   = time.Second
	keepAliveProbes     = 2
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 8
	// compressMinBytes is the size from which a response is compressed. Most responses
	// have fewer than 100 bytes, which compression makes larger.
	compressMinBytes = 1 << 10
)

// CompressLargeResponses makes a handler compress only responses that become much smaller.
// Without it, it compresses all.
func CompressLargeResponses() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressMinBytes)
}

// KeepAliveConfig returns TCP keep-alive settings that close an idle connection
// about 3 s after its peer stops responding.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveInterval,
		Interval: keepAliveInterval,
		Count:    keepAliveProbes,
	}
}

// NewHTTPClient returns a client that closes connections whose peer stops
// responding: see KeepAliveConfig and SetTCPUserTimeout. It bounds calls with a
// damaskspread.Progress by their progress.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAliveConfig(),
		Control:         SetTCPUserTimeout,
	}
	return &http.Client{
		Transport: &progressTransport{
			base: &http.Transport{
				DialContext:         dialer.DialContext,
				IdleConnTimeout:     idleConnTimeout,
				MaxIdleConnsPerHost: maxIdleConnsPerHost,
				DisableCompression:  true,
			},
		},
	}
}

// SetTCPUserTimeout sets TCP_USER_TIMEOUT on a connection to 1.5 s. It is a
// Control function for net.Dialer and net.ListenConfig.
func SetTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	control := func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}
	if controlErr := raw.Control(control); controlErr != nil {
		return controlErr
	}
	return err
}
