package soak_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// plainSpec is the spec in the bodies of jobs. Each job gets its own in its place.
const plainSpec = `"spec":"x"`

func specOf(job string) string { return "spec of " + job }

// specified returns the body of a job with the job's own spec.
func specified(job, body string) string {
	return strings.Replace(body, plainSpec, fmt.Sprintf(`"spec":%q`, specOf(job)), 1)
}

// orderChecker checks that executors are told to start only what callers have sent.
type orderChecker struct {
	// sent has the numbers of tasks by step of each job that a caller has sent.
	sent map[string][]int
	// checkpoints has those that the runs of each task have reported.
	checkpoints map[string]map[string]bool
}

func newOrderChecker() orderChecker {
	return orderChecker{
		sent:        map[string][]int{},
		checkpoints: map[string]map[string]bool{},
	}
}

// recordSubmission records that a caller is about to send a job.
func (c *checker) recordSubmission(job, body string) {
	var sent struct {
		Steps []struct {
			Count int `json:"count"`
		} `json:"steps"`
	}
	if json.Unmarshal([]byte(body), &sent) != nil {
		return
	}
	var counts []int
	for _, step := range sent.Steps {
		counts = append(counts, step.Count)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders.sent[job] = counts
}

// recordCheckpoints records the checkpoints that an executor is about to report.
func (c *checker) recordCheckpoints(state *wire.ExecutorState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := func(task, checkpoint string) {
		if c.orders.checkpoints[task] == nil {
			c.orders.checkpoints[task] = map[string]bool{}
		}
		c.orders.checkpoints[task][checkpoint] = true
	}
	for _, running := range state.GetRunning() {
		record(running.GetTask(), running.GetCheckpoint())
	}
	for _, end := range state.GetEnded() {
		record(end.GetTask(), end.GetCheckpoint())
	}
}

// checkOrder adds a violation if the start that an executor is told is of no task that a
// caller has sent, or has another spec, or a checkpoint that no run of the task has reported.
func (c *checker) checkOrder(executor string, order *orderBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(order.Task, ".")
	told := fmt.Sprintf("%s is told to start run %d of %s", executor, order.Run, order.Task)
	switch {
	case !c.orders.hasTask(order.Task):
		c.addViolation("%s, which no caller has sent", told)
	case order.Spec != specOf(job):
		c.addViolation("%s with the spec %q", told, order.Spec)
	case order.Checkpoint != "" && !c.orders.checkpoints[order.Task][order.Checkpoint]:
		c.addViolation("%s with the checkpoint %q, which no run of it has reported", told, order.Checkpoint)
	}
}

func (o *orderChecker) hasTask(task string) bool {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || parts[1] != "0" {
		return false
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	counts := o.sent[parts[0]]
	return stepErr == nil && indexErr == nil && step >= 0 && step < len(counts) && index >= 0 && index < counts[step]
}

// ownCheckpoint returns the checkpoint that an executor reports of a run. The emulated ones
// are the same for all runs of a task.
func ownCheckpoint(checkpoint, task string, number int32) string {
	if checkpoint != "saved-"+task {
		return checkpoint
	}
	return fmt.Sprintf("%s.%d", checkpoint, number)
}

// withOwnCheckpoints gives each run's checkpoint its own name in the report of an executor.
func withOwnCheckpoints(state *wire.ExecutorState) *wire.ExecutorState {
	for _, running := range state.GetRunning() {
		running.Checkpoint = ownCheckpoint(running.GetCheckpoint(), running.GetTask(), running.GetRun())
	}
	ended := make([]*wire.RunEnd, len(state.GetEnded()))
	for i, end := range state.GetEnded() {
		ended[i] = proto.Clone(end).(*wire.RunEnd)
		ended[i].Checkpoint = ownCheckpoint(end.GetCheckpoint(), end.GetTask(), end.GetRun())
	}
	if state != nil {
		state.Ended = ended
	}
	return state
}
