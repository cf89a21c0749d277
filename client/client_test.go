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

// scripted answers each request with the next step and counts the requests.
func scripted(t *testing.T, steps ...http.HandlerFunc) (string, *atomic.Int32) {
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
	w.Header().Set(client.HeaderOutcome, client.Ran)
	_, _ = w.Write([]byte("tag 7"))
}

func refuse(status int, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(client.HeaderOutcome, outcome)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"outcome":%q,"reason":"overloaded","message":"m"}}`, outcome)
	}
}

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a second run of a request that may have run, and against
// giving up on one that certainly did not.
func TestExecuteFollowsOutcome(t *testing.T) {
	shed, lost := refuse(http.StatusTooManyRequests, client.NotRun), refuse(http.StatusBadGateway, client.Unknown)
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(client.HeaderOutcome, client.Ran)
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
		{"runs", client.Request{}, []http.HandlerFunc{ran}, 1, client.Ran},
		{"not_run, then runs", client.Request{}, []http.HandlerFunc{shed, ran}, 2, client.Ran},
		{"always not_run", client.Request{}, []http.HandlerFunc{shed}, 4, client.NotRun},
		{"unknown without key", client.Request{}, []http.HandlerFunc{lost, ran}, 1, client.Unknown},
		{"unknown with key", client.Request{Key: "k"}, []http.HandlerFunc{lost, ran}, 2, client.Ran},
		{"unknown, idempotent", client.Request{Idempotent: true}, []http.HandlerFunc{lost, ran}, 2, client.Ran},
		{"unknown, then not_run", client.Request{Key: "k"}, []http.HandlerFunc{lost, shed}, 4, client.Unknown},
		{"connection lost without key", client.Request{Body: []byte("x")}, []http.HandlerFunc{hangUp, ran}, 1, client.Unknown},
		{"truncated without key", client.Request{}, []http.HandlerFunc{truncated, ran}, 1, client.Unknown},
		{"key reused", client.Request{Key: "k"}, []http.HandlerFunc{refuse(http.StatusConflict, client.NotRun)}, 1, client.NotRun},
		{"no outcome", client.Request{}, []http.HandlerFunc{func(http.ResponseWriter, *http.Request) {}}, 1, client.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, count := scripted(t, c.steps...)
			caller := &client.Client{
				Entries: []string{address},
			}
			c.request.Service, c.request.Path, c.request.Timeout = "tags", "/counter", 30*time.Second
			response, err := caller.Execute(context.Background(), &c.request)
			assert.Equal(t, count.Load(), c.tries)
			if c.outcome == client.Ran {
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

// Guards against a repeated assertion that the key was never sent: neither the
// client nor the HTTP transport may send it twice.
func TestFirstAttemptIsSentOnce(t *testing.T) {
	var asserted atomic.Int32
	noting := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(client.HeaderFirstAttempt) != "" {
				asserted.Add(1)
			}
			next(w, r)
		}
	}
	address, count := scripted(t, ran, noting(hangUp), noting(ran))
	caller := &client.Client{
		Entries: []string{address},
	}
	// The first request leaves a connection to reuse, on which the transport
	// would repeat the second by itself.
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
	assert.Equal(t, asserted.Load(), int32(1))
}

// Guards against a dead entry that fails requests another entry would serve.
func TestOtherEntry(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := listener.Addr().String()
	assert.NilError(t, listener.Close())
	address, _ := scripted(t, ran)
	caller := &client.Client{
		Entries: []string{dead, address},
	}
	_, err = caller.Execute(context.Background(), &client.Request{
		Service: "tags",
		Timeout: 30 * time.Second,
	})
	assert.NilError(t, err)
	only := &client.Client{
		Entries:  []string{dead},
		MaxTries: 1,
	}
	_, err = only.Status(context.Background())
	var refusal *damaskspread.RefusalError
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
}

// Guards against a submission without key that is repeated after its outcome
// became unknown.
func TestSubmitRepeats(t *testing.T) {
	created := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"task":"t1"}`)) }
	for key, tries := range map[string]int32{"": 1, "k": 2} {
		address, count := scripted(t, hangUp, created)
		caller := &client.Client{
			Entries: []string{address},
		}
		_, err := caller.Submit(context.Background(), &client.TaskRequest{}, key)
		assert.Equal(t, err == nil, key != "")
		assert.Equal(t, count.Load(), tries)
	}
}
