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

// callResponse is what a caller received: a complete response, or an error
// before its end.
type callResponse struct {
	status  int
	outcome string
	reason  string
	body    []byte
	err     error
}

// callOptions describes one request as a caller sends it, without retries. The
// defaults are a timeout of 5 s and a new HTTP client.
type callOptions struct {
	key          string
	firstAttempt bool
	timeout      time.Duration
	body         string
	headers      map[string]string
	httpClient   *http.Client
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
		},
	}
}

func (e *entry) send(t *testing.T, options callOptions) callResponse {
	t.Helper()
	if options.timeout == 0 {
		options.timeout = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout+5*time.Second)
	defer cancel()
	url := e.url + "/v1/services/tags/requests/issue"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(options.body))
	assert.NilError(t, err)
	request.Header.Set(client.HeaderTimeout, options.timeout.String())
	if options.key != "" {
		request.Header.Set(client.HeaderKey, options.key)
	}
	if options.firstAttempt {
		request.Header.Set(client.HeaderFirstAttempt, "true")
	}
	for name, value := range options.headers {
		request.Header.Set(name, value)
	}
	httpClient := options.httpClient
	if httpClient == nil {
		httpClient = newHTTPClient()
		defer httpClient.CloseIdleConnections()
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return callResponse{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response)
}

func readResponse(response *http.Response) callResponse {
	a := callResponse{
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

// countExecutions counts the executions of a key in the records of all
// endpoints.
func (c *cluster) countExecutions(key string) int {
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

func (c *cluster) operatorClient(team string) *client.Client {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, hostPort(e.url))
	}
	return &client.Client{
		Entries: addresses,
		Team:    team,
		Actor:   "e2e",
	}
}

// publish publishes the sections of each team and retries until each
// publication is accepted.
func (c *cluster) publish(sections map[string]string) {
	c.t.Helper()
	for team, text := range sections {
		waitFor(c.t, readyTimeout, "sections of "+team+" are published", func() bool {
			_, err := c.operatorClient(team).Publish(context.Background(), &client.PublishRequest{
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

// waitEndpoints waits until every entry has count endpoints of the service and,
// if there are two or more, all its shards are ready.
func (c *cluster) waitEndpoints(count int) {
	c.t.Helper()
	for _, e := range c.entries {
		entryClient := &client.Client{
			Entries: []string{hostPort(e.url)},
		}
		waitFor(c.t, readyTimeout, "endpoints and shards are ready", func() bool {
			services, err := entryClient.Services(context.Background())
			if err != nil || len(services) != 1 || services[0].Members != count {
				return false
			}
			return count < 2 || services[0].ShardsReady == services[0].Shards
		})
	}
}

func (c *cluster) submit(key string, parameters map[string]string) *client.Task {
	c.t.Helper()
	task, err := c.operatorClient("board").Submit(context.Background(), &client.TaskRequest{
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

// task returns a task as the API of the system shows it, empty on an error.
// Verdicts on tasks use the platform's own records instead.
func (c *cluster) task(id string) *client.Task {
	c.t.Helper()
	task, err := c.operatorClient("board").Task(context.Background(), id)
	if err != nil {
		return &client.Task{}
	}
	return task
}

// events returns the events of a kind that the platform recorded for a task.
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
		c.t.Errorf("platform recorded violation: %+v", violation)
	}
}
