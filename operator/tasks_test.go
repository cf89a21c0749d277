package operator_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/wire"
)

func renderRequest() client.TaskRequest {
	return client.TaskRequest{
		Team: "cutting",
		Kind: "render",
	}
}

const renderKindSection = "[kind render]\nowner = ops\nclass = batch\nprocessors = 2\nmemory = 4GB\nmay_wait = 30m\n"

// Guards against a repeated submission that creates a second task, and against
// an idempotency key that is reused with another body.
func TestSubmitIsIdempotent(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", renderKindSection, nil)
	var first, second client.Task
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", renderRequest(), &first, client.HeaderKey, "k1"), http.StatusCreated)
	assert.Equal(t, first.Phase, "pending")
	assert.Equal(t, first.Resources.Millicores, int64(2000))
	assert.Equal(t, first.MaxWaitMs, int64(1_800_000))
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", renderRequest(), &second, client.HeaderKey, "k1"), http.StatusOK)
	assert.Equal(t, second.Task, first.Task)
	assert.Assert(t, second.Replayed)
	other := renderRequest()
	other.CanCheckpoint = true
	var refused client.ErrorResponse
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", other, &refused, client.HeaderKey, "k1"), http.StatusConflict)
	assert.Equal(t, refused.Error.Reason, damaskspread.ReasonKeyReused)
	other.Team = "design"
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", other, &second, client.HeaderKey, "k1"), http.StatusCreated)
}

// Guards against a concurrent submission with the same idempotency key that is
// refused, or that creates a second task.
func TestSubmitConcurrently(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", renderKindSection, nil)
	var first, second client.Task
	f.beforeAppend = func() {
		assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", renderRequest(), &first, client.HeaderKey, "k1"), http.StatusCreated)
	}
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", renderRequest(), &second, client.HeaderKey, "k1"), http.StatusOK)
	assert.Equal(t, second.Task, first.Task)
	f.beforeAppend = func() {
		other := renderRequest()
		other.CanCheckpoint = true
		assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", other, &first, client.HeaderKey, "k2"), http.StatusCreated)
	}
	var refused client.ErrorResponse
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", renderRequest(), &refused, client.HeaderKey, "k2"), http.StatusConflict)
	assert.Equal(t, refused.Error.Reason, damaskspread.ReasonKeyReused)
}

// Guards against refusals without a reason and against invalid tasks that are
// accepted.
func TestSubmitInvalidRequest(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", renderKindSection, nil)
	cases := []struct {
		name   string
		change func(*client.TaskRequest)
		want   string
	}{
		{"no team", func(r *client.TaskRequest) { r.Team = "" }, "team is required"},
		{"no kind", func(r *client.TaskRequest) { r.Kind = "" }, "kind is required"},
		{"misspelled kind", func(r *client.TaskRequest) { r.Kind = "rendr" }, "did you mean render?"},
		{"bad class", func(r *client.TaskRequest) { r.Class = "urgent" }, `found "urgent"`},
		{"bad zone", func(r *client.TaskRequest) { r.Zones = []string{"a b"} }, "zones lists names"},
		{"negative memory", func(r *client.TaskRequest) { r.Resources.MemoryBytes = -1 }, "resources.memory_bytes"},
		{"no processors", func(r *client.TaskRequest) { r.Kind, r.Class = "other", "batch" }, "resources.millicores"},
		{"too large", func(r *client.TaskRequest) { r.Resources.Millicores = 1 << 62 }, "resources.millicores"},
		{"negative wait", func(r *client.TaskRequest) { r.MaxWaitMs = -1 }, "max_wait_ms"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := renderRequest()
			c.change(&request)
			var refused client.ErrorResponse
			assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", request, &refused), http.StatusBadRequest)
			assert.Equal(t, refused.Error.Outcome, client.OutcomeNotRun)
			assert.Assert(t, strings.Contains(refused.Error.Message, c.want), refused.Error.Message)
		})
	}
	var refused client.ErrorResponse
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", map[string]string{"tam": "x"}, &refused), http.StatusBadRequest)
	assert.Assert(t, strings.Contains(refused.Error.Message, `unknown field "tam"`))
	f.appendOutcome = func() (bool, error) { return false, &damaskspread.LogUnavailableError{Cause: context.Canceled} }
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", renderRequest(), &refused), http.StatusServiceUnavailable)
	assert.Equal(t, refused.Error.Outcome, client.OutcomeNotRun)
	assert.Equal(t, refused.Error.Reason, damaskspread.ReasonLogUnavailable)
}

// Guards against a cancellation by another team or without effect, and against
// filters and pages that leave tasks out.
func TestListAndCancel(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", renderKindSection, nil)
	for _, id := range []string{"t1", "t2", "t3"} {
		request := renderRequest()
		request.Task = id
		var task client.Task
		assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", request, &task), http.StatusCreated)
	}
	var refused client.ErrorResponse
	assert.Equal(t, f.call(http.MethodDelete, "/v1/tasks/t2?team=design", nil, &refused), http.StatusForbidden)
	assert.Equal(t, f.call(http.MethodDelete, "/v1/tasks/t9?team=cutting", nil, &refused), http.StatusNotFound)
	var task client.Task
	assert.Equal(t, f.call(http.MethodDelete, "/v1/tasks/t2?team=cutting", nil, &task), http.StatusOK)
	assert.Equal(t, task.Result, "canceled")
	assert.Equal(t, f.call(http.MethodDelete, "/v1/tasks/t2?team=cutting", nil, &task), http.StatusOK)
	var list client.TaskList
	assert.Equal(t, f.call(http.MethodGet, "/v1/tasks?phase=pending&team=cutting&limit=1", nil, &list), http.StatusOK)
	assert.Equal(t, list.Total, 2)
	assert.Equal(t, list.Tasks[0].Task, "t1")
	assert.Equal(t, f.call(http.MethodGet, "/v1/tasks?phase=pending&after="+list.Next, nil, &list), http.StatusOK)
	assert.Equal(t, list.Tasks[0].Task, "t3")
	assert.Equal(t, f.call(http.MethodGet, "/v1/tasks?phase=running", nil, &refused), http.StatusBadRequest)
	var explanation client.Explanation
	assert.Equal(t, f.call(http.MethodGet, "/v1/tasks/t1/explain", nil, &explanation), http.StatusOK)
	assert.DeepEqual(t, explanation.Decision, &client.Decision{Reason: "no host holds t1"})
}

// joinHost adds host-01, which has an endpoint of the service planning.
func (f *fixture) joinHost() {
	f.apply([]*wire.Record{{
		Id: "join",
		Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{
			Entry: "entry-1",
			Spec: &wire.HostSpec{
				Host:        "host-01",
				Incarnation: "i1",
				WorkerBoot:  "b1",
				Zone:        "gaspe",
				Capacity:    &wire.Resources{Millicores: 16000, MemoryBytes: 60e9},
				Endpoint:    &wire.EndpointSpec{Service: "planning", Slots: 8, Connections: 64},
			},
		}},
	}})
}

// claim assigns the first attempt of a task to host-01.
func (f *fixture) claim(task string) {
	f.apply([]*wire.Record{{
		Id: "claim",
		Body: &wire.Record_TaskClaimed{TaskClaimed: &wire.TaskClaimed{
			Task:       task,
			Attempt:    1,
			Host:       "host-01",
			WorkerBoot: "b1",
		}},
	}})
}

// Guards against a host that is drained or declared lost although its worker
// has restarted, and against listings that leave hosts out.
func TestHostChange(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", renderKindSection, nil)
	f.joinHost()
	var task client.Task
	assert.Equal(t, f.call(http.MethodPost, "/v1/tasks", renderRequest(), &task), http.StatusCreated)
	f.claim(task.Task)
	var hosts []client.Host
	assert.Equal(t, f.call(http.MethodGet, "/v1/hosts", nil, &hosts), http.StatusOK)
	assert.Equal(t, hosts[0].Tasks, 1)
	assert.Equal(t, hosts[0].Free.Millicores, int64(14000))
	var endpoints []client.Endpoint
	assert.Equal(t, f.call(http.MethodGet, "/v1/endpoints", nil, &endpoints), http.StatusOK)
	assert.Assert(t, endpoints[0].InService && !endpoints[0].LoadKnown)
	f.handler.Load = func(string) (*wire.EndpointLoad, bool) { return &wire.EndpointLoad{Running: 3}, true }
	f.handler.BatchShare = func(string) int { return 500 }
	assert.Equal(t, f.call(http.MethodGet, "/v1/endpoints", nil, &endpoints), http.StatusOK)
	assert.Assert(t, endpoints[0].LoadKnown && endpoints[0].Running == 3)
	assert.Equal(t, f.call(http.MethodGet, "/v1/hosts", nil, &hosts), http.StatusOK)
	assert.Equal(t, hosts[0].BatchSharePermille, 500)
	var services []client.Service
	assert.Equal(t, f.call(http.MethodGet, "/v1/services", nil, &services), http.StatusOK)
	assert.Equal(t, services[0].Slots, int64(8))
	var refused client.ErrorResponse
	request := client.TeamRequest{Team: "ops", WorkerBoot: "b0"}
	assert.Equal(t, f.call(http.MethodPost, "/v1/hosts/host-01/lost", request, &refused), http.StatusConflict)
	assert.Equal(t, f.call(http.MethodPost, "/v1/hosts/host-01/drain", request, &refused), http.StatusConflict)
	request.WorkerBoot = "b1"
	var host client.Host
	assert.Equal(t, f.call(http.MethodPost, "/v1/hosts/host-01/drain", request, &host), http.StatusOK)
	assert.Equal(t, host.State, "leaving")
	assert.Equal(t, f.call(http.MethodPost, "/v1/hosts/host-01/lost", request, &host), http.StatusOK)
	assert.Equal(t, host.State, "expired")
	assert.Equal(t, f.call(http.MethodGet, "/v1/tasks/"+task.Task, nil, &task), http.StatusOK)
	assert.Equal(t, task.Phase, "pending")
	assert.Equal(t, task.Attempt, int32(2))
	var status client.Status
	assert.Equal(t, f.call(http.MethodGet, "/v1/status", nil, &status), http.StatusOK)
	assert.Equal(t, status.Hosts["expired"], 1)
	assert.Assert(t, !status.Stale)
	var audit client.AuditResponse
	assert.Equal(t, f.call(http.MethodGet, "/v1/audit?subject=host-01", nil, &audit), http.StatusOK)
	assert.Equal(t, audit.Entries[0].To, "declared_lost")
	assert.Equal(t, audit.Entries[0].Actor, "ops")
}

// Guards against a body that ends early and is reported as too large, and against
// an empty description of a host that is gone.
func TestBodyAndHostErrors(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", renderKindSection, nil)
	connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(connection, "POST /v1/tasks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nbroken\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.NilError(t, connection.Close())

	join := &wire.Record{Id: "join", Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{
		Entry: "entry-1",
		Spec:  &wire.HostSpec{Host: "host-01", Incarnation: "i1", Zone: "gaspe"},
	}}}
	f.apply([]*wire.Record{join})
	f.afterAppend = func() {
		host, _ := f.state.Host("host-01")
		ref := &wire.HostRef{Host: "host-01", Incarnation: "i1"}
		f.apply([]*wire.Record{{Id: "expired", Body: &wire.Record_HostExpired{HostExpired: &wire.HostExpired{
			Host: ref, Alive: host.GetAlive(),
		}}}})
		f.apply([]*wire.Record{{Id: "forgotten", Body: &wire.Record_HostForgotten{HostForgotten: &wire.HostForgotten{
			Host: ref, Alive: host.GetAlive(),
		}}}})
	}
	var refused client.ErrorResponse
	status := f.call(http.MethodPost, "/v1/hosts/host-01/drain", client.TeamRequest{Team: "ops"}, &refused)
	assert.Equal(t, status, http.StatusNotFound)
	assert.Equal(t, refused.Error.Outcome, client.OutcomeRan)
}
