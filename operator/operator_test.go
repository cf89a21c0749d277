package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uptrace/bunrouter"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/operator"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// fixture is a Handler behind an HTTP server, with a fake log that applies each
// append to the replayed state at once.
type fixture struct {
	t      *testing.T
	mu     sync.Mutex
	state  *replayer.State
	audit  *auditor.Auditor
	next   int64
	server *httptest.Server
	// handler must not be modified while a call is in progress.
	handler *operator.Handler
	// beforeAppend runs once before the next append. Tests use it for the call
	// of a concurrent operator.
	beforeAppend func()
	// afterAppend runs once, after the next append was applied.
	afterAppend func()
	// appendOutcome, if set, decides whether an append applies its records and
	// which error it returns.
	appendOutcome func() (apply bool, err error)
	// noAudit is set if the auditor gets no changes.
	noAudit bool
	// age, if set, returns the age of the state.
	age func() time.Duration
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t:     t,
		state: replayer.New(),
		audit: &auditor.Auditor{},
	}
	f.handler = &operator.Handler{
		State:          f,
		Appender:       f,
		Audit:          f.audit,
		Clock:          clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)),
		Entry:          "entry-1",
		CurrencyLimit:  3 * time.Second,
		ConfirmTimeout: time.Second,
		Explain:        func(task string) *client.Decision { return &client.Decision{Reason: "no host holds " + task} },
	}
	router := bunrouter.New()
	f.handler.Register(router)
	f.server = httptest.NewServer(router)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) View(read func(*replayer.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.state)
}

func (f *fixture) Age() time.Duration {
	if f.age == nil {
		return 0
	}
	return f.age()
}

func (f *fixture) Wait(ctx context.Context, offset int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset > f.state.Offset() {
		return errors.New("batch not applied yet")
	}
	return ctx.Err()
}

func (f *fixture) AppendRecords(_ context.Context, records []*wire.Record) (int64, error) {
	if before := f.beforeAppend; before != nil {
		f.beforeAppend = nil
		before()
	}
	apply, err := true, error(nil)
	if f.appendOutcome != nil {
		apply, err = f.appendOutcome()
	}
	if apply {
		f.apply(records)
	}
	last := f.next - 1
	if after := f.afterAppend; after != nil {
		f.afterAppend = nil
		after()
	}
	return last, err
}

func (f *fixture) apply(records []*wire.Record) {
	f.mu.Lock()
	changes := f.state.Apply(f.next, &wire.RecordBatch{
		Records: records,
	})
	f.next++
	f.mu.Unlock()
	if !f.noAudit {
		f.audit.Observe(changes)
	}
}

func (f *fixture) call(method, path string, body, response any, headers ...string) int {
	f.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(f.t, err)
	request, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(string(data)))
	assert.NilError(f.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	httpResponse, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer func() { _ = httpResponse.Body.Close() }()
	assert.NilError(f.t, json.NewDecoder(httpResponse.Body).Decode(response))
	assert.Assert(f.t, httpResponse.Header.Get(client.HeaderRequestID) != "")
	return httpResponse.StatusCode
}

func (f *fixture) publish(team, text string, base map[string]client.Base) (int, client.PublishResponse) {
	f.t.Helper()
	var response client.PublishResponse
	status := f.call(http.MethodPost, "/v1/config/publish", client.PublishRequest{
		Team: team,
		Text: text,
		Base: base,
	}, &response, client.HeaderActor, "ana")
	return status, response
}

func (f *fixture) bases() map[string]client.Base {
	f.t.Helper()
	var config client.ConfigResponse
	assert.Equal(f.t, f.call(http.MethodGet, "/v1/config", nil, &config), http.StatusOK)
	bases := map[string]client.Base{}
	for _, section := range config.Sections {
		bases[section.Section] = client.Base{
			Position: section.Position,
			Hash:     client.TextHash(section.Text),
		}
	}
	return bases
}

func resultsText(response client.PublishResponse) string {
	var list []string
	for _, r := range response.Results {
		list = append(list, r.Section+": "+r.Result)
	}
	return strings.Join(list, ", ")
}

const twoSections = "[zone a]\nowner = ops\nin_service = yes\n[kind render]\nowner = ops\n"

// Guards against the publication of unchanged sections, and against an invalid
// section that stops the publication of the others.
func TestPublishSections(t *testing.T) {
	f := newFixture(t)
	status, response := f.publish("ops", twoSections+"[zone b]\nowner = ops\nin_servce = no\n[zone c]\nowner = other\n", nil)
	assert.Equal(t, status, http.StatusForbidden)
	assert.Equal(t, resultsText(response), "zone a: published, kind render: published, zone b: invalid, zone c: not_owner")
	assert.Equal(t, response.Results[2].Diagnostics[0].Suggestion, "in_service")
	appends := f.next
	status, response = f.publish("ops", twoSections, nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, resultsText(response), "zone a: unchanged, kind render: unchanged")
	assert.Equal(t, f.next, appends)
	status, _ = f.publish("ops", "\n", nil)
	assert.Equal(t, status, http.StatusBadRequest)
	status, response = f.publish("other", "[zone a]\nowner = other\n", f.bases())
	assert.Equal(t, status, http.StatusForbidden)
	assert.Equal(t, resultsText(response), "zone a: not_owner")
}

// Guards against a second operator who silently overwrites the change of the
// first, and against a conflict in a section that the second did not edit.
func TestPublishConflict(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", twoSections, nil)
	base := f.bases()
	first := strings.Replace(twoSections, "in_service = yes", "in_service = no", 1)
	status, _ := f.publish("ops", first, base)
	assert.Equal(t, status, http.StatusOK)
	status, response := f.publish("ops", twoSections+"may_wait = 70m\n", base)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, resultsText(response), "zone a: unchanged, kind render: published")
	status, response = f.publish("ops", "[zone a]\nowner = ops\ndrain = yes\n", base)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, response.Error.Outcome, client.OutcomeNotRun)
	assert.Equal(t, string(response.Error.Reason), "conflict")
	assert.Equal(t, resultsText(response), "zone a: conflict")
	assert.Equal(t, response.Results[0].Position.Offset, int64(1))
	f.View(func(state *replayer.State) { assert.Assert(t, !state.ZoneInService("a")) })
}

// Guards against a confirmation of a record that had no effect, because another
// publication of the section is appended between the check and the append.
func TestPublishConflictInLog(t *testing.T) {
	for _, noAudit := range []bool{false, true} {
		f := newFixture(t)
		f.noAudit = noAudit
		f.publish("ops", twoSections, nil)
		base := f.bases()
		f.beforeAppend = func() {
			status, _ := f.publish("ops", "[zone a]\nowner = ops\nin_service = no\n", base)
			assert.Equal(t, status, http.StatusOK)
		}
		status, response := f.publish("ops", "[zone a]\nowner = ops\ndrain = yes\n", base)
		assert.Equal(t, status, http.StatusConflict, "%v", response)
		assert.Equal(t, resultsText(response), "zone a: conflict")
	}
}

// Guards against a lost append response that is reported as a success or a
// failure although the effect is not known.
func TestPublishLostAppendResponse(t *testing.T) {
	cases := []struct {
		name    string
		apply   bool
		err     error
		status  int
		results string
	}{
		{"took effect", true, &damaskspread.AppendUnknownError{Cause: context.DeadlineExceeded}, http.StatusOK, "zone a: published, kind render: published"},
		{"never seen", false, &damaskspread.AppendUnknownError{Cause: context.DeadlineExceeded}, http.StatusBadGateway, "zone a: unknown, kind render: unknown"},
		{"log unavailable", false, &damaskspread.LogUnavailableError{Cause: context.DeadlineExceeded}, http.StatusServiceUnavailable, "zone a: not_run, kind render: not_run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.appendOutcome = func() (bool, error) { return c.apply, c.err }
			status, response := f.publish("ops", twoSections, nil)
			assert.Equal(t, status, c.status)
			assert.Equal(t, resultsText(response), c.results)
		})
	}
}

// Guards against the removal of a section that has changed since the version
// which the request is based on.
func TestRemoveSection(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", twoSections, nil)
	var response client.PublishResponse
	request := client.PublishRequest{
		Team:   "ops",
		Remove: []string{"zone a", "zone x"},
	}
	assert.Equal(t, f.call(http.MethodPost, "/v1/config/publish", request, &response), http.StatusConflict)
	assert.Equal(t, resultsText(response), "zone a: conflict, zone x: unchanged")
	request.Base = f.bases()
	assert.Equal(t, f.call(http.MethodPost, "/v1/config/publish", request, &response), http.StatusOK)
	assert.Equal(t, resultsText(response), "zone a: published, zone x: unchanged")
	status, response := f.publish("other", "[zone a]\nowner = other\n", nil)
	assert.Equal(t, status, http.StatusOK, "%v", response)
}

// Guards against a zone change that a concurrent publication overwrites, and
// against a change of an unknown zone or a zone of another team.
func TestZoneChange(t *testing.T) {
	f := newFixture(t)
	f.publish("ops", "[zone a]\nowner = ops\n# near the harbor\nin_service = yes # storm watch\n", nil)
	f.beforeAppend = func() {
		status, _ := f.publish("ops", "[zone a]\nowner = ops\ndrain = yes\nin_service = yes # storm watch\n", f.bases())
		assert.Equal(t, status, http.StatusOK)
	}
	var zone client.Zone
	team := client.TeamRequest{
		Team: "ops",
	}
	assert.Equal(t, f.call(http.MethodPost, "/v1/zones/a/out", team, &zone), http.StatusOK)
	assert.Assert(t, !zone.InService && zone.Changed && zone.Drain)
	var section client.Section
	assert.Equal(t, f.call(http.MethodGet, "/v1/config/zone%20a", nil, &section), http.StatusOK)
	assert.Equal(t, section.Text, "owner = ops\ndrain = yes\nin_service = no # storm watch\n")
	appends := f.next
	zone = client.Zone{}
	assert.Equal(t, f.call(http.MethodPost, "/v1/zones/a/out", team, &zone), http.StatusOK)
	assert.Assert(t, !zone.Changed)
	assert.Equal(t, f.next, appends)
	var refused client.ErrorResponse
	assert.Equal(t, f.call(http.MethodPost, "/v1/zones/z/out", team, &refused), http.StatusNotFound)
	assert.Equal(t, refused.Error.Outcome, client.OutcomeNotRun)
	assert.Equal(t, f.call(http.MethodPost, "/v1/zones/a/in", client.TeamRequest{Team: "other"}, &refused), http.StatusForbidden)
	assert.Equal(t, f.call(http.MethodPost, "/v1/zones/a/in", team, &zone), http.StatusOK)
	assert.Assert(t, zone.InService)
	var audit client.AuditResponse
	assert.Equal(t, f.call(http.MethodGet, "/v1/audit?kind=section&limit=1", nil, &audit), http.StatusOK)
	assert.Equal(t, audit.Entries[0].From, "in_service = no")
	assert.Equal(t, audit.Entries[0].To, "in_service = yes")
	assert.Equal(t, audit.Entries[0].Actor, "ops")
}
