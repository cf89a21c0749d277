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

// quickLimits let members expire and configuration become stale within a test.
var quickLimits = map[string]string{
	"currency_limit": "1500ms",
	"sync_wait":      "300ms",
	"member_hold":    "2s",
	"drain_timeout":  "10s",
}

// settleTime is how long executions may follow the last request: longer than
// the longest timeout of a request in these tests.
const settleTime = 3 * time.Second

var starting sync.Mutex

// startAlone starts one cluster at a time. A process that is being started
// holds open sockets of this one until its exec, so a port that another test
// has just found free would be in use.
func startAlone(t *testing.T, o options) *cluster {
	t.Helper()
	starting.Lock()
	defer starting.Unlock()
	return startCluster(t, o)
}

// request is what a caller wants; its path identifies it at the endpoints.
type request struct {
	path      string
	key       string
	first     bool
	timeout   time.Duration
	serviceMS int
	bytes     int
	ending    string
}

func (r request) payload() string { return "<" + r.path + ">" }

// whole is the only complete answer to the request.
func (r request) whole() string {
	size := r.bytes
	if size == 0 {
		size = len(r.payload())
	}
	return strings.Repeat(r.payload(), size/len(r.payload())+1)[:size]
}

// attempt is one delivery of a request and what its caller received.
type attempt struct {
	request
	answer
	number      int
	execution   string
	sent, ended int64
}

// journal keeps what callers sent and received, and compares it with the
// endpoints' own records.
type journal struct {
	*cluster
	name    string
	callers []string
	http    *http.Client

	mu       sync.Mutex
	attempts []attempt
	number   int
}

// newJournal sends through a proxy between the callers and each entry.
func newJournal(c *cluster, name string) *journal {
	j := &journal{
		cluster: c,
		name:    name,
		http:    newHTTPClient(),
	}
	for _, e := range c.entries {
		j.callers = append(j.callers, c.proxies.link("caller/"+e.name, address(e.url)))
	}
	c.t.Cleanup(j.http.CloseIdleConnections)
	return j
}

// next returns a new request without a key.
func (j *journal) next() request {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.number++
	return request{
		path:    fmt.Sprintf("%s-%d", j.name, j.number),
		timeout: 2 * time.Second,
	}
}

// nextKeyed returns a new request with a key of the shard of another key.
func (j *journal) nextKeyed(like string) request {
	for {
		r := j.next()
		r.key = "key-" + r.path
		if like == "" || replayer.ShardOf(r.key) == replayer.ShardOf(like) {
			return r
		}
	}
}

// send delivers a request once through an entry.
func (j *journal) send(entry int, r request) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+time.Second)
	defer cancel()
	url := "http://" + j.callers[entry%len(j.callers)] + "/v1/services/tags/requests/" + r.path
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(r.payload()))
	if err != nil {
		j.t.Errorf("request: %v", err)
		return attempt{}
	}
	// The transport must not deliver the request a second time by itself.
	message.GetBody = nil
	message.Header.Set(client.HeaderTimeout, r.timeout.String())
	message.Header.Set(emulator.HeaderServiceMs, strconv.Itoa(r.serviceMS))
	message.Header.Set(emulator.HeaderAnswerBytes, strconv.Itoa(r.bytes))
	for name, value := range map[string]string{client.HeaderKey: r.key, emulator.HeaderEnding: r.ending} {
		if value != "" {
			message.Header.Set(name, value)
		}
	}
	if r.first {
		message.Header.Set(client.HeaderFirstAttempt, "true")
	}
	a := attempt{
		request: r,
		sent:    time.Now().UnixMicro(),
	}
	response, err := j.http.Do(message)
	a.err = err
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		a.execution = response.Header.Get(emulator.HeaderExecution)
		a.answer = read(response)
	}
	a.ended = time.Now().UnixMicro()
	j.mu.Lock()
	defer j.mu.Unlock()
	a.number = len(j.attempts)
	j.attempts = append(j.attempts, a)
	return a
}

// begin sends in the background and returns once an endpoint runs the request.
// A refusal while the cluster settles is followed by another attempt.
func (j *journal) begin(entry int, r request) <-chan attempt {
	j.t.Helper()
	done := make(chan attempt, 1)
	go func() {
		a := j.send(entry, r)
		for try := 0; try < 20 && a.name() == client.OutcomeNotRun; try++ {
			time.Sleep(200 * time.Millisecond)
			r.first = false
			a = j.send(entry, r)
		}
		done <- a
	}()
	waitFor(j.t, 10*time.Second, "an endpoint runs "+r.path, func() bool { return len(j.executed()[r.path]) > 0 })
	return done
}

type located struct {
	emulator.Execution
	host string
}

// executed returns the endpoints' records by path.
func (c *cluster) executed() map[string][]located {
	byPath := map[string][]located{}
	for _, h := range c.hosts {
		for _, x := range h.endpoint.Executions() {
			path := strings.TrimPrefix(x.Path, "/")
			byPath[path] = append(byPath[path], located{
				Execution: x,
				host:      h.id,
			})
		}
	}
	return byPath
}

// check compares all answers with the endpoints' records. Promises: 5 whole
// answer of the own request, 6 not_run is true, 7 at most one execution.
func (j *journal) check(t *testing.T) map[string]int {
	t.Helper()
	time.Sleep(settleTime)
	j.mu.Lock()
	defer j.mu.Unlock()
	executed := j.executed()
	byKey := map[string]int{}
	for path, executions := range executed {
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
	seen := map[string]int{}
	for _, a := range j.attempts {
		seen[a.name()]++
		if a.reason != "" {
			seen[a.outcome+" "+a.reason]++
		}
		if problem := j.judge(a, executed[a.path]); problem != "" {
			t.Errorf("%s: %s (key %q, status %d, reason %q)", a.path, problem, a.key, a.status, a.reason)
		}
	}
	t.Logf("%s: %d requests ran, answers by outcome: %v", j.name, len(executed), seen)
	return seen
}

// name is what the caller learned.
func (a attempt) name() string {
	if a.err != nil {
		return "broken"
	}
	return a.outcome
}

func (j *journal) judge(a attempt, executions []located) string {
	var refusal client.ErrorResponse
	refused := json.Unmarshal(a.body, &refusal) == nil && refusal.Error != nil
	switch {
	case a.err != nil || a.outcome == client.OutcomeUnknown:
	case a.outcome == client.OutcomeNotRun:
		for _, x := range executions {
			if !j.excused(a, x) {
				return fmt.Sprintf("promise 6: not_run, but it ran on %s %d us after it was sent", x.host, x.StartUnixUs-a.sent)
			}
		}
	case a.outcome != client.OutcomeRan:
		return "promise 6: complete answer without outcome"
	case refused && a.reason != "result_not_retained":
		return "promise 5: ran, but the answer is a refusal"
	case len(executions) == 0:
		return "promise 5: answer of a request that never ran"
	case !refused && string(a.body) != a.whole():
		return fmt.Sprintf("promise 5: got %d of %d bytes or another request's answer, beginning %.60q", len(a.body), len(a.whole()), a.body)
	case !refused && a.execution != executions[0].ID:
		return fmt.Sprintf("promise 7: answer of execution %s, endpoint recorded %s", a.execution, executions[0].ID)
	}
	return ""
}

// excused reports whether another attempt with the key, one that had not ended
// when this one was sent, may have run after this one's refusal.
func (j *journal) excused(a attempt, x located) bool {
	return a.key != "" && x.StartUnixUs >= a.sent && slices.ContainsFunc(j.attempts, func(other attempt) bool {
		return other.number != a.number && other.path == a.path && other.sent <= x.StartUnixUs && other.ended >= a.sent
	})
}

// load sends random requests from several callers until it is stopped.
// Callers retry a key through the other entry, sometimes while it still runs.
func (j *journal) load(random *rand.Rand, callers int) (stop func()) {
	var group sync.WaitGroup
	var stopped atomic.Bool
	for range callers {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		group.Go(func() {
			for !stopped.Load() {
				j.randomRequest(own)
			}
		})
	}
	return func() {
		stopped.Store(true)
		group.Wait()
	}
}

func (j *journal) randomRequest(random *rand.Rand) {
	r := j.next()
	if random.IntN(3) > 0 {
		r = j.nextKeyed("")
		r.first = random.IntN(2) == 0
	}
	r.timeout = time.Duration(200+random.IntN(1000)) * time.Millisecond
	r.serviceMS = random.IntN(100)
	r.bytes = []int{0, 2_000, 60_000, 300_000}[random.IntN(4)]
	entry := random.IntN(2)
	if r.key == "" {
		j.send(entry, r)
		return
	}
	var twin sync.WaitGroup
	if random.IntN(4) == 0 {
		again := r
		again.first = false
		pause := time.Duration(random.IntN(50)) * time.Millisecond
		twin.Go(func() {
			time.Sleep(pause)
			j.send(entry+1, again)
		})
	}
	for try := range 4 {
		a := j.send(entry+try, r)
		if a.name() == client.OutcomeRan && random.IntN(4) > 0 {
			break
		}
		r.first = false
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	twin.Wait()
}

// toxic adds a fault of the proxy to a link and returns its removal.
func (c *cluster) toxic(link, kind string, way direction, attributes string) func() {
	c.t.Helper()
	name := kind + "_" + string(way)
	c.proxies.toxic(link, way, name, fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{%s}}`, name, kind, way, attributes))
	return func() { _ = c.proxies.get(link).Toxics.RemoveToxic(context.Background(), name) }
}
