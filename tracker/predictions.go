package tracker

import "time"

// StepPrediction is the predicted run time of the tasks of one step.
type StepPrediction struct {
	// Task is the run time of one task.
	Task time.Duration
	// Waves is the number of tasks that run one after the other, because not all
	// tasks of the step fit at once. Values below 1 count as 1.
	Waves int64
}

// Predict replaces the declared estimates in CriticalPathMs and TaskMs by predicted
// run times, which it requests for each step. LongestPathMs keeps the declared ones.
func (j *Job) Predict(step func(step int) StepPrediction) {
	steps := j.spec.GetSteps()
	j.predictedTaskMs = make([]int64, len(steps))
	durations := make([]int64, len(steps))
	for i := range steps {
		prediction := step(i)
		j.predictedTaskMs[i] = prediction.Task.Milliseconds()
		durations[i] = j.predictedTaskMs[i] * max(1, prediction.Waves)
	}
	j.predictedMs = criticalPathMs(steps, durations)
}

// Predicted reports whether Predict was called.
func (j *Job) Predicted() bool { return j.predictedMs != nil }

// TaskMs returns the predicted run time of one task of a step, in milliseconds. It
// is the declared estimate before Predict was called.
func (j *Job) TaskMs(step int) int64 {
	if j.predictedTaskMs != nil {
		return j.predictedTaskMs[step]
	}
	return DeclaredRunTime(j.spec.GetSteps()[step]).Milliseconds()
}

// OpenTasks returns the number of tasks of a step that are not done, in the
// occurrence that has the most of them.
func (j *Job) OpenTasks(step int) int {
	open := 0
	// Late occurrences have most often not begun, which ends the search.
	for k := len(j.occurrences) - 1; k >= j.firstOpen && open < j.stepSize(step); k-- {
		switch state := j.step(k, step); state {
		case nil:
			open = j.stepSize(step)
		case doneStep:
		default:
			open = max(open, state.size()-state.done)
		}
	}
	return open
}
