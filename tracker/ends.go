package tracker

import "damaskspread.example/damaskspread/wire"

// End applies the end of a run on the executor with the given id and reports
// whether the task changed. Of runs before the latest one only two kinds of ends
// count: each failed run is an attempt, and a run that is done completes the task.
// Repeated reports of the same failure count once. A copied run and its copy may fail in
// either order.
func (t *Task) End(end *wire.RunEnd, executor string) bool {
	if t.Done() || end.GetRun() > t.run {
		return false
	}
	t.Job().MarkStarted()
	// An executor that lists the end of a run has outlived it.
	t.WithdrawExposure(end.GetRun())
	copied := t.takeCopied(end.GetRun(), executor)
	failed := end.GetCause() == wire.EndCause_END_CAUSE_FAILED && (end.GetRun() > t.failedRun || copied)
	if failed {
		t.recordFailure(end.GetRun(), executor)
	}
	done := end.GetCause() == wire.EndCause_END_CAUSE_DONE && !t.Step().GetLongRunning()
	if end.GetRun() < t.run && !done {
		return failed
	}
	if checkpoint := end.GetCheckpoint(); checkpoint != "" && len(checkpoint) <= MaxCheckpointBytes {
		t.setCheckpoint(checkpoint)
	}
	switch {
	case done:
		t.markDone()
	case t.Assigned():
		t.countStart(end.GetRun())
		t.endWait()
		t.Release()
	}
	return true
}

// setCheckpoint records the checkpoint of the next run. All tasks of a gang share it, also
// those of other parts of the progress.
func (t *Task) setCheckpoint(checkpoint string) {
	if !t.Step().GetGang() {
		t.checkpoint = checkpoint
		return
	}
	t.step.checkpoint = checkpoint
	for member := range t.step.known() {
		member.markChanged()
	}
}

// markDone marks the task as done. A gang is done as soon as one member is.
func (t *Task) markDone() {
	for _, member := range t.Members() {
		member.setState(wire.JobTaskState_JOB_TASK_STATE_DONE, ExecutorKey{})
		member.stopping = false
		member.markChanged()
	}
}

// recordFailure counts a failed run. It fails the job once its attempts are used
// up, unless the step is long-running.
func (t *Task) recordFailure(run int32, executor string) {
	t.failedRun = max(t.failedRun, run)
	t.failures++
	t.markChanged()
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[executor] = true
	if t.Step().GetLongRunning() || t.Job().spec.GetMaxAttempts() <= 0 {
		return
	}
	if t.failedRuns() >= t.Job().spec.GetMaxAttempts() {
		t.Job().fail()
	}
}

// failedRuns returns the number of failed runs, for a gang the sum over its
// members.
func (t *Task) failedRuns() int32 {
	if !t.Step().GetGang() {
		return t.failures
	}
	used := int32(0)
	for member := range t.step.known() {
		used += member.failures
	}
	return used
}
