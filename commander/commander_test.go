package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
	"github.com/uptrace/bunrouter"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/commander"
	"damaskspread.example/damaskspread/operator"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

// fakeEntry implements the state and the log of an entry process. It applies each
// append to the state immediately.
type fakeEntry struct {
	mu    sync.Mutex
	state *replayer.State
	audit *auditor.Auditor
	next  int64
}

func (e *fakeEntry) View(read func(*replayer.State)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	read(e.state)
}

func (e *fakeEntry) Age() time.Duration { return 0 }

func (e *fakeEntry) Wait(context.Context, int64) error { return nil }

func (e *fakeEntry) AppendRecords(_ context.Context, records []*wire.Record) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.audit.Observe(e.state.Apply(e.next, &wire.RecordBatch{
		Records: records,
	}))
	e.next++
	return e.next - 1, nil
}

// cli runs command lines against an entry process.
type cli struct {
	t         *testing.T
	directory string
	address   string
}

func newCLI(t *testing.T) *cli {
	t.Helper()
	e := &fakeEntry{
		state: replayer.New(),
		audit: &auditor.Auditor{},
	}
	handler := &operator.Handler{
		State:         e,
		Appender:      e,
		Audit:         e.audit,
		Clock:         clockwork.NewFakeClock(),
		Entry:         "entry-1",
		CurrencyLimit: 3 * time.Second,
	}
	router := bunrouter.New()
	handler.Register(router)
	router.POST("/v1/services/:service/requests/*path", func(w http.ResponseWriter, r bunrouter.Request) error {
		outcome, status := client.OutcomeRan, http.StatusOK
		switch r.Param("service") {
		case "shed":
			outcome, status = client.OutcomeNotRun, http.StatusTooManyRequests
		case "lost":
			outcome, status = client.OutcomeUnknown, http.StatusBadGateway
		case "broken":
			status = http.StatusTeapot
		}
		w.Header().Set(client.HeaderOutcome, outcome)
		w.WriteHeader(status)
		if outcome != client.OutcomeRan {
			return json.NewEncoder(w).Encode(client.ErrorResponse{Error: &client.ErrorBody{
				Outcome: outcome,
				Reason:  "overloaded",
			}})
		}
		_, err := w.Write([]byte("tag 412"))
		return err
	})
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return &cli{
		t:         t,
		directory: t.TempDir(),
		address:   strings.TrimPrefix(server.URL, "http://"),
	}
}

func (s *cli) file(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.directory, name)
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (s *cli) run(args ...string) (code int, out, errs string) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	c := &commander.Commander{
		Out: &stdout,
		Err: &stderr,
		In:  strings.NewReader(""),
	}
	code = c.Execute(context.Background(), append([]string{"--entry", s.address}, args...))
	return code, stdout.String(), stderr.String()
}

// exitCase is a command line, its exit code, and a part of its output.
type exitCase struct {
	args string
	code int
	want string
}

// configurationExits returns the cases of config. The later ones depend on what
// the earlier ones published.
func configurationExits(s *cli, settings string) []exitCase {
	document := s.file("document.ini", "[zone gaspe]\nowner = ops\n[kind render]\nowner = ops\nprocessors = 1\n")
	broken := s.file("broken.ini", "[zone gaspe]\nowner = ops\nin_servce = no\n")
	conflicting := s.file("conflicting.ini", "[zone gaspe]\nowner = ops\ndrain = yes\n")
	return []exitCase{
		{"config check " + document, commander.ExitOK, "is valid"},
		{"config check " + broken, commander.ExitInvalid, `did you mean "in_service"?`},
		{"config check --settings " + settings, commander.ExitOK, "is valid"},
		{"config check " + settings, commander.ExitInvalid, "expected [zone NAME]"},
		{"config check none.ini", commander.ExitFailure, "no such file"},
		{"config publish " + document, commander.ExitUsage, "--team is required"},
		{"config publish --team ops " + document, commander.ExitOK, "zone gaspe   published"},
		{"config publish --team ops " + document, commander.ExitOK, "zone gaspe   unchanged"},
		{"config publish --team ops " + conflicting, commander.ExitConflict, "conflict"},
		{"config publish --team ops --onto-current " + conflicting, commander.ExitOK, "published"},
		{"config publish --team ops " + broken, commander.ExitInvalid, "in_servce"},
		{"config publish --team ops --remove \"kind render\" " + conflicting, commander.ExitOK, "kind render"},
		{"config diff " + document, commander.ExitOK, "- [zone gaspe] drain = yes"},
		{"config show \"zone gapse\"", commander.ExitFailure, "did you mean zone gaspe?"},
		{"config defaults", commander.ExitOK, "currency_limit = 3s"},
		{"config defaults --document", commander.ExitOK, "[zone NAME]"},
	}
}

// operationExits are the cases of operators' other commands. They depend on the
// published configuration and on each other.
var operationExits = []exitCase{
	{"zone out gapse --team ops", commander.ExitFailure, "did you mean gaspe?"},
	{"zone out gaspe --team ops", commander.ExitOK, "gaspe  no"},
	{"zone out gaspe --team other", commander.ExitFailure, "belongs to team ops"},
	{"zone list", commander.ExitOK, "gaspe  no"},
	{"status", commander.ExitOK, "zones out     gaspe"},
	{"task submit --team cutting --kind render", commander.ExitInvalid, "class is batch"},
	{"task submit --team cutting --kind render --class batch --processors 0.5 --memory 4GB --id t1 --key k", commander.ExitOK, "0.5 cores, 4.0GB"},
	{"task submit --team cutting --kind render --class batch --processors 2 --key k", commander.ExitConflict, "with another body"},
	{"task submit --team cutting --kind render --memory 4", commander.ExitUsage, "expected memory with a unit"},
	{"task list --phase pending", commander.ExitOK, "t1"},
	{"task show t1", commander.ExitOK, "pending"},
	{"task explain t1", commander.ExitOK, "not known to the scheduler"},
	{"task cancel t1 --team cutting", commander.ExitOK, "canceled"},
	{"task show t9", commander.ExitFailure, "no task t9"},
	{"host list", commander.ExitOK, "HOST"},
	{"host lost host-01 --team ops", commander.ExitFailure, "no host host-01"},
	{"host drain host-01 --team ops", commander.ExitFailure, "no host host-01"},
	{"endpoint list", commander.ExitOK, "SERVICE"},
	{"service list", commander.ExitOK, "SERVICE"},
	{"audit --subject \"zone gaspe\"", commander.ExitOK, "in_service = no"},
	{"request tags /counter", commander.ExitOK, "tag 412"},
	{"request shed /counter --timeout 10s", commander.ExitNotRun, "not_run"},
	{"request lost /counter", commander.ExitUnknown, "unknown"},
	{"request broken /counter", commander.ExitFailure, "status 418"},
}

// processExits returns the cases of daemons, and of command lines that are not
// valid.
func processExits(settings string) []exitCase {
	return []exitCase{
		{"entry --settings " + settings, commander.ExitOK, "this build has no entry daemon"},
		{"agent --settings " + settings, commander.ExitInvalid, "expected agent"},
		{"entry", commander.ExitUsage, "--settings is required"},
		{"dev", commander.ExitOK, "settings are valid"},
		{"version", commander.ExitOK, ""},
		{"completion bash", commander.ExitOK, "bash completion"},
		{"", commander.ExitUsage, "needs a subcommand"},
		{"config", commander.ExitUsage, "needs a subcommand"},
		{"config pubish", commander.ExitUsage, `did you mean "publish"?`},
		{"stauts", commander.ExitUsage, `did you mean "status"?`},
		{"status --no-such-flag", commander.ExitUsage, "unknown flag"},
		{"status --output xml", commander.ExitUsage, "--output must be table or json"},
		{"status --entry localhost:1", commander.ExitUsage, "--entry must be ip:port"},
		{"zone out", commander.ExitUsage, "accepts 1 arg"},
	}
}

// Guards against wrong exit codes: scripts must be able to distinguish a conflict,
// an invalid text and an unknown outcome from other failures.
func TestExitCodes(t *testing.T) {
	s := newCLI(t)
	settings := s.file("entry.ini", "[process]\nid = e\nrole = entry\nregion = quebec\nzone = gaspe\n")
	for _, c := range slices.Concat(configurationExits(s, settings), operationExits, processExits(settings)) {
		code, out, errs := s.run(splitArgs(c.args)...)
		assert.Equal(t, code, c.code, "%s\n%s%s", c.args, out, errs)
		assert.Assert(t, strings.Contains(out+errs, c.want), "%s\n%s%s", c.args, out, errs)
	}
}

// splitArgs splits a line at spaces outside double quotes.
func splitArgs(line string) []string {
	var args []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			args = append(args, part)
		} else {
			args = append(args, strings.Fields(part)...)
		}
	}
	return args
}

// Guards against an edited document that conflicts in sections that the operator
// did not edit, or that overwrites a section changed since config show.
func TestShowEditPublish(t *testing.T) {
	s := newCLI(t)
	first := s.file("first.ini", "[zone a]\nowner = ops\nin_service = yes\n[zone b]\nowner = ops\nin_service = yes\n")
	code, _, errs := s.run("config", "publish", first, "--team", "ops")
	assert.Equal(t, code, commander.ExitOK, errs)
	_, shown, _ := s.run("config", "show")
	code, _, errs = s.run("zone", "out", "a", "--team", "ops")
	assert.Equal(t, code, commander.ExitOK, errs)
	edited := s.file("edited.ini", shown+"drain = yes\n")
	code, out, errs := s.run("config", "publish", edited, "--team", "ops", "-o", "json")
	assert.Equal(t, code, commander.ExitOK, errs)
	var response client.PublishResponse
	assert.NilError(t, json.Unmarshal([]byte(out), &response))
	assert.Equal(t, response.Results[0].Result, client.ResultUnchanged)
	assert.Equal(t, response.Results[1].Result, client.ResultPublished)
	late := s.file("late.ini", strings.Replace(shown, "in_service = yes", "drain = yes", 1))
	code, _, errs = s.run("config", "publish", late, "--team", "ops", "--section", "zone a", "-o", "json")
	assert.Equal(t, code, commander.ExitConflict)
	var refused client.ErrorResponse
	assert.NilError(t, json.Unmarshal([]byte(errs), &refused))
	assert.Equal(t, refused.Error.Outcome, client.OutcomeNotRun)
	_, out, _ = s.run("zone", "list")
	assert.Assert(t, strings.Contains(out, "a     no"), out)
}

// Guards against a command without an example or description, and against a daemon
// that is configured but not started.
func TestCommandTree(t *testing.T) {
	started := ""
	c := &commander.Commander{
		Out: &bytes.Buffer{},
		Err: &bytes.Buffer{},
		Dev: func(_ context.Context, settings *validator.Settings) error {
			started = settings.Process().ID()
			return nil
		},
	}
	var walk func(command *cobra.Command)
	walk = func(command *cobra.Command) {
		assert.Assert(t, command.Example != "", command.CommandPath())
		assert.Assert(t, command.Short != "", command.CommandPath())
		for _, child := range command.Commands() {
			walk(child)
		}
	}
	walk(c.Root())
	assert.Equal(t, c.Execute(context.Background(), []string{"dev"}), commander.ExitOK)
	assert.Equal(t, started, "dev")
}
