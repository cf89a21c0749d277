package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/admitter"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/forwarder"
	"damaskspread.example/damaskspread/limiter"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/retrier"
	"damaskspread.example/damaskspread/router"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// testCluster is an entry and agents with endpoints on loopback. All share one
// replayed state, which replaces the log.
type testCluster struct {
	mu         sync.Mutex
	state      *replayer.State
	previous   [replayer.ShardCount]*wire.Position // by shard: the epoch before the current one
	age        atomic.Int64
	agents     map[string]*agent
	dispatcher *dispatcher.Dispatcher
	url        string
	client     *http.Client
}

type agent struct {
	*testCluster
	admitter       *admitter.Admitter
	agentServer    *httptest.Server
	spec           *wire.HostSpec
	executed       atomic.Int32
	endpointServer *httptest.Server
	handler        atomic.Pointer[http.HandlerFunc]
}

func (c *testCluster) View(read func(*replayer.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	read(c.state)
}

func (c *testCluster) Age() time.Duration { return time.Duration(c.age.Load()) }

func (c *testCluster) ZoneInService(string) bool { return true }

func (c *testCluster) Leaving() bool { return false }

func (c *testCluster) Policy() admitter.Policy { return admitter.Policy{} }

// AppendRecords implements damaskspread.Appender.
func (c *testCluster) AppendRecords(_ context.Context, records []*wire.Record) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := make([]*wire.Position, replayer.ShardCount)
	for i, shard := range c.state.Shards("s") {
		before[i] = shard.GetEpoch()
	}
	c.state.Apply(c.state.Offset()+1, &wire.RecordBatch{Records: records})
	for i, shard := range c.state.Shards("s") {
		if shard.GetEpoch() != before[i] {
			c.previous[i] = before[i]
		}
	}
	return c.state.Offset(), nil
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func newHTTP2Client() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}}
}

func serve(tb testing.TB, handler http.Handler) *httptest.Server {
	tb.Helper()
	s := httptest.NewUnstartedServer(handler)
	s.Config.Protocols = protocols()
	s.Start()
	tb.Cleanup(s.Close)
	return s
}

func newTestCluster(tb testing.TB, agents int) *testCluster {
	tb.Helper()
	c := &testCluster{
		state:  replayer.New(),
		agents: map[string]*agent{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	tb.Cleanup(c.client.CloseIdleConnections)
	agentClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	tb.Cleanup(agentClient.CloseIdleConnections)
	for i := range agents {
		c.addAgent(tb, fmt.Sprintf("h%d", i), agentClient)
	}
	c.sync(tb)
	clock := clockwork.NewRealClock()
	c.dispatcher = &dispatcher.Dispatcher{
		Follower:      c,
		Router:        &router.Router{Clock: clock, Zone: "z0", Seed: 1},
		Retries:       &retrier.Retrier{TokensPerRequest: 0.2, Burst: 100, Base: time.Millisecond, Max: 10 * time.Millisecond, MinTry: 10 * time.Millisecond, Random: rand.New(rand.NewPCG(1, 1))},
		HTTP:          agentClient,
		Clock:         clock,
		CurrencyLimit: 3 * time.Second,
	}
	c.dispatcher.Refresh()
	c.url = serve(tb, c.dispatcher).URL
	return c
}

func (c *testCluster) addAgent(tb testing.TB, host string, agentClient *http.Client) {
	tb.Helper()
	a := &agent{testCluster: c}
	a.endpointServer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a.executed.Add(1)
		if handler := a.handler.Load(); handler != nil {
			(*handler)(w, req)
			return
		}
		body, _ := io.ReadAll(req.Body)
		w.Header().Set("X-Endpoint", host)
		_, _ = fmt.Fprintf(w, "%s %s", req.URL.RequestURI(), body)
	}))
	tb.Cleanup(a.endpointServer.Close)
	clock := clockwork.NewRealClock()
	var running tomb.Tomb
	keys := &deduplicator.Deduplicator{
		Clock:       clock,
		Currency:    c,
		Peers:       &admitter.Peers{HTTP: agentClient},
		Appender:    c,
		KeyLifetime: time.Hour,
	}
	running.Go(func() error { return keys.Run(&running) })
	tb.Cleanup(func() {
		running.Kill(nil)
		_ = running.Wait()
	})
	a.admitter = &admitter.Admitter{
		Limiter:       &limiter.Limiter{Clock: clock, Slots: 8, MaxQueued: 64},
		Keys:          keys,
		Forwarder:     &forwarder.Forwarder{Clock: clock, Address: a.endpointServer.Listener.Addr().String(), MaxConnections: 64},
		Feed:          c,
		Clock:         clock,
		Service:       "s",
		Zone:          "z0",
		CurrencyLimit: 3 * time.Second,
	}
	_, handler := wireconnect.NewAgentServiceHandler(a.admitter)
	a.agentServer = serve(tb, handler)
	a.spec = &wire.HostSpec{
		Host:        host,
		Incarnation: "1",
		Zone:        "z0",
		Address:     a.agentServer.Listener.Addr().String(),
		Endpoint:    &wire.EndpointSpec{Service: "s", Slots: 8},
	}
	c.agents[host] = a
	_, _ = c.AppendRecords(context.Background(), []*wire.Record{{Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{Spec: a.spec}}}})
	c.sync(tb)
}

// sync gives all agents the current shard assignments and synchronizes their
// keys, repeatedly until the roles no longer change.
func (c *testCluster) sync(tb testing.TB) {
	tb.Helper()
	for range 4 {
		for _, a := range c.agents {
			var assignments []deduplicator.Assignment
			c.View(func(s *replayer.State) {
				for _, shard := range s.Shards("s") {
					assignment := deduplicator.Assignment{State: shard, Previous: c.previous[shard.GetShard()]}
					if p := c.agents[shard.GetPrimary().GetHost()]; p != nil {
						assignment.PrimaryAddress = p.spec.GetAddress()
					}
					if p := c.agents[shard.GetSecondary().GetHost()]; p != nil {
						assignment.SecondaryAddress = p.spec.GetAddress()
					}
					assignments = append(assignments, assignment)
				}
			})
			a.admitter.Keys.Assign(&wire.HostRef{Host: a.spec.GetHost(), Incarnation: "1"}, assignments)
		}
		for _, a := range c.agents {
			_ = a.admitter.Keys.Synchronize(context.Background())
		}
	}
}

type callerResponse struct {
	*http.Response
	body    string
	refusal struct {
		Error struct {
			Outcome   string `json:"outcome"`
			Reason    string `json:"reason"`
			RequestID string `json:"request_id"`
		} `json:"error"`
	}
}

func (c *testCluster) post(tb testing.TB, client *http.Client, path, body string, headers map[string]string) *callerResponse {
	tb.Helper()
	request, err := http.NewRequest(http.MethodPost, c.url+path, strings.NewReader(body))
	assert.NilError(tb, err)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	assert.NilError(tb, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(tb, err)
	a := &callerResponse{Response: response, body: string(data)}
	_ = json.Unmarshal(data, &a.refusal)
	return a
}

func (c *testCluster) executed() (n int32) {
	for _, a := range c.agents {
		n += a.executed.Load()
	}
	return n
}

func (c *testCluster) setHandler(handler http.HandlerFunc) {
	for _, a := range c.agents {
		a.handler.Store(&handler)
	}
}

const target = "/v1/services/s/requests/fold/a%2Fb?q=1"
