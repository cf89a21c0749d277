package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
)

// answer is what a caller got: either a complete response or an error before
// its end.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
	err     error
}

// call is one urgent request as a caller sends it, without any retry.
type call struct {
	key     string
	first   bool
	timeout time.Duration
	body    string
	headers map[string]string
	http    *http.Client
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
		},
	}
}

func (e *entry) send(t *testing.T, c call) answer {
	t.Helper()
	if c.timeout == 0 {
		c.timeout = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+5*time.Second)
	defer cancel()
	url := e.url + "/v1/services/tags/requests/issue"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(c.body))
	assert.NilError(t, err)
	request.Header.Set(client.HeaderTimeout, c.timeout.String())
	if c.key != "" {
		request.Header.Set(client.HeaderKey, c.key)
	}
	if c.first {
		request.Header.Set(client.HeaderFirstAttempt, "true")
	}
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	caller := c.http
	if caller == nil {
		caller = newHTTPClient()
		defer caller.CloseIdleConnections()
	}
	response, err := caller.Do(request)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	return read(response)
}

func read(response *http.Response) answer {
	a := answer{
		status:  response.StatusCode,
		outcome: response.Header.Get(client.HeaderOutcome),
	}
	a.body, a.err = io.ReadAll(response.Body)
	var refusal client.ErrorResponse
	if json.Unmarshal(a.body, &refusal) == nil && refusal.Error != nil {
		a.outcome = refusal.Error.Outcome
		a.reason = string(refusal.Error.Reason)
	}
	return a
}

// executions counts what all endpoints recorded for a key.
func (c *cluster) executions(key string) int {
	count := 0
	for _, h := range c.hosts {
		for _, execution := range h.endpoint.Executions() {
			if execution.Key == key {
				count++
			}
		}
	}
	return count
}

func (c *cluster) operator(team string) *client.Client {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, address(e.url))
	}
	return &client.Client{
		Entries: addresses,
		Team:    team,
		Actor:   "e2e",
	}
}

// publish publishes the sections of each team.
func (c *cluster) publish(sections map[string]string) {
	c.t.Helper()
	for team, text := range sections {
		waitFor(c.t, readyWithin, "sections of "+team+" are published", func() bool {
			_, err := c.operator(team).Publish(context.Background(), &client.PublishRequest{
				Team: team,
				Text: text,
			})
			if err != nil {
				c.t.Logf("publish: %v", err)
			}
			return err == nil
		})
	}
}

// waitEndpoints waits until every entry knows that many endpoints and the
// shards of the service are ready.
func (c *cluster) waitEndpoints(count int) {
	c.t.Helper()
	for _, e := range c.entries {
		one := &client.Client{
			Entries: []string{address(e.url)},
		}
		waitFor(c.t, readyWithin, "endpoints and shards are ready", func() bool {
			services, err := one.Services(context.Background())
			if err != nil || len(services) != 1 || services[0].Members != count {
				return false
			}
			return count < 2 || services[0].ShardsReady == services[0].Shards
		})
	}
}

func (c *cluster) submit(key string, parameters map[string]string) *client.Task {
	c.t.Helper()
	task, err := c.operator("board").Submit(context.Background(), &client.TaskRequest{
		Team: "board",
		Kind: "ledger",
		Resources: client.Resources{
			Millicores:  2_000,
			MemoryBytes: 1 << 30,
		},
		CanCheckpoint: true,
		Parameters:    parameters,
	}, key)
	assert.NilError(c.t, err)
	return task
}

// task returns the system's view of a task; tests judge by the platform's own
// history instead.
func (c *cluster) task(id string) *client.Task {
	c.t.Helper()
	task, err := c.operator("board").Task(context.Background(), id)
	if err != nil {
		return &client.Task{}
	}
	return task
}

// events returns what the platform recorded of a task.
func (c *cluster) events(task, kind string) []emulator.Event {
	var events []emulator.Event
	for _, event := range c.platform.History().Events {
		if event.Task == task && event.Kind == kind {
			events = append(events, event)
		}
	}
	return events
}

func (c *cluster) assertNoViolation() {
	c.t.Helper()
	for _, violation := range c.platform.History().Violations {
		c.t.Errorf("the platform observed %+v", violation)
	}
}
