package tracker

import (
	"slices"

	"damaskspread.example/damaskspread/wire"
)

// OlderRun is a run of a task that is in progress on an executor to which the task is not
// assigned: its start took effect late. Callers give the task no further run before it has
// ended. It is stored with the progress, so that a new leader doesn't either.
type OlderRun struct {
	Run      int32
	Executor ExecutorKey
	Host     string
	// Copied means that the run may go on beside its speculative copy; see Task.Copy.
	Copied bool
}

// OlderRuns returns the runs that hold the task back. Callers must not change the result.
func (t *Task) OlderRuns() []OlderRun { return t.olderRuns }

// AddOlderRun records a run that holds the task back.
func (t *Task) AddOlderRun(run OlderRun) {
	if t.Done() || slices.Contains(t.olderRuns, run) {
		return
	}
	t.olderRuns = append(t.olderRuns, run)
	t.markChanged()
}

// RemoveOlderRun drops a run that has ended, or whose executor has.
func (t *Task) RemoveOlderRun(run int32, executor ExecutorKey) {
	before := len(t.olderRuns)
	t.olderRuns = slices.DeleteFunc(t.olderRuns, func(older OlderRun) bool {
		return older.Run == run && older.Executor == executor
	})
	if len(t.olderRuns) != before {
		t.markChanged()
	}
}

func (t *Task) restoreOlderRuns(stored []*wire.OlderRun, executors []*wire.ExecutorRef) {
	t.olderRuns = nil
	for _, older := range stored {
		ref := executorAt(executors, older.GetExecutorIndex())
		if ref == nil {
			continue
		}
		t.olderRuns = append(t.olderRuns, OlderRun{
			Run:      older.GetRun(),
			Executor: keyOf(ref),
			Host:     ref.GetHost(),
			Copied:   older.GetCopied(),
		})
	}
}
