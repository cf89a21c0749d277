package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
)

// loadRequest is one request of a load and its response.
type loadRequest struct {
	callResponse
	path      string
	key       string
	entry     string
	at        time.Time
	configAge string
}

// post sends one request. The path is unique and identifies the request in the
// records of the endpoints.
func (e *entry) post(httpClient *http.Client, path, key string, timeout time.Duration) loadRequest {
	return e.postWithServiceTime(httpClient, path, key, timeout, 0)
}

// postWithServiceTime sends a request that the endpoint runs for at least the
// given time.
func (e *entry) postWithServiceTime(httpClient *http.Client, path, key string, timeout, serviceTime time.Duration) loadRequest {
	sent := loadRequest{
		path:  "/" + path,
		key:   key,
		entry: e.name,
		at:    time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/services/tags/requests/"+path, strings.NewReader("coat"))
	if err != nil {
		sent.err = err
		return sent
	}
	request.Header.Set(client.HeaderTimeout, timeout.String())
	request.Header.Set(emulator.HeaderServiceMs, strconv.FormatInt(serviceTime.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(client.HeaderKey, key)
		request.Header.Set(client.HeaderFirstAttempt, "true")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		sent.err = err
		return sent
	}
	defer func() { _ = response.Body.Close() }()
	sent.configAge = response.Header.Get(client.HeaderConfigAge)
	sent.callResponse = readResponse(response)
	return sent
}

// load is a constant stream of requests through chosen entries. Each caller
// reuses its connections; every third request has an idempotency key.
type load struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	all   []loadRequest
}

// loadTimeout exceeds the service time of the long requests in the tests.
const loadTimeout = 10 * time.Second

var loadNumber atomic.Int64

// startLoad runs two callers for each entry, one per protocol. Each sends a
// request per interval while choose returns true for its entry.
func (c *cluster) startLoad(interval time.Duration, choose func(*entry) bool) *load {
	l := &load{
		stop: make(chan struct{}),
	}
	for i, e := range c.entries {
		for _, http2 := range []bool{false, true} {
			l.group.Go(func() {
				l.run(fmt.Sprintf("load%d-%d-%t", loadNumber.Add(1), i, http2), e, protocolClient(http2), interval, choose)
			})
		}
	}
	c.t.Cleanup(l.end)
	return l
}

func (l *load) run(name string, e *entry, httpClient *http.Client, interval time.Duration, choose func(*entry) bool) {
	defer httpClient.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		if !choose(e) {
			continue
		}
		l.group.Go(func() {
			path, key := fmt.Sprintf("%s-%d", name, n), ""
			if n%3 == 0 {
				key = path
			}
			sent := e.post(httpClient, path, key, loadTimeout)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.all = append(l.all, sent)
		})
	}
}

// end stops the callers and waits for all responses.
func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.group.Wait()
}

// between returns the completed requests that were sent in an interval.
func (l *load) between(from, to time.Time) []loadRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []loadRequest
	for _, r := range l.all {
		if !r.at.Before(from) && r.at.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

func everyEntry(*entry) bool { return true }

// countByReason returns the number of requests that an entry refused as not_run
// with a reason, or, for an empty reason, the number that ran.
func countByReason(all []loadRequest, entry, reason string) int {
	n := 0
	for _, r := range all {
		ran := r.err == nil && r.reason == "" && r.status == http.StatusOK
		if r.entry == entry && ((reason == "" && ran) || (reason != "" && r.reason == reason && r.outcome == client.OutcomeNotRun)) {
			n++
		}
	}
	return n
}

// executionCounts returns the number of executions per path at all endpoints.
func (c *cluster) executionCounts() map[string]int {
	runs := map[string]int{}
	for _, h := range c.hosts {
		for _, execution := range h.endpoint.Executions() {
			runs[execution.Path]++
		}
	}
	return runs
}

// assertOutcomes checks the outcomes against the endpoints' records: a request
// with outcome ran has run once, and one with not_run has not run.
func (c *cluster) assertOutcomes(all []loadRequest) {
	c.t.Helper()
	runs := c.executionCounts()
	for _, r := range all {
		n := runs[r.path]
		ran := r.err == nil && r.reason == "" && r.status == http.StatusOK
		if n > 1 || (ran && n != 1) || (r.outcome == client.OutcomeNotRun && n != 0) {
			c.t.Errorf("%s through %s ran %d times; response: %d %s %s %v", r.path, r.entry, n, r.status, r.outcome, r.reason, r.err)
		}
	}
}

// isDialError reports whether no connection was opened, so that no request was
// interrupted.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// isUnknownKeyOutcome reports whether a complete response leaves the outcome of
// a key unknown because the epoch of its shard changed during the request;
// docs/proofs_zones.md lists this as not proved.
func isUnknownKeyOutcome(r loadRequest) bool {
	return r.err == nil && r.key != "" && r.outcome == client.OutcomeUnknown &&
		(r.reason == string(damaskspread.ReasonInProgress) || r.reason == string(damaskspread.ReasonStaleEpoch))
}

// assertNoneInterrupted fails on broken connections, lost responses and other
// failures except refusals with not_run, refused connections and unknown
// outcomes of keys whose shard changed.
func assertNoneInterrupted(t *testing.T, name string, all []loadRequest) {
	t.Helper()
	interrupted, unknownKeys, refused := 0, 0, map[string]int{}
	var example string
	for _, r := range all {
		if r.err == nil && r.outcome == client.OutcomeNotRun {
			refused[r.reason]++
			continue
		}
		if isUnknownKeyOutcome(r) {
			unknownKeys++
			continue
		}
		if (r.err != nil && !isDialError(r.err)) || (r.err == nil && r.status != http.StatusOK) {
			interrupted++
			example = fmt.Sprintf("%s through %s at %s: %d %s %s %v %s", r.path, r.entry, r.at.Format("05.000"), r.status, r.outcome, r.reason, r.err, r.body)
		}
	}
	t.Logf("%s: %d requests, %d interrupted, %d keys with unknown outcome, refused %v", name, len(all), interrupted, unknownKeys, refused)
	if interrupted > 0 {
		t.Errorf("%s: %d of %d requests were interrupted, the last: %s", name, interrupted, len(all), example)
	}
}
