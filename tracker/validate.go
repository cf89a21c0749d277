package tracker

import (
	"fmt"

	"damaskspread.example/damaskspread/wire"
)

// Limits of a job.
const (
	MaxSteps = 64
	// MaxTasks limits the tasks of one occurrence.
	MaxTasks = 4000
	// MaxOccurrences limits the repetitions of a job, and MaxAllTasks the tasks of
	// all of them, which may be in progress at the same time.
	MaxOccurrences = 1000
	MaxAllTasks    = 40_000
)

// InvalidJobError is the error for a job that can't be scheduled.
type InvalidJobError struct {
	Detail string
}

func (e *InvalidJobError) Error() string { return "invalid job: " + e.Detail }

func invalid(format string, args ...any) error {
	return &InvalidJobError{Detail: fmt.Sprintf(format, args...)}
}

// Validate checks a job before it is accepted, and again before New, because the
// record of a job may be malformed. The error is an *InvalidJobError.
func Validate(job *wire.Job) error {
	steps := job.GetSteps()
	if len(steps) == 0 || len(steps) > MaxSteps {
		return invalid("job must have 1 to %d steps, got %d", MaxSteps, len(steps))
	}
	if repeat := job.GetRepeatCount(); repeat < 0 || repeat > MaxOccurrences {
		return invalid("job is repeated %d times, allowed are 0 to %d", repeat, MaxOccurrences)
	}
	tasks := 0
	for i, step := range steps {
		if err := validateStep(i, step); err != nil {
			return err
		}
		tasks += int(step.GetCount())
	}
	if tasks > MaxTasks {
		return invalid("job has %d tasks, allowed are at most %d", tasks, MaxTasks)
	}
	if all := tasks * occurrenceCount(job); all > MaxAllTasks {
		return invalid("job has %d tasks in all its repetitions, allowed are at most %d", all, MaxAllTasks)
	}
	return nil
}

func validateStep(index int, step *wire.JobStep) error {
	if step.GetCount() <= 0 {
		return invalid("step %d has no tasks; its count must be at least 1", index)
	}
	for _, earlier := range step.GetAfter() {
		if earlier < 0 || int(earlier) >= index {
			return invalid("step %d runs after step %d, which is not an earlier step", index, earlier)
		}
	}
	resources := step.GetResources()
	for _, field := range []struct {
		name  string
		value int64
	}{
		{name: "processors", value: resources.GetMillicores()},
		{name: "memory", value: resources.GetMemoryBytes()},
		{name: "accelerators", value: resources.GetAccelerators()},
		{name: "estimate", value: step.GetEstimateMs()},
		{name: "anti-affinity", value: int64(step.GetAntiAffinity())},
		{name: "target", value: step.GetTargetLatencyMs()},
	} {
		if field.value < 0 {
			return invalid("step %d has a negative value for %s", index, field.name)
		}
	}
	return nil
}
