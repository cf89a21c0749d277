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
	// longBody keeps all hosts busy for about eight seconds; shortBody is a job
	// of a single task.
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

// explain runs the explain command on the logs of all processes.
func (f *fleet) explain(id string) *explanation {
	f.t.Helper()
	logFiles, err := filepath.Glob(filepath.Join(f.logDir, "*.log"))
	assert.NilError(f.t, err)
	out, err := exec.Command(daemon, append([]string{"explain", id, "-o", "json", "--logs"}, logFiles...)...).Output()
	assert.NilError(f.t, err, "%s", out)
	var e explanation
	assert.NilError(f.t, json.Unmarshal(out, &e))
	return &e
}

// detail returns the detail of the first finding of a kind whose subject
// contains a text.
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

// hasLine reports whether the explanation has a log line of the process that
// begins with the message.
func (e *explanation) hasLine(process, message string) bool {
	for _, line := range e.Lines {
		if line.Process == process && strings.HasPrefix(line.Message, message) {
			return true
		}
	}
	return false
}

// submitUntilAccepted sends a job to the first entry until it is accepted.
func (f *fleet) submitUntilAccepted(id, body string) {
	f.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	deadline := time.Now().Add(recoveryLimit)
	for f.sendRequest(client, http.MethodPost, f.entries[0], id, body).status != http.StatusOK {
		if time.Now().After(deadline) {
			f.t.Fatalf("job %s was not accepted within the recovery limit", id)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitSuccess waits until the jobs have succeeded.
func (f *fleet) awaitSuccess(ids ...string) {
	jobs := make(chan string, len(ids))
	for _, id := range ids {
		jobs <- id
	}
	close(jobs)
	f.awaitJobs(jobs)
}

// Guards against failures whose cause cannot be found in the logs. Each failure
// is injected into separate processes; the explain command has to name it from
// their logs alone.
func TestExplain(t *testing.T) {
	const (
		// The waiting job is in the queue of bulk jobs: all tasks of the other one go first.
		blockingJob, waitingJob = "00000000000000b1", "00000000800000a1"
		refusedJob              = "00000000000000a3"
	)
	f := newFleet(t, 0)

	// Accepted but not started: another job uses all processors.
	f.submitUntilAccepted(blockingJob, longBody)
	f.submitUntilAccepted(waitingJob, shortBody)
	time.Sleep(2500 * time.Millisecond)
	waited := f.explain(waitingJob)
	assert.Assert(t, strings.Contains(waited.detail(t, explainer.FindingWaited, waitingJob), "4 processors"))
	waited.detail(t, explainer.FindingUnfinished, "job")

	// Run lost and repeated: an executor restarts without its state.
	f.boot(2)
	f.awaitSuccess(blockingJob, waitingJob)
	repeated := f.explain(blockingJob + ".0.0.0")
	assert.Assert(t, strings.Contains(repeated.detail(t, explainer.FindingRunLost, "i-2-"), "ended with its executor"))

	// Refused: no entry can reach the log.
	for _, entry := range f.entries {
		entry.proxy.setMode(resetting)
	}
	client := &http.Client{Timeout: 3 * time.Second}
	deadline := time.Now().Add(recoveryLimit)
	for f.sendRequest(client, http.MethodPost, f.entries[1], refusedJob, shortBody).status != http.StatusServiceUnavailable {
		assert.Assert(t, time.Now().Before(deadline), "no request was refused")
		time.Sleep(50 * time.Millisecond)
	}
	f.heal()
	time.Sleep(time.Second)
	rejection := f.explain(refusedJob)
	assert.Assert(t, strings.Contains(rejection.detail(t, explainer.FindingRefused, "entry-1"), "503"))
	assert.Assert(t, rejection.hasLine("entry-1", "log unreachable"), "%+v", rejection.Lines)
}
