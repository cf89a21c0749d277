package dispatcher_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/dispatcher"
)

// Guards against hedging a request that is not idempotent, and against waiting
// for a slow endpoint after the hedge has responded.
func TestHedge(t *testing.T) {
	c := newTestCluster(t, 2)
	c.dispatcher.Policies = func(string) dispatcher.Policy {
		return dispatcher.Policy{
			Idempotent: map[string]bool{"preview": true},
			HedgeDelay: time.Millisecond,
		}
	}
	var calls atomic.Int32
	release := make(chan struct{})
	defer close(release)
	c.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	a := c.post(t, c.client, target, "", map[string]string{dispatcher.HeaderIdempotent: "true", dispatcher.HeaderTimeout: "30s"})
	assert.Equal(t, a.body, "ok")
	assert.Equal(t, calls.Load(), int32(2))
	a = c.post(t, c.client, target, "", nil)
	assert.Equal(t, a.body, "ok")
	assert.Equal(t, calls.Load(), int32(3))
	calls.Store(0)
	a = c.post(t, c.client, target, "", map[string]string{dispatcher.HeaderKind: "preview", dispatcher.HeaderTimeout: "30s"})
	assert.Equal(t, a.body, "ok")
	assert.Equal(t, calls.Load(), int32(2))
}

// Guards against a hedge at the host that is slow to respond, which the router
// prefers while the other one has more requests in flight.
func TestHedgeAvoidsTheSlowHost(t *testing.T) {
	const hedgeDelay = 2 * time.Millisecond
	c := newTestCluster(t, 2)
	clock := clockwork.NewFakeClock()
	c.dispatcher.Clock = clock
	c.dispatcher.Policies = func(string) dispatcher.Policy {
		return dispatcher.Policy{HedgeDelay: hedgeDelay}
	}
	release := make(chan struct{})
	defer close(release)
	// Holds the requests of both iterations, and a hedge at the wrong host.
	running := make(chan struct{}, 4)
	slow := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	})
	c.agents["h0"].handler.Store(&slow)
	for range 4 {
		_, _ = c.dispatcher.Router.Assign("h1")
	}
	for range 2 {
		// The hedge is due once the slow host runs the request: the response to an
		// earlier hedge cancels a request that has not arrived there.
		go func() {
			select {
			case <-running:
			case <-t.Context().Done():
				return
			}
			if clock.BlockUntilContext(t.Context(), 1) == nil {
				clock.Advance(hedgeDelay)
			}
		}()
		a := c.post(t, c.client, target, "", map[string]string{dispatcher.HeaderIdempotent: "true", dispatcher.HeaderTimeout: "5s"})
		assert.Equal(t, a.StatusCode, http.StatusOK, a.body)
		assert.Equal(t, a.Header.Get("X-Endpoint"), "h1")
	}
	assert.Equal(t, c.agents["h0"].executed.Load(), int32(2))
}

// Guards against retrying a kind that the configuration doesn't declare
// idempotent, against not retrying one that it does, and against requests with a
// key that the router doesn't count.
func TestPolicyAndAssignedRequests(t *testing.T) {
	c := newTestCluster(t, 2)
	c.dispatcher.Policies = func(string) dispatcher.Policy {
		return dispatcher.Policy{
			Idempotent: map[string]bool{"preview": true},
			Timeout:    10 * time.Second,
		}
	}
	var calls, aborts atomic.Int32
	c.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if aborts.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	})
	for kind, want := range map[string]int32{"preview": 2, "render": 1} {
		calls.Store(0)
		aborts.Store(1)
		a := c.post(t, c.client, target, "", map[string]string{dispatcher.HeaderKind: kind})
		assert.Equal(t, calls.Load(), want, "%s: %s", kind, a.body)
	}
	picks := &countingPicker{EndpointPicker: c.dispatcher.Router}
	c.dispatcher.Router = picks
	a := c.post(t, c.client, target, "", map[string]string{"Idempotency-Key": "k"})
	assert.Equal(t, a.body, "ok")
	assert.Equal(t, picks.assigned.Load(), int32(1))
	assert.Equal(t, picks.done.Load(), int32(1))
}

// countingPicker counts the calls of Assign and Done.
type countingPicker struct {
	damaskspread.EndpointPicker
	assigned, done atomic.Int32
}

func (p *countingPicker) Assign(host string) (damaskspread.Pick, bool) {
	p.assigned.Add(1)
	return p.EndpointPicker.Assign(host)
}

func (p *countingPicker) Done(pick damaskspread.Pick, result damaskspread.PickResult) {
	p.done.Add(1)
	p.EndpointPicker.Done(pick, result)
}
