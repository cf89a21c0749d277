package tracker

import (
	"math"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// MaxSpan bounds declared run times and what is computed from them to a year: more than
// any job needs, and little enough that the sum of a chain in waves doesn't overflow.
const MaxSpan = 365 * 24 * time.Hour

// DeclaredRunTime returns the declared run time of a task of the step, at most MaxSpan.
func DeclaredRunTime(step *wire.JobStep) time.Duration {
	return time.Duration(min(step.GetEstimateMs(), MaxSpan.Milliseconds())) * time.Millisecond
}

// Objective returns the response time that the queue of the job promises, at most MaxSpan.
func (j *Job) Objective() time.Duration { return objective(j.spec, j.LongestPathMs()) }

// Objective returns the response time that the queue of a job promises, which its policy
// has set, at most MaxSpan.
func Objective(job *wire.Job) time.Duration {
	return objective(job, LongestChainMs(job.GetSteps()))
}

func objective(job *wire.Job, longestPathMs int64) time.Duration {
	ms := job.GetStretch()*float64(longestPathMs) + float64(job.GetObjectiveMs())
	if math.IsNaN(ms) || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, float64(MaxSpan.Milliseconds()))) * time.Millisecond
}
