package tracker

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// PartTasks is the number of tasks in one part of the progress of a job. With
// checkpoints of MaxCheckpointBytes and an executor for each task, a part fits in one
// record of the log.
const PartTasks = 256

// partSet has the parts of a job's progress that changed, and those that are stored.
type partSet struct {
	changed, stored map[int]bool
}

func (p *partSet) markChanged(part int) {
	if p.changed == nil {
		p.changed = map[int]bool{}
	}
	p.changed[part] = true
}

func (p *partSet) markStored(part int) {
	if p.stored == nil {
		p.stored = map[int]bool{}
	}
	p.stored[part] = true
}

// markChanged marks the part with the state of the job.
func (j *Job) markChanged() { j.parts.markChanged(0) }

// markChanged marks the part that has the task with the given index. Its wait is stored
// with the first task of the step.
func (s *stepState) markChanged(index int) {
	j := s.job()
	number := s.occurrence.index*j.tasks + index
	for step := range s.index {
		number += j.stepSize(step)
	}
	j.parts.markChanged(number / PartTasks)
}

func (t *Task) markChanged() { t.step.markChanged(t.index) }

// TakeChangedParts returns the numbers of the parts of the progress that changed since
// the last call, in ascending order. The caller stores what Progress returns for them.
func (j *Job) TakeChangedParts() []int {
	if len(j.parts.changed) == 0 {
		return nil
	}
	changed := slices.Sorted(maps.Keys(j.parts.changed))
	for _, part := range changed {
		j.parts.markStored(part)
	}
	clear(j.parts.changed)
	return changed
}

// StoredParts returns the numbers of the parts that were stored, in ascending order.
func (j *Job) StoredParts() []int { return slices.Sorted(maps.Keys(j.parts.stored)) }

// PartKey returns the key of a part of a job's progress in the log.
func PartKey(job string, part int) string {
	if part == 0 {
		return job
	}
	return job + "." + strconv.Itoa(part)
}

// ParsePartKey is the inverse of PartKey. It reports whether the key is valid.
func ParsePartKey(key string) (job string, part int, valid bool) {
	job, number, found := strings.Cut(key, ".")
	if !found {
		return job, 0, job != ""
	}
	part, err := strconv.Atoi(number)
	return job, part, job != "" && err == nil && part > 0
}
