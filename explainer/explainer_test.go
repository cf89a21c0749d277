package explainer_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/explainer"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

const (
	job  = "517f50f645ca478b"
	task = job + ".0.0.3"
)

// logText returns the log of a process with the events, one second apart, whose
// clock is off by clockOffset.
func logText(t *testing.T, process string, clockOffset time.Duration, events ...tracer.Event) string {
	previous := log.DefaultLogger
	defer func() { log.DefaultLogger = previous }()
	var text strings.Builder
	for i, event := range events {
		var line bytes.Buffer
		log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{
			Writer:  &line,
			Level:   "info",
			Process: process,
		})
		tracer.Write(event)
		// The current time is replaced by one that depends on the line only.
		at := time.Date(2026, 1, 2, 3, 4, i, 0, time.UTC).Add(clockOffset)
		_, rest, found := strings.Cut(line.String(), `"level"`)
		assert.Assert(t, found, line.String())
		fmt.Fprintf(&text, `{"time":%q,"level"%s`, at.Format("2006-01-02T15:04:05.000Z"), rest)
	}
	return text.String()
}

func explain(t *testing.T, id string, logs ...string) *explainer.Explanation {
	t.Helper()
	g := &explainer.Gatherer{Job: tracker.JobOf(id)}
	for i, text := range logs {
		assert.NilError(t, g.Read(fmt.Sprint(i), strings.NewReader(text)))
	}
	explanation, err := g.Explain()
	assert.NilError(t, err)
	return explanation
}

func messages(e *explainer.Explanation) []string {
	var list []string
	for _, line := range e.Lines() {
		list = append(list, line.Process()+": "+line.Message())
	}
	return list
}

// Guards against ordering lines by the clocks of processes that differ by
// minutes.
func TestOrderFollowsCauses(t *testing.T) {
	entry := logText(t, "entry", 5*time.Minute,
		&tracer.JobAccepted{Job: job, Offset: 7})
	leader := logText(t, "leader", 0,
		&tracer.TaskAssigned{Job: job, Task: task, Run: 1, Host: "side-1"},
		&tracer.RunEnded{Job: job, Task: task, Run: 1, Host: "side-1", Cause: "END_CAUSE_FAILED", Failures: 1},
		&tracer.TaskAssigned{Job: job, Task: task, Run: 2, Host: "side-2"},
		&tracer.RunEnded{Job: job, Task: task, Run: 2, Host: "side-2", Cause: "END_CAUSE_DONE", Failures: 1},
		&tracer.JobState{Job: job, State: "JOB_STATE_SUCCEEDED"})
	first := logText(t, "side-1", -5*time.Minute, &tracer.TaskStarted{Job: job, Task: task, Run: 1})
	second := logText(t, "side-2", 10*time.Minute, &tracer.TaskStarted{Job: job, Task: task, Run: 2})
	want := []string{
		"entry: job accepted",
		"leader: task assigned", "side-1: task started", "leader: run ended",
		"leader: task assigned", "side-2: task started", "leader: run ended",
		"leader: job state changed",
	}
	for _, logs := range [][]string{
		{entry, leader, first, second},
		{second, first, leader, entry},
		{leader + second + first + entry},
	} {
		assert.DeepEqual(t, messages(explain(t, task, logs...)), want)
	}
	// Incomplete logs are ordered as far as they allow.
	assert.Equal(t, len(explain(t, job, leader, second).Lines()), 6)
}

// Guards against a cause that the logs show but no finding names.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		events  []tracer.Event
		kind    explainer.FindingKind
		subject string
		detail  string
	}{
		"refused": {
			events: []tracer.Event{&tracer.RequestRefused{
				Job: job, Method: "POST", Status: 503, Outcome: "not_run", Reason: "log_unavailable", Error: "down",
				ConfigVersion: 4, ConfigAge: tracer.Milliseconds(2 * time.Second),
			}},
			kind: explainer.FindingRefused, subject: "p",
			detail: "POST 503 log_unavailable (not_run): down; configuration 4 was up to 2s old",
		},
		"slow append": {
			events: []tracer.Event{&tracer.JobAccepted{Job: job, Offset: 3, Append: tracer.Milliseconds(time.Second)}},
			kind:   explainer.FindingSlowAppend, subject: "p", detail: "the log took 1s for offset 3",
		},
		"no free capacity": {
			events: []tracer.Event{&tracer.TasksWaiting{
				Job: job, Step: job + ".0.0", Tasks: 2, Waited: tracer.Milliseconds(time.Second), Epoch: 9,
				Obstacles: map[string]int{"memory": 1, "processors": 3},
			}},
			kind: explainer.FindingWaited, subject: job + ".0.0",
			detail: "2 tasks for 1s at the leader of epoch 9; hosts: 3 processors, 1 memory",
		},
		"held back by an older run": {
			events: []tracer.Event{&tracer.TasksHeld{
				Job: job, Reason: tracer.HoldOlderRun, Waited: tracer.Milliseconds(time.Second), Epoch: 9,
				Task: job + ".0.0.1", Run: 2, Executor: "i-1",
			}},
			kind: explainer.FindingHeld, subject: job + ".0.0.1",
			detail: "older_run for 1s at the leader of epoch 9; run 2 on i-1",
		},
		"held back after an outage": {
			events: []tracer.Event{&tracer.TasksHeld{
				Job: job, Reason: tracer.HoldRecovery, Waited: tracer.Milliseconds(time.Second), Epoch: 9, Left: tracer.Milliseconds(2 * time.Second),
				Step: job + ".0.0", Tasks: 3, Outage: tracer.Milliseconds(7 * time.Second),
			}},
			kind: explainer.FindingHeld, subject: job + ".0.0",
			detail: "outage_recovery for 1s at the leader of epoch 9; 3 late tasks leave room for callers that return after an outage of 7s; 2s left",
		},
		"held back by its progress": {
			events: []tracer.Event{&tracer.TasksHeld{
				Job: job, Reason: tracer.HoldUndecoded, Waited: tracer.Milliseconds(time.Second), Epoch: 9, Left: tracer.Milliseconds(2 * time.Second),
			}},
			kind: explainer.FindingHeld, subject: "job",
			detail: "progress_undecoded for 1s at the leader of epoch 9; 2s left",
		},
		"waited behind a more costly step": {
			events: []tracer.Event{&tracer.TasksWaiting{
				Job: job, Step: job + ".0.0", Tasks: 2, Waited: tracer.Milliseconds(time.Second), Epoch: 9,
				Obstacles: map[string]int{"processors": 3},
				Cost: &tracer.WaitCost{
					Step: job + ".0.0", Priority: 2, Class: "late", Amount: 0.125, Slack: tracer.Milliseconds(-time.Second), Work: 4,
				},
				First: &tracer.WaitCost{Step: "k.0.1", Priority: 2, Class: "on_time", Amount: 0.5, Slack: tracer.Milliseconds(2 * time.Second), Work: 1.5},
			}},
			kind: explainer.FindingWaited, subject: job + ".0.0",
			detail: "2 tasks for 1s at the leader of epoch 9; hosts: 3 processors; " +
				"cost of waiting: priority 2, late, 0.125 (slack -1s, 4 core-seconds left); " +
				"k.0.1 went first: priority 2, on_time, 0.5 (slack 2s, 1.5 core-seconds left)",
		},
		"slow start": {
			events: []tracer.Event{&tracer.TaskStarted{Job: job, Task: task, Run: 1, Age: tracer.Milliseconds(time.Second)}},
			kind:   explainer.FindingSlowOrder, subject: "p", detail: task + " run 1 started 1s after its decision",
		},
		"executor lost": {
			events: []tracer.Event{&tracer.RunLost{Job: job, Task: task, Run: 1, Executor: "i-1"}},
			kind:   explainer.FindingRunLost, subject: "i-1", detail: task + " run 1 ended with its executor",
		},
		"executor replaced": {
			events: []tracer.Event{&tracer.RunLost{Job: job, Task: task, Run: 1, Executor: "i-1", Cause: tracer.LossReplaced, ReplacedBy: "s.2"}},
			kind:   explainer.FindingRunLost, subject: "i-1", detail: task + " run 1 ended with its executor (replaced by session s.2)",
		},
		"overlap": {
			events: []tracer.Event{&tracer.RunsOverlap{Job: job, Task: task, Run: 3, Other: 2, Executor: "i-1", Born: 7}},
			kind:   explainer.FindingOverlap, subject: "i-1", detail: task + " runs 2 and 3 in progress, executor born at 7",
		},
		"not assigned": {
			events: []tracer.Event{&tracer.StopOrdered{Job: job, Task: task, Run: 1, Host: "h", Reason: tracer.StopNotAssigned, Latest: 2, LatestState: "assigned"}},
			kind:   explainer.FindingRunStopped, subject: "h", detail: task + " run 1: not_assigned, latest run 2 is assigned",
		},
		"copied": {
			events: []tracer.Event{&tracer.TaskCopied{
				Job: job, Task: task, Run: 2, Host: "h", OlderRun: 1, OlderHost: "o", Percent: 5, Elapsed: tracer.Milliseconds(2 * time.Second),
				Remaining: tracer.Milliseconds(30 * time.Second), NewRun: tracer.Milliseconds(3 * time.Second),
			}},
			kind: explainer.FindingCopied, subject: "h",
			detail: task + " run 2 beside run 1 on o, which was at 5% after 2s: 30s left, a new run takes 3s",
		},
		"copy lost": {
			events: []tracer.Event{&tracer.CopyLost{Job: job, Task: task, Run: 2, Cause: tracer.CopyOlderRunDone}},
			kind:   explainer.FindingCopyLost, subject: task, detail: "run 2: older_run_done",
		},
		"lease expired": {
			events: []tracer.Event{&tracer.RunEnded{Job: job, Task: task, Run: 1, Host: "h", Cause: "END_CAUSE_LEASE_EXPIRED"}},
			kind:   explainer.FindingRunLost, subject: "h", detail: task + " run 1: its lease expired",
		},
		"crash": {
			events: []tracer.Event{&tracer.CrashCounted{Job: job, Task: task, Run: 3, Host: "h", Crashes: 3, GivenUp: true}},
			kind:   explainer.FindingCrash, subject: "h", detail: task + " run 3: crash 3 of an executor shortly after a start of the task; the job fails",
		},
		"crash by chance": {
			events: []tracer.Event{&tracer.CrashCounted{
				Job: job, Task: task, Run: 3, Host: "h", Crashes: 3, Chance: 0.1, ByChance: 0.001, Verdict: "undecided", StartsLeft: new(int32),
			}},
			kind: explainer.FindingCrash, subject: "h",
			detail: task + " run 3: crash 3 of an executor shortly after a start of the task; by chance 0.1 each now, 0.001 all of them: undecided, 0 starts left",
		},
		"cleared": {
			events: []tracer.Event{&tracer.CrashesCleared{Job: job, Task: task, Run: 4, Host: "h", Crashes: 3}},
			kind:   explainer.FindingCrashCleared, subject: "h", detail: task + " run 4 has outlived its start; 3 crashes are no longer held against the task",
		},
		"stopped": {
			events: []tracer.Event{&tracer.StopOrdered{Job: job, Task: task, Run: 1, Host: "h", Reason: tracer.StopPreempted, For: "x.0.0.1"}},
			kind:   explainer.FindingRunStopped, subject: "h", detail: task + " run 1: room_for_urgent x.0.0.1",
		},
		"forced start": {
			events: []tracer.Event{&tracer.StartLimited{
				Job: job, Task: task, Run: 1, Host: "h", Forced: true, Waited: tracer.Milliseconds(10 * time.Second),
				Bound: tracer.Milliseconds(10 * time.Second), Margin: -0.05, LatencyAge: tracer.Milliseconds(400 * time.Millisecond), Speed: 0.4, Percent: 10,
			}},
			kind: explainer.FindingStartForced, subject: "h",
			detail: task + " run 1 after 10s of at most 10s: at 10%, predicted speed 40%, latency 5% above its target 400ms before",
		},
		"paced": {
			events: []tracer.Event{&tracer.TaskPaced{Job: job, Task: task, Run: 1, Percent: 40, Load: 1.5}},
			kind:   explainer.FindingPaced, subject: "p", detail: task + " run 1 to 40%; a serving task was at 150% of its target",
		},
		"cancellation not recorded": {
			events: []tracer.Event{&tracer.CancelPending{Job: job}},
			kind:   explainer.FindingCanceled, subject: "job", detail: "by a caller, not recorded when it gave up",
		},
		"cancellation recorded later": {
			events: []tracer.Event{&tracer.CancelPending{Job: job}, &tracer.JobCanceled{Job: job, Offset: 9, Append: tracer.Milliseconds(5 * time.Second), GaveUp: true}},
			kind:   explainer.FindingCanceled, subject: "job", detail: "by a caller, offset 9, recorded after 5s, when a caller had given up",
		},
		"unfinished": {
			events: []tracer.Event{&tracer.JobAccepted{Job: job}},
			kind:   explainer.FindingUnfinished, subject: "job", detail: "the logs end before the job does",
		},
	} {
		t.Run(name, func(t *testing.T) {
			findings := explain(t, job, logText(t, "p", 0, c.events...)).Findings()
			last := findings[len(findings)-1]
			for _, f := range findings {
				if f.Kind() == c.kind {
					last = f
				}
			}
			assert.Equal(t, last.Kind(), c.kind)
			assert.Equal(t, last.Subject(), c.subject)
			assert.Equal(t, last.Detail(), c.detail)
		})
	}
}

// Guards against findings for a job that ran without delay or failure.
func TestNoFindings(t *testing.T) {
	e := explain(t, job, logText(t, "p", 0,
		&tracer.JobAccepted{Job: job},
		&tracer.TaskPaced{Job: job, Task: task, Run: 1, Percent: 10, Initial: true},
		&tracer.TaskPaced{Job: job, Task: task, Run: 1, Percent: 100},
		&tracer.RunEnded{Job: job, Task: task, Run: 1, Cause: "END_CAUSE_DONE"},
		&tracer.JobState{Job: job, State: "JOB_STATE_SUCCEEDED"}))
	assert.Equal(t, len(e.Findings()), 0, "%+v", e.Findings())
}

// Guards against missing context lines before an event, against repeated context
// lines, and against events of other jobs.
func TestContextLines(t *testing.T) {
	unreachable := `{"time":"2026-01-02T03:04:00.000Z","level":"warn","process":"entry","topic":"jobs","message":"log unreachable"}` + "\n"
	otherJob := `{"time":"2026-01-02T03:04:00.000Z","level":"info","process":"entry","job":"00000000000000ff","message":"job accepted"}` + "\n"
	refused := logText(t, "entry", 0, &tracer.RequestRefused{Job: job, Status: 503})
	e := explain(t, job, strings.Repeat(unreachable, 5)+otherJob+refused)
	assert.DeepEqual(t, messages(e), []string{"entry: log unreachable", "entry: request refused"})
}

// Guards against compressed logs that read as empty, and against text of other
// programs or overlong lines that stop the reading.
func TestRead(t *testing.T) {
	var compressed bytes.Buffer
	gzipWriter := gzip.NewWriter(&compressed)
	_, err := gzipWriter.Write([]byte(logText(t, "entry", 0, &tracer.JobAccepted{Job: job})))
	assert.NilError(t, err)
	assert.NilError(t, gzipWriter.Close())
	otherText := "panic: " + job + "\n" + strings.Repeat("x", 2<<20) + job + "\n"
	e := explain(t, job, compressed.String(), otherText)
	assert.DeepEqual(t, messages(e), []string{"entry: job accepted"})
	assert.Assert(t, e.Skipped() >= 2)

	g := &explainer.Gatherer{Job: job}
	var unreadableErr *explainer.UnreadableError
	assert.Assert(t, errors.As(g.Read("cut", bytes.NewReader(compressed.Bytes()[:20])), &unreadableErr))
	_, err = g.Explain()
	var noTraceErr *explainer.NoEventsError
	assert.Assert(t, errors.As(err, &noTraceErr))
}

// BenchmarkRead measures reading a log with lines of other jobs only.
func BenchmarkRead(b *testing.B) {
	line := `{"time":"2026-01-02T03:04:00.000Z","level":"info","process":"leader","role":"job_entry","job":"00000000000000ff","task":"00000000000000ff.0.0.1","run":1,"host":"side-1","message":"task assigned"}` + "\n"
	text := []byte(strings.Repeat(line, 100_000))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		g := &explainer.Gatherer{Job: job}
		if err := g.Read("log", bytes.NewReader(text)); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a refusal of admission without the inputs that determined it.
func TestRefusalForTooLateAnEnd(t *testing.T) {
	text := logText(t, "entry", 0, &tracer.JobRefused{
		Job:         job,
		Queue:       "batch",
		Recorded:    true,
		Wait:        tracer.Milliseconds(30 * time.Second),
		Path:        tracer.Milliseconds(2 * time.Second),
		Limit:       tracer.Milliseconds(12 * time.Second),
		RetryAfter:  tracer.Milliseconds(24 * time.Second),
		EstimateAge: tracer.Milliseconds(400 * time.Millisecond),
		Epoch:       7,
	})
	findings := explain(t, job, text).Findings()
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Kind(), explainer.FindingTooLate)
	assert.Equal(t, findings[0].Detail(), "queue batch: predicted wait 30s and run time 2s, admitted up to 12s together; retry after 24s; estimate of epoch 7 was up to 400ms old")
}
