package predictor

import "time"

// Siblings has the run times of the tasks of one step that have ended. The tasks
// of a step are alike, so they predict those that still run better than other jobs
// do. The zero value has no observations.
type Siblings struct {
	evidence
	ended int64
}

// StepDuration predicts the run time of one task from its kind and from its
// siblings that have ended; siblings may be nil.
func (r *RunTimes) StepDuration(queue, image string, siblings *Siblings, declared time.Duration) time.Duration {
	logRatio := r.logRatio(queue, image)
	if siblings != nil {
		logRatio = siblings.estimate(logRatio)
	}
	return scale(declared, logRatio)
}

// ObserveStep records the run time of a task that has ended, for its kind and for
// its siblings. The n-th end of a step counts 1/n for the kind: the error of the
// declared estimate is common to the step, so a step of many tasks would otherwise
// replace all that was learned from other jobs.
func (r *RunTimes) ObserveStep(queue, image string, siblings *Siblings, declared, actual time.Duration) {
	if declared <= 0 {
		return
	}
	expected := siblings.estimate(r.logRatio(queue, image))
	siblings.ended++
	siblings.observe(logRatioOf(declared, actual), expected, 1)
	r.observe(queue, image, declared, actual, 1/float64(siblings.ended))
}
