package tracker

import "damaskspread.example/damaskspread/wire"

// End applies the end of a run and reports whether the task changed. Of ends of
// earlier runs only failures count, because they use up attempts.
func (t *Task) End(end *wire.RunEnd) bool {
	if t.Done() || end.GetRun() > t.run {
		return false
	}
	failed := end.GetCause() == wire.EndCause_END_CAUSE_FAILED && end.GetRun() > t.failedRun
	if failed {
		t.fail(end.GetRun())
	}
	if end.GetRun() < t.run {
		return failed
	}
	if checkpoint := end.GetCheckpoint(); checkpoint != "" {
		t.saveCheckpoint(checkpoint)
	}
	switch {
	case end.GetCause() == wire.EndCause_END_CAUSE_DONE && !t.Step().GetLongRunning():
		t.finish()
	case t.Assigned():
		t.Release()
	}
	return true
}

// saveCheckpoint keeps the newest checkpoint; a gang shares one.
func (t *Task) saveCheckpoint(checkpoint string) {
	t.checkpoint = checkpoint
	if !t.Step().GetGang() {
		return
	}
	for _, member := range t.siblings() {
		member.checkpoint = checkpoint
	}
}

func (t *Task) siblings() []*Task { return t.job.occurrences[t.id.Occurrence].steps[t.id.Step] }

// finish marks the task as done. One member of a gang stands for all.
func (t *Task) finish() {
	done := []*Task{t}
	if t.Step().GetGang() {
		done = t.siblings()
	}
	for _, member := range done {
		member.state = wire.JobTaskState_JOB_TASK_STATE_DONE
		member.executor = ExecutorKey{}
		member.stopping = false
	}
	t.job.touch()
}

func (t *Task) fail(run int32) {
	t.failedRun = run
	t.failures++
	t.job.touch()
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[t.executor.ID] = true
	if t.Step().GetLongRunning() || t.job.job.GetMaxAttempts() <= 0 {
		return
	}
	if t.attemptsUsed() >= t.job.job.GetMaxAttempts() {
		t.job.failed = true
	}
}

// attemptsUsed counts the failures of a gang together.
func (t *Task) attemptsUsed() int32 {
	if !t.Step().GetGang() {
		return t.failures
	}
	used := int32(0)
	for _, member := range t.siblings() {
		used += member.failures
	}
	return used
}
