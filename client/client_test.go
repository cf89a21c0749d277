package client_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/wire"
)

// startServer starts a server that handles each request with the next step, and
// further ones with the last step. It returns the address and the number of
// requests.
func startServer(t *testing.T, steps ...http.HandlerFunc) (string, *atomic.Int32) {
	t.Helper()
	var count atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(count.Add(1)) - 1
		steps[min(n, len(steps)-1)](w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &count
}

func ran(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(client.HeaderOutcome, client.OutcomeRan)
	_, _ = w.Write([]byte("tag 7"))
}

func refuseWith(status int, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(client.HeaderOutcome, outcome)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"outcome":%q,"reason":"overloaded","message":"m"}}`, outcome)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against repeating a request that may have run and is not safe to repeat,
// and against not retrying one that certainly did not run.
func TestExecuteFollowsOutcome(t *testing.T) {
	notRun, unknown := refuseWith(http.StatusTooManyRequests, client.OutcomeNotRun), refuseWith(http.StatusBadGateway, client.OutcomeUnknown)
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(client.HeaderOutcome, client.OutcomeRan)
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("tag"))
	}
	cases := []struct {
		name    string
		request client.Request
		steps   []http.HandlerFunc
		tries   int32
		outcome string
	}{
		{"runs", client.Request{}, []http.HandlerFunc{ran}, 1, client.OutcomeRan},
		{"not_run, then runs", client.Request{}, []http.HandlerFunc{notRun, ran}, 2, client.OutcomeRan},
		{"always not_run", client.Request{}, []http.HandlerFunc{notRun}, 4, client.OutcomeNotRun},
		{"unknown without key", client.Request{}, []http.HandlerFunc{unknown, ran}, 1, client.OutcomeUnknown},
		{"unknown with key", client.Request{Key: "k"}, []http.HandlerFunc{unknown, ran}, 2, client.OutcomeRan},
		{"unknown, idempotent", client.Request{Idempotent: true}, []http.HandlerFunc{unknown, ran}, 2, client.OutcomeRan},
		{"unknown, then not_run", client.Request{Key: "k"}, []http.HandlerFunc{unknown, notRun}, 4, client.OutcomeUnknown},
		{"connection lost without key", client.Request{Body: []byte("x")}, []http.HandlerFunc{abortConnection, ran}, 1, client.OutcomeUnknown},
		{"truncated without key", client.Request{}, []http.HandlerFunc{truncated, ran}, 1, client.OutcomeUnknown},
		{"key reused", client.Request{Key: "k"}, []http.HandlerFunc{refuseWith(http.StatusConflict, client.OutcomeNotRun)}, 1, client.OutcomeNotRun},
		{"no outcome", client.Request{}, []http.HandlerFunc{func(http.ResponseWriter, *http.Request) {}}, 1, client.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, count := startServer(t, c.steps...)
			caller := &client.Client{
				Entries: []string{address},
			}
			c.request.Service, c.request.Path, c.request.Timeout = "tags", "/counter", 30*time.Second
			response, err := caller.Execute(context.Background(), &c.request)
			assert.Equal(t, count.Load(), c.tries)
			if c.outcome == client.OutcomeRan {
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), "tag 7")
				return
			}
			var refusal *damaskspread.RefusalError
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, damaskspread.OutcomeName(refusal.Outcome), c.outcome, "%v", err)
		})
	}
}

// Guards against declaring a first attempt twice: neither the client nor the HTTP
// transport may send the header again with a repeated request.
func TestFirstAttemptIsSentOnce(t *testing.T) {
	var firstAttempts atomic.Int32
	counting := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(client.HeaderFirstAttempt) != "" {
				firstAttempts.Add(1)
			}
			next(w, r)
		}
	}
	address, count := startServer(t, ran, counting(abortConnection), counting(ran))
	caller := &client.Client{
		Entries: []string{address},
	}
	// The first request leaves an idle connection. The HTTP transport may repeat
	// a request that fails on a reused connection.
	request := client.Request{
		Service: "tags",
		Timeout: 30 * time.Second,
	}
	_, err := caller.Execute(context.Background(), &request)
	assert.NilError(t, err)
	request.Key, request.FirstAttempt = "k", true
	response, err := caller.Execute(context.Background(), &request)
	assert.NilError(t, err)
	assert.Equal(t, response.Tries, 2)
	assert.Equal(t, count.Load(), int32(3))
	assert.Equal(t, firstAttempts.Load(), int32(1))
}

// Guards against failing a request because one entry process is unreachable,
// although another one would serve it.
func TestNextEntryIsTried(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := listener.Addr().String()
	assert.NilError(t, listener.Close())
	address, _ := startServer(t, ran)
	caller := &client.Client{
		Entries: []string{unreachable, address},
	}
	_, err = caller.Execute(context.Background(), &client.Request{
		Service: "tags",
		Timeout: 30 * time.Second,
	})
	assert.NilError(t, err)
	only := &client.Client{
		Entries:  []string{unreachable},
		MaxTries: 1,
	}
	_, err = only.Status(context.Background())
	var refusal *damaskspread.RefusalError
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
}

// Guards against repeating a submission without a key after a try with unknown
// outcome.
func TestSubmitIsRepeatedWithKeyOnly(t *testing.T) {
	respondWithTask := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"task":"t1"}`)) }
	for key, tries := range map[string]int32{"": 1, "k": 2} {
		address, count := startServer(t, abortConnection, respondWithTask)
		caller := &client.Client{
			Entries: []string{address},
		}
		_, err := caller.Submit(context.Background(), &client.TaskRequest{}, key)
		assert.Equal(t, err == nil, key != "")
		assert.Equal(t, count.Load(), tries)
	}
}

// Guards against failing a call because one entry process is paused, although
// another one would serve it.
func TestPausedEntryLeavesTimeForTheNext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"zone":"a"}`)) })
	caller := &client.Client{
		// The system accepts the connections of a listener that nobody serves.
		Entries: []string{listener.Addr().String(), address},
		Timeout: 4 * time.Second,
	}
	zone, err := caller.SetZone(context.Background(), "a", false)
	assert.NilError(t, err)
	assert.Equal(t, zone.Zone, "a")
}
