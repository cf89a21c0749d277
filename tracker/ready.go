package tracker

import (
	"math"

	"damaskspread.example/damaskspread/wire"
)

// maxNewGroups bounds the occurrences whose same step is ready although none of its tasks
// has had a run. What keeps all of these from starting keeps the later ones from it too.
const maxNewGroups = 64

// Ready returns the steps with tasks that may start at nowUnixMs: their occurrence is due
// and the steps before theirs are done. Of the occurrences of which the step has not
// begun, these are the first maxNewGroups.
func (j *Job) Ready(nowUnixMs int64) []*Group {
	if j.Over() {
		return nil
	}
	var groups []*Group
	begins := make([]int, len(j.spec.GetSteps()))
	for k := j.firstOpen; k < len(j.occurrences) && j.due(k, nowUnixMs); k++ {
		groups = j.appendReady(k, begins, groups)
	}
	return groups
}

// due reports whether an occurrence is due.
func (j *Job) due(occurrence int, nowUnixMs int64) bool {
	if j.spec.GetRepeatCount() <= 0 {
		return true
	}
	return nowUnixMs >= DueUnixMs(j.spec, occurrence)
}

// appendReady appends the groups of an occurrence that have tasks to start. begins counts
// the groups of each step that have not begun.
func (j *Job) appendReady(occurrence int, begins []int, groups []*Group) []*Group {
	for s, step := range j.spec.GetSteps() {
		if j.pending(occurrence, s) == 0 || !j.dependenciesDone(occurrence, step) {
			continue
		}
		if state := j.step(occurrence, s); state == nil || !state.begun {
			if begins[s] == maxNewGroups {
				continue
			}
			begins[s]++
		}
		j.openStep(occurrence, s)
		groups = append(groups, j.group(occurrence, s))
	}
	return groups
}

func (j *Job) dependenciesDone(occurrence int, step *wire.JobStep) bool {
	for _, earlier := range step.GetAfter() {
		if !j.stepDone(occurrence, int(earlier)) {
			return false
		}
	}
	return true
}

// DueUnixMs returns when an occurrence of a job is due, in Unix milliseconds. A time that
// doesn't fit in 64 bits is the largest that does.
func DueUnixMs(job *wire.Job, occurrence int) int64 {
	first, interval := job.GetFirstStartUnixMs(), max(0, job.GetIntervalMs())
	if float64(first)+float64(interval)*float64(occurrence) >= math.MaxInt64 {
		return math.MaxInt64
	}
	return first + interval*int64(occurrence)
}
