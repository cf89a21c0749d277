package dispatcher_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/dispatcher"
)

// Guards against a hedged request that breaks each endpoint that runs it, and that
// the first request and the hedge send to more endpoints than MaxTries and the hedge
// allow.
func TestHedgedRequestHasOneBudgetOfTries(t *testing.T) {
	c := newTestCluster(t, 8)
	c.dispatcher.MaxTries = 3
	c.dispatcher.Policies = func(string) dispatcher.Policy {
		return dispatcher.Policy{HedgeDelay: time.Millisecond}
	}
	var calls atomic.Int32
	c.setHandler(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	a := c.post(t, c.client, target, "", map[string]string{dispatcher.HeaderIdempotent: "true", dispatcher.HeaderTimeout: "5s"})
	assert.Assert(t, a.StatusCode != http.StatusOK)
	assert.Assert(t, calls.Load() <= 4, "%d endpoints ran the request", calls.Load())
}
