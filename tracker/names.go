package tracker

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID names a task: the job, the occurrence, the step and the index in it.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String is the name of the task on executors.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// BadTaskNameError means that a name doesn't have the form of a task's name.
type BadTaskNameError struct {
	Name string
}

func (e *BadTaskNameError) Error() string { return fmt.Sprintf("%q is not the name of a task", e.Name) }

// JobOf is the job of a task's name. The id of a job names itself.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// ParseTaskID reads the name of a task.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, &BadTaskNameError{Name: name}
	}
	id := TaskID{Job: parts[0]}
	for i, target := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return TaskID{}, &BadTaskNameError{Name: name}
		}
		*target = number
	}
	return id, nil
}
