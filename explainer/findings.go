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
	// slowAppendAbove is the duration above which the append of a job counts as
	// a delay.
	slowAppendAbove = 250 * time.Millisecond
	// slowStartAbove is the time from the leader's decision to the start of a
	// run above which sending the start order counts as a delay.
	slowStartAbove = 500 * time.Millisecond
	// fullPacePercent is the pace of a run that may use all its requested
	// processors.
	fullPacePercent = 100
)

// FindingKind identifies the kind of a finding. JSON output contains it, so the
// values must not change.
type FindingKind string

// Kinds of findings, in the order in which a job can encounter them.
const (
	FindingRefused       FindingKind = "refused"
	FindingTooLate       FindingKind = "would_end_too_late"
	FindingSlowAppend    FindingKind = "slow_append"
	FindingRedirected    FindingKind = "redirected"
	FindingWaited        FindingKind = "waited_for_host"
	FindingHeld          FindingKind = "held_back"
	FindingStartLimited  FindingKind = "limited_start"
	FindingStartForced   FindingKind = "forced_start"
	FindingSlowOrder     FindingKind = "slow_order"
	FindingStartRefused  FindingKind = "start_refused"
	FindingStartRepeated FindingKind = "start_repeated"
	FindingCopied        FindingKind = "copied"
	FindingCopyLost      FindingKind = "copy_lost"
	FindingRunFailed     FindingKind = "run_failed"
	FindingRunStopped    FindingKind = "run_stopped"
	FindingRunLost       FindingKind = "run_lost"
	FindingCrash         FindingKind = "executor_crashed"
	FindingOverlap       FindingKind = "runs_overlap"
	FindingCrashCleared  FindingKind = "crashes_by_chance"
	FindingPaced         FindingKind = "paced"
	FindingCanceled      FindingKind = "canceled"
	FindingUnfinished    FindingKind = "unfinished"
)

var kindOrder = []FindingKind{
	FindingRefused, FindingTooLate, FindingSlowAppend, FindingRedirected, FindingWaited, FindingHeld, FindingStartLimited, FindingStartForced, FindingSlowOrder, FindingStartRefused, FindingStartRepeated,
	FindingCopied, FindingCopyLost, FindingRunFailed, FindingRunStopped, FindingRunLost, FindingCrash, FindingCrashCleared, FindingOverlap, FindingPaced, FindingCanceled, FindingUnfinished,
}

// Finding is one cause of a delay, refusal or failure of the job, possibly with
// several occurrences.
type Finding struct {
	kind    FindingKind
	subject string
	detail  string
	count   int
}

// Kind returns the kind of the finding.
func (f Finding) Kind() FindingKind { return f.kind }

// Subject returns the step, process, host or executor concerned, or "job".
func (f Finding) Subject() string { return f.subject }

// Detail returns a text with the values of the latest occurrence.
func (f Finding) Detail() string { return f.detail }

// Count returns the number of occurrences, at least 1.
func (f Finding) Count() int { return f.count }

// collector derives findings from events. Occurrences of the same kind and
// subject are merged into one finding.
type collector struct {
	findings    []Finding
	jobOver     bool
	jobAccepted bool
}

func collectFindings(lines []*tracer.Line) []Finding {
	c := &collector{}
	for _, line := range lines {
		if event := line.Event(); event != nil {
			c.addEvent(line, event)
		}
	}
	if c.jobAccepted && !c.jobOver {
		c.add(FindingUnfinished, "job", "the logs end before the job does")
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(kindOrder, a.kind), slices.Index(kindOrder, b.kind))
	})
	return c.findings
}

func (c *collector) add(kind FindingKind, subject, detail string, args ...any) {
	for i := range c.findings {
		if c.findings[i].kind == kind && c.findings[i].subject == subject {
			c.findings[i].count++
			c.findings[i].detail = fmt.Sprintf(detail, args...)
			return
		}
	}
	c.findings = append(c.findings, Finding{
		kind:    kind,
		subject: subject,
		detail:  fmt.Sprintf(detail, args...),
		count:   1,
	})
}

func (c *collector) addEvent(line *tracer.Line, event tracer.Event) {
	switch e := event.(type) {
	case *tracer.JobAccepted:
		c.jobAccepted = true
		if time.Duration(e.Append) > slowAppendAbove {
			c.add(FindingSlowAppend, line.Process(), "the log took %s for offset %d", e.Append, e.Offset)
		}
	case *tracer.JobRefused:
		c.add(FindingTooLate, line.Process(), "queue %s: predicted wait %s and run time %s, admitted up to %s together; retry after %s; estimate of epoch %d was up to %s old%s",
			e.Queue, e.Wait, e.Path, e.Limit, e.RetryAfter, e.Epoch, e.EstimateAge, refusalDetail(e))
	case *tracer.JobCanceled:
		c.add(FindingCanceled, "job", "by a caller, offset %d%s", e.Offset, cancelDetail(e))
	case *tracer.CancelPending:
		c.add(FindingCanceled, "job", "by a caller, not recorded when it gave up")
	case *tracer.JobState:
		c.jobOver = c.jobOver || indexer.Final(wire.JobState(wire.JobState_value[e.State]))
	case *tracer.JobRedirected:
		c.add(FindingRedirected, "job", "queue %s: from service %s to %s by configuration %d%s, at the leader of epoch %d",
			e.Queue, e.From, e.To, e.ConfigVersion, adviceDetail(e), e.Epoch)
	case *tracer.RequestRefused:
		c.add(FindingRefused, line.Process(), "%s %d %s (%s): %s; configuration %d was up to %s old",
			e.Method, e.Status, e.Reason, e.Outcome, e.Error, e.ConfigVersion, e.ConfigAge)
	case *tracer.TasksWaiting:
		c.add(FindingWaited, e.Step, "%d tasks for %s at the leader of epoch %d; hosts: %s%s",
			e.Tasks, e.Waited, e.Epoch, formatObstacles(e.Obstacles), waitCostDetail(e))
	case *tracer.TasksHeld:
		c.add(FindingHeld, cmp.Or(e.Task, e.Step, "job"), "%s for %s at the leader of epoch %d%s", e.Reason, e.Waited, e.Epoch, holdDetail(e))
	default:
		c.addRunEvent(line, event)
	}
}

func (c *collector) addRunEvent(line *tracer.Line, event tracer.Event) {
	switch e := event.(type) {
	case *tracer.TaskStarted:
		if time.Duration(e.Age) > slowStartAbove {
			c.add(FindingSlowOrder, line.Process(), "%s run %d started %s after its decision", e.Task, e.Run, e.Age)
		}
	case *tracer.StartLimited:
		c.addStartLimited(e)
	case *tracer.StartRefused:
		c.add(FindingStartRefused, cmp.Or(e.Host, line.Process()), "%s run %d: %s", e.Task, e.Run, e.Reason)
	case *tracer.StartRepeated:
		c.add(FindingStartRepeated, e.Host, "%s run %d was not listed by the agent", e.Task, e.Run)
	case *tracer.TaskCopied:
		c.add(FindingCopied, e.Host, "%s run %d beside run %d on %s, which was at %d%% after %s: %s left, a new run takes %s",
			e.Task, e.Run, e.OlderRun, e.OlderHost, e.Percent, e.Elapsed, e.Remaining, e.NewRun)
	case *tracer.CopyLost:
		c.add(FindingCopyLost, e.Task, "run %d: %s", e.Run, e.Cause)
	case *tracer.StopOrdered:
		c.add(FindingRunStopped, e.Host, "%s run %d: %s%s", e.Task, e.Run, e.Reason, stopDetail(e))
	case *tracer.TaskPaced:
		if e.Percent < fullPacePercent && !e.Initial {
			c.add(FindingPaced, line.Process(), "%s run %d to %d%%; a serving task was at %.0f%% of its target",
				e.Task, e.Run, e.Percent, 100*e.Load)
		}
	case *tracer.RunEnded:
		c.addRunEnd(e)
	case *tracer.RunLost:
		c.add(FindingRunLost, e.Executor, "%s run %d ended with its executor%s", e.Task, e.Run, lossDetail(e))
	case *tracer.RunsOverlap:
		c.add(FindingOverlap, e.Executor, "%s runs %d and %d in progress, executor born at %d", e.Task, e.Other, e.Run, e.Born)
	case *tracer.CrashCounted:
		c.addCrash(e)
	case *tracer.CrashesCleared:
		c.add(FindingCrashCleared, e.Host, "%s run %d has outlived its start; %d crashes are no longer held against the task", e.Task, e.Run, e.Crashes)
	}
}

func (c *collector) addStartLimited(e *tracer.StartLimited) {
	kind := FindingStartLimited
	if e.Forced {
		kind = FindingStartForced
	}
	c.add(kind, e.Host, "%s run %d after %s of at most %s: at %d%%, predicted speed %.0f%%, latency %s",
		e.Task, e.Run, e.Waited, e.Bound, e.Percent, 100*e.Speed, marginDetail(e))
}

func marginDetail(e *tracer.StartLimited) string {
	if e.Margin < 0 {
		return fmt.Sprintf("%.0f%% above its target %s before", -100*e.Margin, e.LatencyAge)
	}
	return fmt.Sprintf("%.0f%% below its target %s before", 100*e.Margin, e.LatencyAge)
}

func (c *collector) addRunEnd(e *tracer.RunEnded) {
	switch e.Cause {
	case wire.EndCause_END_CAUSE_DONE.String():
	case wire.EndCause_END_CAUSE_STOPPED.String():
		// StopOrdered has added the finding.
	case wire.EndCause_END_CAUSE_LEASE_EXPIRED.String():
		c.add(FindingRunLost, e.Host, "%s run %d: its lease expired", e.Task, e.Run)
	default:
		c.add(FindingRunFailed, e.Host, "%s run %d: %s, %d failures of the task", e.Task, e.Run, e.Cause, e.Failures)
	}
}

func adviceDetail(e *tracer.JobRedirected) string {
	if e.NeedsAdvice {
		return ", with admission advice"
	}
	return ""
}

func refusalDetail(e *tracer.JobRefused) string {
	if !e.Recorded {
		return "; not recorded in the log, so the job was accepted"
	}
	return ""
}

func cancelDetail(e *tracer.JobCanceled) string {
	if e.GaveUp {
		return fmt.Sprintf(", recorded after %s, when a caller had given up", e.Append)
	}
	return ""
}

// lossDetail is empty for lines of versions that wrote no cause.
func lossDetail(e *tracer.RunLost) string {
	switch {
	case e.Cause == "":
		return ""
	case e.ReplacedBy != "":
		return fmt.Sprintf(" (%s by session %s)", e.Cause, e.ReplacedBy)
	default:
		return fmt.Sprintf(" (%s)", e.Cause)
	}
}

func (c *collector) addCrash(e *tracer.CrashCounted) {
	what := fmt.Sprintf("crash %d of an executor shortly after a start of the task", e.Crashes)
	if e.Unreported {
		what = "no crash reported, counted as a start"
	}
	c.add(FindingCrash, e.Host, "%s run %d: %s%s", e.Task, e.Run, what, crashDetail(e))
}

func crashDetail(e *tracer.CrashCounted) string {
	detail := ""
	if e.Verdict != "" {
		detail = fmt.Sprintf("; by chance %.1g each now, %.1g all of them: %s", e.Chance, e.ByChance, e.Verdict)
	}
	if e.StartsLeft != nil && !e.GivenUp {
		detail += fmt.Sprintf(", %d starts left", *e.StartsLeft)
	}
	if e.GivenUp {
		detail += "; the job fails"
	}
	return detail
}

func stopDetail(e *tracer.StopOrdered) string {
	switch {
	case e.For != "":
		return " " + e.For
	case e.Refusal != "":
		return ", " + e.Refusal
	case e.Latest > 0:
		return fmt.Sprintf(", latest run %d is %s", e.Latest, e.LatestState)
	case e.Millicores > 0:
		return fmt.Sprintf(", %d millicores in use", e.Millicores)
	default:
		return ""
	}
}

func holdDetail(e *tracer.TasksHeld) string {
	switch {
	case e.Executor != "":
		return fmt.Sprintf("; run %d on %s", e.Run, e.Executor)
	case e.Outage > 0:
		return fmt.Sprintf("; %d late tasks leave room for callers that return after an outage of %s; %s left", e.Tasks, e.Outage, e.Left)
	case e.Left > 0:
		return fmt.Sprintf("; %s left", e.Left)
	default:
		return ""
	}
}

func waitCostDetail(e *tracer.TasksWaiting) string {
	if e.Cost == nil {
		return ""
	}
	detail := "; cost of waiting: " + formatWaitCost(e.Cost)
	if e.First != nil && e.First.Step != e.Step {
		detail += "; " + e.First.Step + " went first: " + formatWaitCost(e.First)
	}
	return detail
}

func formatWaitCost(cost *tracer.WaitCost) string {
	return fmt.Sprintf("priority %d, %s, %.4g (slack %s, %.4g core-seconds left)",
		cost.Priority, cost.Class, cost.Amount, cost.Slack, cost.Work)
}

// formatObstacles lists the number of hosts by obstacle, the most frequent first.
func formatObstacles(counts map[string]int) string {
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
