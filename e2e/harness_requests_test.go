package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/replayer"
)

// quickLimits are short, so that members expire and configuration becomes stale
// within a test.
var quickLimits = map[string]string{
	"currency_limit": "1500ms",
	"sync_wait":      "300ms",
	"member_hold":    "2s",
	"drain_timeout":  "10s",
}

// settleTime is the wait after the last request until no execution can start any
// more: longer than the longest timeout of a request in these tests.
const settleTime = 3 * time.Second

var startMutex sync.Mutex

// startSerially starts one cluster at a time. A forked child holds copies of the
// test process's sockets until its exec, so a port that another test has just
// found free could still be in use.
func startSerially(t *testing.T, o options) *cluster {
	t.Helper()
	startMutex.Lock()
	defer startMutex.Unlock()
	return startCluster(t, o)
}

// request is one request of a caller. Its path is unique and identifies it in
// the records of the endpoints.
type request struct {
	path         string
	key          string
	firstAttempt bool
	timeout      time.Duration
	serviceMS    int
	bytes        int
	ending       string
}

func (r request) payload() string { return "<" + r.path + ">" }

// expectedBody returns the only correct complete body of a response to the
// request.
func (r request) expectedBody() string {
	size := r.bytes
	if size == 0 {
		size = len(r.payload())
	}
	return strings.Repeat(r.payload(), size/len(r.payload())+1)[:size]
}

// attempt is one submission of a request and what its caller received. sent and
// ended are Unix times in microseconds.
type attempt struct {
	request
	callResponse
	number      int
	execution   string
	sent, ended int64
}

// journal records what callers sent and received, and compares it with the
// endpoints' own records.
type journal struct {
	*cluster
	name       string
	callers    []string
	httpClient *http.Client

	mu       sync.Mutex
	attempts []attempt
	number   int
}

// newJournal returns a journal whose callers reach each entry through a proxy.
func newJournal(c *cluster, name string) *journal {
	j := &journal{
		cluster:    c,
		name:       name,
		httpClient: newHTTPClient(),
	}
	for _, e := range c.entries {
		j.callers = append(j.callers, c.proxies.link("caller/"+e.name, hostPort(e.url)))
	}
	c.t.Cleanup(j.httpClient.CloseIdleConnections)
	return j
}

// newRequest returns a new request without a key.
func (j *journal) newRequest() request {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.number++
	return request{
		path:    fmt.Sprintf("%s-%d", j.name, j.number),
		timeout: 2 * time.Second,
	}
}

// newKeyedRequest returns a new request with a key in the shard of the given
// key, or in any shard if that is empty.
func (j *journal) newKeyedRequest(sameShardAs string) request {
	for {
		r := j.newRequest()
		r.key = "key-" + r.path
		if sameShardAs == "" || replayer.ShardOf(r.key) == replayer.ShardOf(sameShardAs) {
			return r
		}
	}
}

// send sends a request once through an entry and records the attempt.
func (j *journal) send(entry int, r request) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+time.Second)
	defer cancel()
	url := "http://" + j.callers[entry%len(j.callers)] + "/v1/services/tags/requests/" + r.path
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(r.payload()))
	if err != nil {
		j.t.Errorf("request: %v", err)
		return attempt{}
	}
	// Without GetBody the transport cannot repeat the request by itself.
	httpRequest.GetBody = nil
	httpRequest.Header.Set(client.HeaderTimeout, r.timeout.String())
	httpRequest.Header.Set(emulator.HeaderServiceMs, strconv.Itoa(r.serviceMS))
	httpRequest.Header.Set(emulator.HeaderAnswerBytes, strconv.Itoa(r.bytes))
	for name, value := range map[string]string{client.HeaderKey: r.key, emulator.HeaderEnding: r.ending} {
		if value != "" {
			httpRequest.Header.Set(name, value)
		}
	}
	if r.firstAttempt {
		httpRequest.Header.Set(client.HeaderFirstAttempt, "true")
	}
	a := attempt{
		request: r,
		sent:    time.Now().UnixMicro(),
	}
	response, err := j.httpClient.Do(httpRequest)
	a.err = err
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		a.execution = response.Header.Get(emulator.HeaderExecution)
		a.callResponse = readResponse(response)
	}
	a.ended = time.Now().UnixMicro()
	j.mu.Lock()
	defer j.mu.Unlock()
	a.number = len(j.attempts)
	j.attempts = append(j.attempts, a)
	return a
}

// startRequest sends a request in the background and returns once an endpoint
// runs it. Attempts that are refused with not_run are repeated up to 20 times.
func (j *journal) startRequest(entry int, r request) <-chan attempt {
	j.t.Helper()
	done := make(chan attempt, 1)
	go func() {
		a := j.send(entry, r)
		for retry := 0; retry < 20 && a.result() == client.OutcomeNotRun; retry++ {
			time.Sleep(200 * time.Millisecond)
			r.firstAttempt = false
			a = j.send(entry, r)
		}
		done <- a
	}()
	waitFor(j.t, 10*time.Second, "an endpoint runs "+r.path, func() bool { return len(j.executionsByPath()[r.path]) > 0 })
	return done
}

type hostExecution struct {
	emulator.Execution
	host string
}

// executionsByPath returns the executions that the endpoints recorded, by path
// without the leading slash.
func (c *cluster) executionsByPath() map[string][]hostExecution {
	byPath := map[string][]hostExecution{}
	for _, h := range c.hosts {
		for _, x := range h.endpoint.Executions() {
			path := strings.TrimPrefix(x.Path, "/")
			byPath[path] = append(byPath[path], hostExecution{
				Execution: x,
				host:      h.id,
			})
		}
	}
	return byPath
}

// checkAll compares all responses with the endpoints' records and returns the
// number of responses by outcome. It checks promise 5 (each response is complete
// and belongs to its request), 6 (a not_run request never ran) and 7 (a key or
// request runs at most once).
func (j *journal) checkAll(t *testing.T) map[string]int {
	t.Helper()
	time.Sleep(settleTime)
	j.mu.Lock()
	defer j.mu.Unlock()
	byPath := j.executionsByPath()
	byKey := map[string]int{}
	for path, executions := range byPath {
		if len(executions) > 1 {
			t.Errorf("promise 7: %s ran %d times: %+v", path, len(executions), executions)
		}
		if key := executions[0].Key; key != "" {
			byKey[key] += len(executions)
		}
	}
	for key, count := range byKey {
		if count > 1 {
			t.Errorf("promise 7: key %s ran %d times", key, count)
		}
	}
	counts := map[string]int{}
	for _, a := range j.attempts {
		counts[a.result()]++
		if a.reason != "" {
			counts[a.outcome+" "+a.reason]++
		}
		if violation := j.violation(a, byPath[a.path]); violation != "" {
			t.Errorf("%s: %s (key %q, status %d, reason %q)", a.path, violation, a.key, a.status, a.reason)
		}
	}
	t.Logf("%s: %d requests ran, responses by outcome: %v", j.name, len(byPath), counts)
	return counts
}

// result is the outcome that the caller received, or "broken" without a complete
// response.
func (a attempt) result() string {
	if a.err != nil {
		return "broken"
	}
	return a.outcome
}

// violation describes the promise that an attempt breaks, or is empty.
func (j *journal) violation(a attempt, executions []hostExecution) string {
	var refusal client.ErrorResponse
	refused := json.Unmarshal(a.body, &refusal) == nil && refusal.Error != nil
	switch {
	case a.err != nil || a.outcome == client.OutcomeUnknown:
	case a.outcome == client.OutcomeNotRun:
		for _, x := range executions {
			if !j.explainedByOther(a, x) {
				return fmt.Sprintf("promise 6: not_run, but it ran on %s %d us after it was sent", x.host, x.StartUnixUs-a.sent)
			}
		}
	case a.outcome != client.OutcomeRan:
		return "promise 6: complete response without outcome"
	case refused && a.reason != "result_not_retained":
		return "promise 5: outcome ran, but the response is a refusal"
	case len(executions) == 0:
		return "promise 5: response to a request that never ran"
	case !refused && string(a.body) != a.expectedBody():
		return fmt.Sprintf("promise 5: got %d of %d bytes or another request's response, beginning %.60q", len(a.body), len(a.expectedBody()), a.body)
	case !refused && a.execution != executions[0].ID:
		return fmt.Sprintf("promise 7: response of execution %s, endpoint recorded %s", a.execution, executions[0].ID)
	}
	return ""
}

// explainedByOther reports whether an execution after the refusal of an attempt
// may belong to another attempt with the same key that had not ended when this
// one was sent.
func (j *journal) explainedByOther(a attempt, x hostExecution) bool {
	return a.key != "" && x.StartUnixUs >= a.sent && slices.ContainsFunc(j.attempts, func(other attempt) bool {
		return other.number != a.number && other.path == a.path && other.sent <= x.StartUnixUs && other.ended >= a.sent
	})
}

// startRandomLoad sends random requests from several callers until the returned
// function is called. Callers retry a key through the other entry, sometimes
// while it still runs.
func (j *journal) startRandomLoad(random *rand.Rand, callers int) (stop func()) {
	var group sync.WaitGroup
	var stopped atomic.Bool
	for range callers {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		group.Go(func() {
			for !stopped.Load() {
				j.sendRandomRequest(callerRandom)
			}
		})
	}
	return func() {
		stopped.Store(true)
		group.Wait()
	}
}

func (j *journal) sendRandomRequest(random *rand.Rand) {
	r := j.newRequest()
	if random.IntN(3) > 0 {
		r = j.newKeyedRequest("")
		r.firstAttempt = random.IntN(2) == 0
	}
	r.timeout = time.Duration(200+random.IntN(1000)) * time.Millisecond
	r.serviceMS = random.IntN(100)
	r.bytes = []int{0, 2_000, 60_000, 300_000}[random.IntN(4)]
	entry := random.IntN(2)
	if r.key == "" {
		j.send(entry, r)
		return
	}
	var duplicate sync.WaitGroup
	if random.IntN(4) == 0 {
		repeated := r
		repeated.firstAttempt = false
		pause := time.Duration(random.IntN(50)) * time.Millisecond
		duplicate.Go(func() {
			time.Sleep(pause)
			j.send(entry+1, repeated)
		})
	}
	for number := range 4 {
		a := j.send(entry+number, r)
		if a.result() == client.OutcomeRan && random.IntN(4) > 0 {
			break
		}
		r.firstAttempt = false
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	duplicate.Wait()
}

// addToxic adds a toxiproxy fault to a link and returns a function that removes
// it. attributes are JSON members.
func (c *cluster) addToxic(link, kind string, dir direction, attributes string) func() {
	c.t.Helper()
	name := kind + "_" + string(dir)
	c.proxies.addToxic(link, dir, name, fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{%s}}`, name, kind, dir, attributes))
	return func() { c.proxies.removeToxic(link, name) }
}
