package tracker

import (
	"damaskspread.example/damaskspread/wire"
)

// MaxCheckpointBytes bounds a checkpoint, which is stored with the progress. A longer one
// is not taken, so the next run resumes from the one before.
const MaxCheckpointBytes = 512

// Restore returns a job with the progress that Progress returned earlier for part 0.
func Restore(job *wire.Job, progress *wire.JobProgress) *Job {
	j := New(job)
	j.RestorePart(0, progress)
	return j
}

// RestorePart adds a stored part of the progress to a new job. Progress of occurrences,
// steps or tasks that the job doesn't have is ignored. Parts are restored in the order of
// their numbers: the first one may be a record of an earlier version, with all tasks,
// and the others newer. A nil progress is a part that can't be decoded.
func (j *Job) RestorePart(part int, progress *wire.JobProgress) {
	j.parts.markStored(part)
	if progress == nil {
		j.undecoded = append(j.undecoded, part)
		return
	}
	j.restoreDestination(progress.GetDestination())
	j.started = j.started || progress.GetState() == wire.JobState_JOB_STATE_RUNNING
	j.failed = j.failed || progress.GetState() == wire.JobState_JOB_STATE_FAILED
	j.canceled = j.canceled || progress.GetState() == wire.JobState_JOB_STATE_CANCELED
	for _, stored := range progress.GetOccurrences() {
		if stored.GetIndex() >= 0 && int(stored.GetIndex()) < len(j.occurrences) {
			j.restoreOccurrence(stored, progress.GetExecutors())
		}
	}
	j.doneGroups = nil
	if progress.GetPartTasks() != PartTasks {
		j.markAllChanged()
	}
}

// StoreUndecoded makes the parts that could not be decoded be stored anew.
func (j *Job) StoreUndecoded() {
	for _, part := range j.undecoded {
		j.parts.markChanged(part)
	}
	j.undecoded = nil
}

// markAllChanged makes the whole progress be stored again, in parts of PartTasks.
func (j *Job) markAllChanged() {
	tasks := len(j.occurrences) * j.tasks
	for part := 0; part*PartTasks < tasks; part++ {
		if part == 0 || len(j.Progress(part).GetOccurrences()) > 0 {
			j.parts.markChanged(part)
		}
	}
}

func (j *Job) restoreOccurrence(stored *wire.OccurrenceProgress, executors []*wire.ExecutorRef) {
	k := int(stored.GetIndex())
	for s, step := range stored.GetSteps() {
		switch {
		case s >= len(j.spec.GetSteps()):
			return
		case j.stepDone(k, s):
		case step.GetAllDone():
			j.openStep(k, s).finish()
			j.started = true
		case len(step.GetTasks()) > 0 || step.GetReadyUnixMs() != 0:
			j.openStep(k, s).restore(step, executors)
		}
	}
}

func (s *stepState) restore(stored *wire.StepProgress, executors []*wire.ExecutorRef) {
	if stored.GetReadyUnixMs() != 0 {
		s.wait.readyUnixMs = stored.GetReadyUnixMs()
	}
	first := int(stored.GetFirstTask())
	for i, progress := range stored.GetTasks() {
		index := first + i
		if index < 0 || index >= s.size() {
			continue
		}
		if progress.GetRun() > 0 || progress.GetState() == wire.JobTaskState_JOB_TASK_STATE_DONE {
			s.task(index).restore(progress, executors)
		}
	}
}

func (t *Task) restore(progress *wire.TaskProgress, executors []*wire.ExecutorRef) {
	executor := ExecutorKey{
		ID:         progress.GetExecutor(),
		BornUnixMs: progress.GetExecutorBornUnixMs(),
	}
	t.host = progress.GetHost()
	if ref := executorAt(executors, progress.GetExecutorIndex()); ref != nil {
		executor, t.host = keyOf(ref), ref.GetHost()
	}
	t.run = progress.GetRun()
	t.failures = progress.GetFailures()
	t.failedRun = progress.GetLastFailedRun()
	t.Job().crashes += progress.GetCrashes() - t.crashes
	t.crashes = progress.GetCrashes()
	t.crashedRun = progress.GetLastCrashedRun()
	t.exposedRun = progress.GetExposedRun()
	t.lostRun = progress.GetLastLostRun()
	t.restoreCheckpoint(progress.GetCheckpoint())
	t.copyRun = progress.GetCopyRun()
	t.restoreOlderRuns(progress.GetOlderRuns(), executors)
	t.step.begun = true
	switch progress.GetState() {
	case wire.JobTaskState_JOB_TASK_STATE_ASSIGNED:
		t.setState(progress.GetState(), executor)
	case wire.JobTaskState_JOB_TASK_STATE_DONE:
		t.setState(progress.GetState(), ExecutorKey{})
	default:
		t.setState(wire.JobTaskState_JOB_TASK_STATE_PENDING, ExecutorKey{})
	}
}

// restoreCheckpoint restores a stored checkpoint. The parts with the members of a gang may be
// stored at different times, and the checkpoint of any member is valid for all.
func (t *Task) restoreCheckpoint(checkpoint string) {
	switch {
	case !t.Step().GetGang():
		t.checkpoint = checkpoint
	case checkpoint != "":
		t.step.checkpoint = checkpoint
	}
}

// Progress returns the state of one part of the job to store, for RestorePart. It leaves
// out what that does not need: occurrences and steps of which no task has started and no
// wait is counted, the tasks of steps that are done, and where tasks ran that have ended.
// Each executor is described once, since it may run many tasks.
func (j *Job) Progress(part int) *wire.JobProgress {
	w := progressWriter{
		job:       j,
		progress:  &wire.JobProgress{PartTasks: PartTasks},
		executors: map[ExecutorKey]int32{},
	}
	if part == 0 {
		w.progress.State = j.State()
		w.progress.Destination = j.storedDestination()
	}
	from, to := part*PartTasks, (part+1)*PartTasks
	for k := from / max(j.tasks, 1); k < len(j.occurrences) && k*j.tasks < to; k++ {
		w.addOccurrence(k, from-k*j.tasks, to-k*j.tasks)
	}
	return w.progress
}

// progressWriter builds one part of the progress of a job.
type progressWriter struct {
	job      *Job
	progress *wire.JobProgress
	// executors has the index in the progress, plus one, of each executor.
	executors map[ExecutorKey]int32
}

// addOccurrence adds the tasks of an occurrence whose numbers, counted through its
// steps, are in the range [from, to).
func (w *progressWriter) addOccurrence(occurrence, from, to int) {
	if w.job.occurrences[occurrence] == nil {
		return
	}
	stored := &wire.OccurrenceProgress{Index: int32(occurrence)}
	needed := false
	first := 0
	for s := range w.job.spec.GetSteps() {
		size := w.job.stepSize(s)
		if first >= to {
			break
		}
		step := &wire.StepProgress{}
		if first+size > from {
			var stepNeeded bool
			step, stepNeeded = w.step(w.job.step(occurrence, s), max(0, from-first), min(size, to-first))
			needed = needed || stepNeeded
		}
		stored.Steps = append(stored.Steps, step)
		first += size
	}
	if needed {
		w.progress.Occurrences = append(w.progress.Occurrences, stored)
	}
}

// step returns the progress of the tasks of a step whose indexes are in the range
// [from, to), and whether RestorePart needs it: a task of the step has started, or its
// wait is counted.
func (w *progressWriter) step(state *stepState, from, to int) (*wire.StepProgress, bool) {
	switch state {
	case nil:
		return &wire.StepProgress{}, false
	case doneStep:
		return &wire.StepProgress{AllDone: true}, true
	}
	step := &wire.StepProgress{}
	if from == 0 {
		step.ReadyUnixMs = state.wait.readyUnixMs
	}
	if !state.begun {
		return step, step.GetReadyUnixMs() != 0
	}
	step.FirstTask = int32(from)
	for _, t := range state.tasks[from:to] {
		step.Tasks = append(step.Tasks, w.task(t))
	}
	return step, true
}

func (w *progressWriter) task(t *Task) *wire.TaskProgress {
	if t == nil {
		return &wire.TaskProgress{}
	}
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
	progress.Checkpoint = t.Checkpoint()
	progress.CopyRun = t.copyRun
	if t.Assigned() {
		progress.ExecutorIndex = w.executorIndex(t.executor, t.host)
	}
	for _, older := range t.olderRuns {
		progress.OlderRuns = append(progress.OlderRuns, &wire.OlderRun{
			Run:           older.Run,
			ExecutorIndex: w.executorIndex(older.Executor, older.Host),
			Copied:        older.Copied,
		})
	}
	return progress
}

// executorIndex returns the index of an executor for executorAt, and adds it once.
func (w *progressWriter) executorIndex(executor ExecutorKey, host string) int32 {
	index := w.executors[executor]
	if index > 0 {
		return index
	}
	w.progress.Executors = append(w.progress.Executors, &wire.ExecutorRef{
		Id:         executor.ID,
		BornUnixMs: executor.BornUnixMs,
		Host:       host,
	})
	index = int32(len(w.progress.Executors))
	w.executors[executor] = index
	return index
}

// executorAt returns the executor with an index that counts from 1, nil if there is none.
func executorAt(executors []*wire.ExecutorRef, index int32) *wire.ExecutorRef {
	if index <= 0 || int(index) > len(executors) {
		return nil
	}
	return executors[index-1]
}

func keyOf(executor *wire.ExecutorRef) ExecutorKey {
	return ExecutorKey{
		ID:         executor.GetId(),
		BornUnixMs: executor.GetBornUnixMs(),
	}
}
