package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// slowAppend is the time above which the log delayed an acceptance.
	slowAppend = 250 * time.Millisecond
	// slowOrder is the time from a decision to its effect above which the way to
	// the executor delayed a start.
	slowOrder = 500 * time.Millisecond
	// fullPace is the pace of a run without limit, in percent.
	fullPace = 100
)

// FindingKind is the stable name of a cause.
type FindingKind string

// Kinds of findings, in the order in which a job meets them.
const (
	FindingRefused       FindingKind = "refused"
	FindingSlowAppend    FindingKind = "slow_append"
	FindingWaited        FindingKind = "waited_for_host"
	FindingSlowOrder     FindingKind = "slow_order"
	FindingStartRefused  FindingKind = "start_refused"
	FindingStartRepeated FindingKind = "start_repeated"
	FindingRunFailed     FindingKind = "run_failed"
	FindingRunStopped    FindingKind = "run_stopped"
	FindingRunLost       FindingKind = "run_lost"
	FindingPaced         FindingKind = "paced"
	FindingCanceled      FindingKind = "canceled"
	FindingUnfinished    FindingKind = "unfinished"
)

var kindOrder = []FindingKind{
	FindingRefused, FindingSlowAppend, FindingWaited, FindingSlowOrder, FindingStartRefused, FindingStartRepeated,
	FindingRunFailed, FindingRunStopped, FindingRunLost, FindingPaced, FindingCanceled, FindingUnfinished,
}

// Finding is one cause with the inputs that decided it.
type Finding struct {
	kind    FindingKind
	subject string
	detail  string
	count   int
}

// Kind is the cause.
func (f Finding) Kind() FindingKind { return f.kind }

// Subject is the step, task, executor or process concerned.
func (f Finding) Subject() string { return f.subject }

// Detail are the deciding inputs of the latest occurrence.
func (f Finding) Detail() string { return f.detail }

// Count is the number of occurrences.
func (f Finding) Count() int { return f.count }

// finder collects findings; those of one kind and subject are one.
type finder struct {
	findings []Finding
	final    bool
	accepted bool
}

func find(lines []*tracer.Line) []Finding {
	f := &finder{}
	for _, line := range lines {
		if event := line.Event(); event != nil {
			f.take(line, event)
		}
	}
	if f.accepted && !f.final {
		f.add(FindingUnfinished, "job", "the logs end before the job does")
	}
	slices.SortStableFunc(f.findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(kindOrder, a.kind), slices.Index(kindOrder, b.kind))
	})
	return f.findings
}

func (f *finder) add(kind FindingKind, subject, detail string, args ...any) {
	for i := range f.findings {
		if f.findings[i].kind == kind && f.findings[i].subject == subject {
			f.findings[i].count++
			f.findings[i].detail = fmt.Sprintf(detail, args...)
			return
		}
	}
	f.findings = append(f.findings, Finding{
		kind:    kind,
		subject: subject,
		detail:  fmt.Sprintf(detail, args...),
		count:   1,
	})
}

func (f *finder) take(line *tracer.Line, event tracer.Event) {
	switch e := event.(type) {
	case *tracer.JobAccepted:
		f.accepted = true
		if time.Duration(e.Append) > slowAppend {
			f.add(FindingSlowAppend, line.Process(), "the log took %s for offset %d", e.Append, e.Offset)
		}
	case *tracer.JobCanceled:
		f.add(FindingCanceled, "job", "by a caller, offset %d", e.Offset)
	case *tracer.JobState:
		f.final = f.final || indexer.Final(wire.JobState(wire.JobState_value[e.State]))
	case *tracer.RequestRefused:
		f.add(FindingRefused, line.Process(), "%s %d %s (%s): %s; configuration %d was up to %s old",
			e.Method, e.Status, e.Reason, e.Outcome, e.Error, e.ConfigVersion, e.ConfigAge)
	case *tracer.TasksWaiting:
		f.add(FindingWaited, e.Step, "%d tasks for %s at the leader of epoch %d; hosts: %s",
			e.Tasks, e.Waited, e.Epoch, obstacles(e.Obstacles))
	default:
		f.takeRun(line, event)
	}
}

func (f *finder) takeRun(line *tracer.Line, event tracer.Event) {
	switch e := event.(type) {
	case *tracer.TaskStarted:
		if time.Duration(e.Age) > slowOrder {
			f.add(FindingSlowOrder, line.Process(), "%s run %d started %s after its decision", e.Task, e.Run, e.Age)
		}
	case *tracer.StartRefused:
		f.add(FindingStartRefused, cmp.Or(e.Host, line.Process()), "%s run %d: %s", e.Task, e.Run, e.Reason)
	case *tracer.StartRepeated:
		f.add(FindingStartRepeated, e.Host, "%s run %d was not listed by the agent", e.Task, e.Run)
	case *tracer.StopOrdered:
		f.add(FindingRunStopped, e.Host, "%s run %d: %s%s", e.Task, e.Run, e.Reason, stopDetail(e))
	case *tracer.TaskPaced:
		if e.Percent < fullPace {
			f.add(FindingPaced, line.Process(), "%s run %d to %d%%; a serving task was at %.0f%% of its target",
				e.Task, e.Run, e.Percent, 100*e.Load)
		}
	case *tracer.RunEnded:
		f.takeEnd(e)
	case *tracer.RunLost:
		f.add(FindingRunLost, e.Executor, "%s run %d ended with its executor", e.Task, e.Run)
	}
}

func (f *finder) takeEnd(e *tracer.RunEnded) {
	switch e.Cause {
	case wire.EndCause_END_CAUSE_DONE.String():
	case wire.EndCause_END_CAUSE_STOPPED.String():
		// The order to stop is the finding.
	case wire.EndCause_END_CAUSE_LEASE_EXPIRED.String():
		f.add(FindingRunLost, e.Host, "%s run %d: its lease expired", e.Task, e.Run)
	default:
		f.add(FindingRunFailed, e.Host, "%s run %d: %s, %d failures of the task", e.Task, e.Run, e.Cause, e.Failures)
	}
}

func stopDetail(e *tracer.StopOrdered) string {
	switch {
	case e.For != "":
		return " " + e.For
	case e.Millicores > 0:
		return fmt.Sprintf(", %d millicores in use", e.Millicores)
	default:
		return ""
	}
}

// obstacles lists hosts by obstacle, the most frequent first.
func obstacles(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%d %s", counts[name], name)
	}
	return strings.Join(parts, ", ")
}
