package main

import (
	"fmt"
	"time"
)

const (
	longWork  = 45 * time.Second
	largeWork = 8 * time.Second
	smallWork = time.Second
)

// playKeptRoom runs a long task on each of the two executors of a kind. The burst brings
// two large jobs that fit there only after these. Then a small, less urgent job comes.
func playKeptRoom(w *World, trouble bool) []string {
	const steady, large, small = "b36f85c0e7a21d94", "6f85c0e7a21d94b3", "c0e7a21d94b36f85"
	w.Outcome = func(task string, _ int) (time.Duration, string) {
		switch jobOf(task) {
		case steady:
			return longWork, "done"
		case large:
			return largeWork, "done"
		default:
			return smallWork, "done"
		}
	}
	w.Executors = newExecutors(11, 2)
	w.Begin(2, bothConfig)
	step := Step{Count: 2, CPU: 2000, MemMb: 512, EstimateMs: int(longWork.Milliseconds()), Requirements: "b", AntiAffinity: 1}
	w.mustSubmit(queuePrefix, steady, &Job{Spec: "long folds", Steps: []Step{step}})
	time.Sleep(2 * time.Second)
	if trouble {
		step := Step{Count: 2, CPU: 15000, MemMb: 512, EstimateMs: int(largeWork.Milliseconds()), Requirements: "b", AntiAffinity: 1}
		w.mustSubmit(queuePrefix, large, &Job{Spec: "large folds", Steps: []Step{step}})
		time.Sleep(time.Second)
	}
	step = Step{Count: 1, CPU: 500, MemMb: 256, EstimateMs: int(smallWork.Milliseconds()), Requirements: "b"}
	w.mustSubmit(renderPrefix, small, &Job{Spec: "a small render", Steps: []Step{step}})
	ended := time.Now()
	time.Sleep(time.Until(ended.Add(finishTime)))
	return w.idleJob(renderPrefix, small, w.Executors[:2])
}

func (w *World) mustSubmit(prefix, id string, job *Job) {
	if !w.Submit(prefix, id, job) {
		fail("job %s was not accepted", id)
	}
}

// idleJob returns what breaks LOST: for idleLimit from now on, nothing of the job runs
// though it isn't done, and the executors that may run it have most of their room free.
func (w *World) idleJob(prefix, id string, executors []*Executor) []string {
	for deadline := time.Now().Add(idleLimit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		state := w.State(prefix, id)
		w.Notef("GET    %s%s: %s", prefix, id, state)
		w.mu.Lock()
		runs, used := false, 0
		for _, start := range w.Starts {
			runs = runs || jobOf(start.Task) == id && start.At.After(deadline.Add(-idleLimit))
		}
		for _, e := range executors {
			for run := range e.runs {
				runs = runs || jobOf(run.task) == id
				used += w.stepOf(run.task).CPU
			}
		}
		w.notef("%d of %d thousandths of a core are in use where the job may run", used, len(executors)*roomCPU)
		w.mu.Unlock()
		if runs || state == "succeeded" || 2*used >= len(executors)*roomCPU {
			return nil
		}
	}
	return []string{fmt.Sprintf("LOST: job %s has had nothing running for %s, %s after the end of the traffic and more, while the executors that may run it have most of their room free",
		id, idleLimit, finishTime)}
}
