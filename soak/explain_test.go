package soak_test

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/explainer"
)

const (
	// longBody takes about eight seconds of the fleet; shortBody takes a moment.
	longBody  = `{"spec":"x","steps":[{"count":200,"cpu":8000,"memMb":100}]}`
	shortBody = `{"spec":"x","steps":[{"count":1,"cpu":8000,"memMb":100}]}`
)

// explanation is the JSON output of the explain command.
type explanation struct {
	Findings []struct {
		Kind    explainer.FindingKind `json:"kind"`
		Subject string                `json:"subject"`
		Detail  string                `json:"detail"`
	} `json:"findings"`
	Lines []struct {
		Process string `json:"process"`
		Message string `json:"message"`
	} `json:"lines"`
}

// explain runs the command on the logs of all processes.
func (f *fleet) explain(id string) *explanation {
	f.t.Helper()
	logs, err := filepath.Glob(filepath.Join(f.logs, "*.log"))
	assert.NilError(f.t, err)
	out, err := exec.Command(daemon, append([]string{"explain", id, "-o", "json", "--logs"}, logs...)...).Output()
	assert.NilError(f.t, err, "%s", out)
	var e explanation
	assert.NilError(f.t, json.Unmarshal(out, &e))
	return &e
}

// detail returns the deciding inputs of a finding.
func (e *explanation) detail(t *testing.T, kind explainer.FindingKind, subject string) string {
	t.Helper()
	for _, f := range e.Findings {
		if f.Kind == kind && strings.Contains(f.Subject, subject) {
			return f.Detail
		}
	}
	t.Fatalf("no finding %s about %s in %+v", kind, subject, e.Findings)
	return ""
}

func (e *explanation) tells(process, message string) bool {
	for _, line := range e.Lines {
		if line.Process == process && strings.HasPrefix(line.Message, message) {
			return true
		}
	}
	return false
}

// submits sends a job until an entry accepts it.
func (f *fleet) submits(id, body string) {
	f.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	deadline := time.Now().Add(recovery)
	for f.call(client, http.MethodPost, f.entries[0], id, body) != http.StatusOK {
		if time.Now().After(deadline) {
			f.t.Fatalf("job %s is not accepted", id)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// finishes waits for the success of jobs.
func (f *fleet) finishes(ids ...string) {
	jobs := make(chan string, len(ids))
	for _, id := range ids {
		jobs <- id
	}
	close(jobs)
	f.awaitJobs(jobs)
}

// Guards against failures whose cause the logs don't tell. Each is played with
// separate processes; the command alone has to name what was injected.
func TestExplain(t *testing.T) {
	const (
		blocker, late = "00000000000000b1", "00000000000000a1"
		refused       = "00000000000000a3"
	)
	f := newFleet(t, 1)

	// Accepted but late: another job has all processors.
	f.submits(blocker, longBody)
	f.submits(late, shortBody)
	time.Sleep(2500 * time.Millisecond)
	waited := f.explain(late)
	assert.Assert(t, strings.Contains(waited.detail(t, explainer.FindingWaited, late), "4 processors"))
	waited.detail(t, explainer.FindingUnfinished, "job")

	// Run lost and repeated: an executor starts again and knows nothing.
	f.boot(2)
	f.finishes(blocker, late)
	again := f.explain(blocker + ".0.0.0")
	assert.Assert(t, strings.Contains(again.detail(t, explainer.FindingRunLost, "i-2-"), "ended with its executor"))

	// Refused: no entry reaches the log.
	for _, entry := range f.entries {
		entry.proxy.set(resetting)
	}
	client := &http.Client{Timeout: 3 * time.Second}
	deadline := time.Now().Add(recovery)
	for f.call(client, http.MethodPost, f.entries[1], refused, shortBody) != http.StatusServiceUnavailable {
		assert.Assert(t, time.Now().Before(deadline), "nothing was refused")
		time.Sleep(50 * time.Millisecond)
	}
	f.heal()
	time.Sleep(time.Second)
	rejection := f.explain(refused)
	assert.Assert(t, strings.Contains(rejection.detail(t, explainer.FindingRefused, "entry-1"), "503"))
	assert.Assert(t, rejection.tells("entry-1", "log unreachable"), "%+v", rejection.Lines)
}
