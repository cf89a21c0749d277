package dispatcher_test

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
)

// brokenClient fails each call as net/http does when the peer has closed the
// connection: while it writes the request, or while it reads the response.
type brokenClient struct {
	operation string
	calls     int
}

func (c *brokenClient) Do(*http.Request) (*http.Response, error) {
	c.calls++
	inner := &net.OpError{Op: c.operation, Net: "tcp", Err: syscall.EPIPE}
	return nil, &net.OpError{Op: "readfrom", Net: "tcp", Err: inner}
}

var _ connect.HTTPClient = (*brokenClient)(nil)

// Guards against an unknown outcome, and no further try, for a request that could
// not be written: the agent can't have run it.
func TestUnsentRequest(t *testing.T) {
	for operation, test := range map[string]struct {
		outcome string
		calls   int
	}{
		"write": {outcome: "not_run", calls: 3},
		"read":  {outcome: "unknown", calls: 1},
	} {
		t.Run(operation, func(t *testing.T) {
			c := newTestCluster(t, 2)
			broken := &brokenClient{operation: operation}
			c.dispatcher.HTTP = broken
			a := c.post(t, c.client, target, strings.Repeat("x", 1000), nil)
			assert.Equal(t, a.refusal.Error.Outcome, test.outcome, a.body)
			assert.Equal(t, broken.calls, test.calls)
		})
	}
}
