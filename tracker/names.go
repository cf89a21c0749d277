package tracker

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task by its job, its occurrence, its step and its index in
// the step. All indexes count from 0.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the task's name as executors use it:
// "JOB.OCCURRENCE.STEP.INDEX".
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// BadTaskNameError is the error for a name that doesn't have the form described
// at TaskID.String.
type BadTaskNameError struct {
	Name string
}

func (e *BadTaskNameError) Error() string {
	return fmt.Sprintf("invalid task name %q: want JOB.OCCURRENCE.STEP.INDEX", e.Name)
}

// JobOf returns the job id in a task's name, or its argument if that is a job id.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// GroupOf returns the name of the group in a task's name: all but its index.
func GroupOf(task string) string {
	i := strings.LastIndexByte(task, '.')
	return task[:max(i, 0)]
}

// ParseTaskID is the inverse of TaskID.String. The error is a
// *BadTaskNameError.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, &BadTaskNameError{Name: name}
	}
	id := TaskID{Job: parts[0]}
	for i, target := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 || parts[i+1] != strconv.Itoa(number) {
			return TaskID{}, &BadTaskNameError{Name: name}
		}
		*target = number
	}
	return id, nil
}
