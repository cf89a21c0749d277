package tracker

import "damaskspread.example/damaskspread/wire"

// Restore returns a job with the progress that Progress returned earlier.
// Progress of occurrences, steps or tasks that the job doesn't have is ignored.
func Restore(job *wire.Job, progress *wire.JobProgress) *Job {
	j := New(job)
	j.failed = progress.GetState() == wire.JobState_JOB_STATE_FAILED
	j.canceled = progress.GetState() == wire.JobState_JOB_STATE_CANCELED
	for _, stored := range progress.GetOccurrences() {
		if int(stored.GetIndex()) >= len(j.occurrences) {
			continue
		}
		j.occurrences[stored.GetIndex()].restore(stored)
	}
	return j
}

func (o *Occurrence) restore(stored *wire.OccurrenceProgress) {
	for s, step := range stored.GetSteps() {
		for i, progress := range step.GetTasks() {
			if s >= len(o.steps) || i >= len(o.steps[s]) {
				continue
			}
			o.steps[s][i].restore(progress)
		}
	}
}

func (t *Task) restore(progress *wire.TaskProgress) {
	t.state = progress.GetState()
	t.run = progress.GetRun()
	t.executor = ExecutorKey{
		ID:         progress.GetExecutor(),
		BornUnixMs: progress.GetExecutorBornUnixMs(),
	}
	t.host = progress.GetHost()
	t.failures = progress.GetFailures()
	t.failedRun = progress.GetLastFailedRun()
	t.checkpoint = progress.GetCheckpoint()
	if t.run > 0 {
		t.job.started = true
	}
}

// Progress returns the state of the job to store, for Restore. Occurrences of
// which no task has started are left out.
func (j *Job) Progress() *wire.JobProgress {
	progress := &wire.JobProgress{State: j.State()}
	for _, o := range j.occurrences {
		if stored := o.progress(); stored != nil {
			progress.Occurrences = append(progress.Occurrences, stored)
		}
	}
	return progress
}

// progress returns nil if no task of the occurrence has started.
func (o *Occurrence) progress() *wire.OccurrenceProgress {
	stored := &wire.OccurrenceProgress{Index: int32(o.index)}
	started := false
	for _, tasks := range o.steps {
		step := &wire.StepProgress{}
		for _, t := range tasks {
			started = started || t.run > 0
			step.Tasks = append(step.Tasks, &wire.TaskProgress{
				State:              t.state,
				Run:                t.run,
				Executor:           t.executor.ID,
				Host:               t.host,
				ExecutorBornUnixMs: t.executor.BornUnixMs,
				Failures:           t.failures,
				Checkpoint:         t.checkpoint,
				LastFailedRun:      t.failedRun,
			})
		}
		stored.Steps = append(stored.Steps, step)
	}
	if !started {
		return nil
	}
	return stored
}
