package tracker

import (
	"slices"

	"damaskspread.example/damaskspread/wire"
)

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
		j.occurrences[stored.GetIndex()].restore(stored, progress.GetExecutors())
	}
	return j
}

func (o *Occurrence) restore(stored *wire.OccurrenceProgress, executors []*wire.ExecutorRef) {
	for s, step := range stored.GetSteps() {
		if s >= len(o.steps) {
			return
		}
		if step.GetAllDone() {
			o.restoreDone(s)
			continue
		}
		o.waits[s].readyUnixMs = step.GetReadyUnixMs()
		for i, progress := range step.GetTasks() {
			if i < len(o.steps[s]) {
				o.steps[s][i].restore(progress, executors)
			}
		}
	}
}

func (o *Occurrence) restoreDone(step int) {
	for _, t := range o.steps[step] {
		t.setState(wire.JobTaskState_JOB_TASK_STATE_DONE, ExecutorKey{})
		t.job.started = true
	}
}

func (t *Task) restore(progress *wire.TaskProgress, executors []*wire.ExecutorRef) {
	executor := ExecutorKey{
		ID:         progress.GetExecutor(),
		BornUnixMs: progress.GetExecutorBornUnixMs(),
	}
	t.host = progress.GetHost()
	if index := int(progress.GetExecutorIndex()); index > 0 && index <= len(executors) {
		ref := executors[index-1]
		executor = ExecutorKey{
			ID:         ref.GetId(),
			BornUnixMs: ref.GetBornUnixMs(),
		}
		t.host = ref.GetHost()
	}
	t.setState(progress.GetState(), executor)
	t.run = progress.GetRun()
	t.failures = progress.GetFailures()
	t.failedRun = progress.GetLastFailedRun()
	t.crashes = progress.GetCrashes()
	t.job.crashes += t.crashes
	t.crashedRun = progress.GetLastCrashedRun()
	t.exposedRun = progress.GetExposedRun()
	t.lostRun = progress.GetLastLostRun()
	t.checkpoint = progress.GetCheckpoint()
	if t.run > 0 {
		t.job.started = true
	}
}

// Progress returns the state of the job to store, for Restore. It leaves out what
// Restore does not need: occurrences and steps of which no task has started and no
// wait is counted, the tasks of steps that are done, and where tasks ran that have ended. Each executor
// is described once, since it may run many tasks of the job.
func (j *Job) Progress() *wire.JobProgress {
	w := progressWriter{
		progress:  &wire.JobProgress{State: j.State()},
		executors: map[ExecutorKey]int32{},
	}
	for _, o := range j.occurrences {
		w.addOccurrence(o)
	}
	return w.progress
}

// progressWriter builds the progress of one job.
type progressWriter struct {
	progress *wire.JobProgress
	// executors has the index in the progress, plus one, of each executor.
	executors map[ExecutorKey]int32
}

func (w *progressWriter) addOccurrence(o *Occurrence) {
	stored := &wire.OccurrenceProgress{Index: int32(o.index)}
	needed := false
	for s := range o.steps {
		step, stepNeeded := w.step(o, s)
		needed = needed || stepNeeded
		stored.Steps = append(stored.Steps, step)
	}
	if needed {
		w.progress.Occurrences = append(w.progress.Occurrences, stored)
	}
}

// step returns the progress of a step and whether Restore needs it: a task of the
// step has started, or its wait is counted.
func (w *progressWriter) step(o *Occurrence, s int) (*wire.StepProgress, bool) {
	tasks := o.steps[s]
	if o.stepDone(s) {
		return &wire.StepProgress{AllDone: true}, len(tasks) > 0
	}
	step := &wire.StepProgress{ReadyUnixMs: o.waits[s].readyUnixMs}
	if !slices.ContainsFunc(tasks, func(t *Task) bool { return t.run > 0 || t.Done() }) {
		return step, step.GetReadyUnixMs() != 0
	}
	for _, t := range tasks {
		step.Tasks = append(step.Tasks, w.task(t))
	}
	return step, true
}

func (w *progressWriter) task(t *Task) *wire.TaskProgress {
	progress := &wire.TaskProgress{
		State: t.state,
		Run:   t.run,
	}
	if t.Done() {
		return progress
	}
	progress.Failures = t.failures
	progress.LastFailedRun = t.failedRun
	progress.Crashes = t.crashes
	progress.LastCrashedRun = t.crashedRun
	progress.ExposedRun = t.exposedRun
	progress.LastLostRun = t.lostRun
	progress.Checkpoint = t.checkpoint
	if t.Assigned() {
		progress.ExecutorIndex = w.executorIndex(t)
	}
	return progress
}

func (w *progressWriter) executorIndex(t *Task) int32 {
	index := w.executors[t.executor]
	if index > 0 {
		return index
	}
	w.progress.Executors = append(w.progress.Executors, &wire.ExecutorRef{
		Id:         t.executor.ID,
		BornUnixMs: t.executor.BornUnixMs,
		Host:       t.host,
	})
	index = int32(len(w.progress.Executors))
	w.executors[t.executor] = index
	return index
}
